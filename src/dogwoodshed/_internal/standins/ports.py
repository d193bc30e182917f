"""Choose free loopback ports for processes that are about to start."""

import itertools
import os
import socket
from collections.abc import Iterator

from dogwoodshed._internal.exceptions import StandInError

# Below the ephemeral ports of the system: an outgoing connection could otherwise take
# a chosen port before the gateway listens on it.
PORT_RANGE = range(12_000, 32_000)
# A chosen port looks free to other processes until something listens on it, and again
# after its gateway was killed. The gateways of two fleets would then find each other.
# Each process that starts fleets therefore chooses from a part of its own, and each
# fleet needs a dozen ports.
RANGE_PARTS = 50

_candidates: Iterator[int] | None = None
# Bound to the first port of the part of this process.
_part_guard: socket.socket | None = None


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
        first = _claim_part()
        size = len(PORT_RANGE) // RANGE_PARTS
        _candidates = itertools.cycle(range(first + 1, first + size))
    return next(_candidates)


def _claim_part() -> int:
    """Bind the first port of a part that no other process uses, and return it."""
    global _part_guard
    size = len(PORT_RANGE) // RANGE_PARTS
    for number in range(RANGE_PARTS):
        first = PORT_RANGE.start + (os.getpid() + number) % RANGE_PARTS * size
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _part_guard = guard
        return first
    raise StandInError("all parts of the port range are in use")
