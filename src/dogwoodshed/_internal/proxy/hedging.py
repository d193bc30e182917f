"""Run a second attempt beside a slow first one."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from dogwoodshed._internal.exceptions import CallError, NotRunError
from dogwoodshed._internal.proxy.upstream_messages import Answer


class HedgeRace:
    """Run one attempt in the current task and, after a delay, one in another."""

    __slots__ = ("_allowed", "_delay", "_hedge", "_open", "_start", "_task", "_won")

    def __init__(
        self,
        delay: float,
        allowed: Callable[[], bool],
        start: Callable[[], Coroutine[Any, Any, Answer]],
    ) -> None:
        self._delay = delay
        self._allowed = allowed
        self._start = start
        self._hedge: asyncio.Task[Answer] | None = None
        self._task = asyncio.current_task()
        self._open = True
        self._won = False

    async def run(self, first: Awaitable[Answer]) -> Answer:
        """Return the first good answer and cancel the other attempt."""
        timer = asyncio.get_running_loop().call_later(self._delay, self._begin)
        try:
            answer = await first
        except asyncio.CancelledError:
            self._open = False
            if self._won and self._task.uncancel() == 0:
                return self._hedge.result()
            self._drop()
            raise
        except CallError as error:
            self._open = False
            self._withdraw()
            return await self._rescue(error)
        finally:
            timer.cancel()
        self._open = False
        self._withdraw()
        self._drop()
        return answer

    def _withdraw(self) -> None:
        """Take a cancellation back that came after the first attempt had ended."""
        if self._won:
            self._task.uncancel()

    def _begin(self) -> None:
        if self._open and self._allowed():
            self._hedge = asyncio.ensure_future(self._start())
            self._hedge.add_done_callback(self._on_hedge_done)

    def _on_hedge_done(self, hedge: asyncio.Task[Answer]) -> None:
        if hedge.cancelled() or hedge.exception() is not None or not self._open:
            return
        if hedge.result().status < 500:
            self._won = True
            self._open = False
            # The first attempt runs in this task, so its connection closes and the
            # upstream learns that nobody waits.
            self._task.cancel()

    async def _rescue(self, error: CallError) -> Answer:
        """Wait for the hedge after the first attempt failed."""
        if self._hedge is None:
            raise error
        try:
            return await self._hedge
        except NotRunError:
            raise error from None
        except CallError as hedge_error:
            # The hedge may have run, whatever the first attempt says.
            raise hedge_error from error
        except asyncio.CancelledError:
            self._drop()
            raise

    def _drop(self) -> None:
        if self._hedge is None:
            return
        if not self._hedge.done():
            self._hedge.cancel()
        self._hedge.add_done_callback(_discard_result)


def _discard_result(hedge: asyncio.Task[Answer]) -> None:
    if not hedge.cancelled() and hedge.exception() is None:
        hedge.result().discard()
