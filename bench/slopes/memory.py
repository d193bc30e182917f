"""Measure the resident memory of processes that only import libraries."""

import subprocess
import sys

from bench.processes import resident_bytes
from bench.slopes.base import Point

AXIS = "step"
# Each step imports more than the one before.
STEPS = (
    ("python", "pass"),
    ("asyncio", "import asyncio"),
    ("aiohttp", "import aiohttp, aiohttp.web"),
    ("gateway", "import aiohttp.web; import dogwoodshed._internal.gateway"),
)


def measure() -> list[Point]:
    """Start one process for each step."""
    return [_measure(*step, number) for number, step in enumerate(STEPS)]


def _measure(name: str, code: str, number: int) -> Point:
    wait = "import sys; print(flush=True); sys.stdin.read()"
    process = subprocess.Popen(
        [sys.executable, "-c", f"{code}\n{wait}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.readline()
        resident = resident_bytes(process.pid)
    finally:
        process.communicate(b"")
    return Point({"step": number}, {f"resident_bytes_{name}": resident})
