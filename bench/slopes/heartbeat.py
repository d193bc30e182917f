"""Measure heartbeats by the number of services."""

from bench.slopes.base import Point, min_cpu_time
from dogwoodshed._internal.mesh.codec import Decoder, encode
from dogwoodshed._internal.mesh.messages import (
    Heartbeat,
    ServiceLoad,
)

AXIS = "services"
SERVICES = (3, 30, 100, 280)
REPEATS = 200


def measure() -> list[Point]:
    """Encode and decode heartbeats of growing size."""
    return [_measure(services) for services in SERVICES]


def _measure(services: int) -> Point:
    # Every tenth service is in use; an idle one still takes an entry in the array.
    loads = tuple(
        ServiceLoad(4.25, (3, 20, 50))
        if number % 10 == 0
        else ServiceLoad(6.0, (0, 0, 0))
        for number in range(services)
    )
    heartbeat = Heartbeat(123_456, "ready", 98_765, "0123456789abcdef", loads)
    data = encode(heartbeat)

    def encode_many() -> None:
        for _ in range(REPEATS):
            encode(heartbeat)

    def decode_many() -> None:
        decoder = Decoder()
        for _ in range(REPEATS):
            list(decoder.feed(data))

    return Point(
        {"services": services},
        {
            "bytes": len(data),
            "encode_us": min_cpu_time(encode_many) / REPEATS * 1e6,
            "decode_us": min_cpu_time(decode_many) / REPEATS * 1e6,
        },
    )
