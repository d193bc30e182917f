"""Choose free loopback ports for processes that are about to start."""

import itertools
import os
import socket
from collections.abc import Iterator

# Below the ephemeral ports of the system: an outgoing connection could otherwise take
# a chosen port before the gateway listens on it.
PORT_RANGE = range(12_000, 32_000)
# A chosen port looks free to other processes until something listens on it, so
# concurrent test runs choose from separate parts. Each fleet needs a dozen ports.
RANGE_PARTS = 50

_candidates: Iterator[int] | None = None


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; none is reused before all others."""
    ports: list[int] = []
    while len(ports) < count:
        port = _next_candidate()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _next_candidate() -> int:
    global _candidates
    if _candidates is None:
        size = len(PORT_RANGE) // RANGE_PARTS
        first = PORT_RANGE.start + os.getpid() % RANGE_PARTS * size
        _candidates = itertools.cycle(range(first, first + size))
    return next(_candidates)
