"""Keep background work running after an unexpected error."""

import contextlib
import inspect
from collections.abc import Awaitable, Callable, Iterator

from absl import logging

from dogwoodshed._internal.metrics import Metrics


@contextlib.contextmanager
def log_unexpected_errors(name: str, metrics: Metrics) -> Iterator[None]:
    """Log and count an unexpected error, which would otherwise end the process.

    `mode` stops all services when a task of one of them raises an error.
    """
    try:
        yield
    except Exception:
        metrics.increment(f"{name}.unexpected_errors")
        logging.exception("unexpected error in %s", name)


async def run_stop_steps(
    metrics: Metrics, *steps: Callable[[], Awaitable[None] | None]
) -> None:
    """Run the steps of a planned stop in order, also those after a failed one.

    `mode` ends a service whose `on_stop` raises an error, and with it the requests that
    a later step would have waited for.
    """
    for step in steps:
        with log_unexpected_errors("stop", metrics):
            result = step()
            if inspect.isawaitable(result):
                await result
