"""Run coroutines on an event loop whose time jumps to the next timer."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop, and a clock, on which sleeping takes no real time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now

    monotonic = time
    wall = time


def run_in_virtual_time(make_coroutine):
    """Run `make_coroutine(loop)` to its end and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(make_coroutine(loop))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks))
        loop.close()
