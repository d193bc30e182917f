"""Event loop with virtual time that advances directly to the next timer."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop and clock on which sleeping takes no real time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual_selector.now

    monotonic = time
    wall = time


def run_in_virtual_time(make_coroutine):
    """Run the coroutine `make_coroutine(loop)` and return its result."""
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
