"""Choose ports of loopback for processes that are about to start."""

import itertools
import os
import socket
from collections.abc import Iterator

# Below the ports that the system gives to outgoing connections, which would take a port
# between the moment it is chosen and the moment a gateway listens on it.
PORTS = range(12_000, 32_000)
# A chosen port looks free to everybody until somebody listens on it, so that test runs
# side by side choose from parts of their own. Each fleet takes a dozen ports.
PARTS = 50

_candidates: Iterator[int] | None = None


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; one comes again only after all others."""
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
        size = len(PORTS) // PARTS
        first = PORTS.start + os.getpid() % PARTS * size
        _candidates = itertools.cycle(range(first, first + size))
    return next(_candidates)
