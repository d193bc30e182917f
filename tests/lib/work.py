"""Count the work of a function in executed instructions, which no load changes."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_instructions(function: Callable[[], Any]) -> int:
    """Return how many Python instructions a call of the function executes."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            count += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count
