"""Run a second attempt (a hedge) in parallel with a slow first one."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from dogwoodshed._internal.exceptions import CallError, NotRunError
from dogwoodshed._internal.proxy.upstream_messages import UpstreamResponse


class HedgeRace:
    """Run one attempt in the current task and, after a delay, one in another."""

    __slots__ = (
        "_create_hedge",
        "_delay",
        "_hedge",
        "_hedge_won",
        "_is_allowed",
        "_task",
        "_undecided",
    )

    def __init__(
        self,
        delay: float,
        is_allowed: Callable[[], bool],
        create_hedge: Callable[[], Coroutine[Any, Any, UpstreamResponse]],
    ) -> None:
        self._delay = delay
        self._is_allowed = is_allowed
        self._create_hedge = create_hedge
        self._hedge: asyncio.Task[UpstreamResponse] | None = None
        self._task = asyncio.current_task()
        self._undecided = True
        self._hedge_won = False

    async def run(self, first: Awaitable[UpstreamResponse]) -> UpstreamResponse:
        """Return the response of the first attempt, or of a hedge that is faster."""
        timer = asyncio.get_running_loop().call_later(
            self._delay, self._start_hedge_if_allowed
        )
        try:
            response = await first
        except asyncio.CancelledError:
            self._undecided = False
            if self._hedge_won and self._task.uncancel() == 0:
                return self._hedge.result()
            self._cancel_hedge()
            raise
        except CallError as error:
            self._undecided = False
            self._undo_cancellation()
            return await self._await_hedge(error)
        finally:
            timer.cancel()
        self._undecided = False
        self._undo_cancellation()
        self._cancel_hedge()
        return response

    def _undo_cancellation(self) -> None:
        """Undo a cancellation that arrived after the first attempt had ended."""
        if self._hedge_won:
            self._task.uncancel()

    def _start_hedge_if_allowed(self) -> None:
        if self._undecided and self._is_allowed():
            self._hedge = asyncio.ensure_future(self._create_hedge())
            self._hedge.add_done_callback(self._on_hedge_done)

    def _on_hedge_done(self, hedge: asyncio.Task[UpstreamResponse]) -> None:
        if hedge.cancelled() or hedge.exception() is not None or not self._undecided:
            return
        if hedge.result().status < 500:
            self._hedge_won = True
            self._undecided = False
            # The first attempt runs in this task. Cancelling it closes its connection,
            # which tells the upstream that the response is no longer needed.
            self._task.cancel()

    async def _await_hedge(self, error: CallError) -> UpstreamResponse:
        """Return the result of the hedge after the first attempt failed."""
        if self._hedge is None:
            raise error
        try:
            return await self._hedge
        except NotRunError:
            raise error from None
        except CallError as hedge_error:
            # The hedge may have run, whatever the outcome of the first attempt.
            raise hedge_error from error
        except asyncio.CancelledError:
            self._cancel_hedge()
            raise

    def _cancel_hedge(self) -> None:
        if self._hedge is None:
            return
        if not self._hedge.done():
            self._hedge.cancel()
        self._hedge.add_done_callback(_discard_result)


def _discard_result(hedge: asyncio.Task[UpstreamResponse]) -> None:
    if not hedge.cancelled() and hedge.exception() is None:
        hedge.result().discard()
