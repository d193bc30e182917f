"""Keep background work running after an unexpected error."""

import contextlib
from collections.abc import Iterator

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
