"""Write one JSON line for each decision to standard output without blocking on it."""

import json
import logging as standard_logging
import os
import sys
import time

from absl import logging

from dogwoodshed._internal.metrics import Metrics

# A flood of calls must not turn into a flood of lines.
MOST_LINES_PER_S = 100
STDOUT = 1


class EventLog:
    """Write lines up to a rate, and count those that were dropped."""

    def __init__(
        self, gateway: str, metrics: Metrics, descriptor: int = STDOUT
    ) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or drop it above the rate or when nobody reads."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MOST_LINES_PER_S:
            self._metrics.increment("log.dropped")
            return
        self._emit(event, fields)

    def _emit(self, event: str, fields: dict[str, object]) -> None:
        line = {"t": round(time.time(), 3), "gw": self._gateway, "event": event}
        line.update(fields)
        data = json.dumps(line, separators=(",", ":"), default=str) + "\n"
        try:
            os.write(self._descriptor, data.encode())
        except BlockingIOError:
            # The reader is slower than this process; the counter tells how much lost.
            self._metrics.increment("log.dropped")
        except OSError:
            self._metrics.increment("log.failed")


class _StateHandler(standard_logging.Handler):
    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a change of state as a line of the same format."""
        self._log.write(
            "state", level=record.levelname.lower(), message=record.getMessage()
        )
        if record.exc_info:
            text = standard_logging.Formatter().formatException(record.exc_info)
            self._log.write("traceback", text=text[-2000:])


def redirect_logging_to(log: EventLog) -> None:
    """Write all changes of state as lines of the decision log."""
    root = standard_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_StateHandler(log))
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = True
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("fatal")
    sys.stderr.flush()
