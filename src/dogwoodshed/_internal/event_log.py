"""Write events as JSON lines to standard output without blocking."""

import json
import logging as standard_logging
import os
import sys
import time
from collections import Counter

from absl import logging

from dogwoodshed._internal.metrics import Metrics

# Limits the log volume when the rate of calls is very high. Each kind of event has this
# limit of its own, so that calls do not crowd out changes of state.
MAX_LINES_PER_S = 100
STDOUT_DESCRIPTOR = 1


class EventLog:
    """Write events up to a maximum rate and count the dropped ones."""

    def __init__(
        self, gateway: str, metrics: Metrics, descriptor: int = STDOUT_DESCRIPTOR
    ) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._descriptor = descriptor
        self._current_second = 0
        self._lines_this_second: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Write an event; drop it above the rate limit or if the pipe is full."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
        self._lines_this_second[event] += 1
        if self._lines_this_second[event] > MAX_LINES_PER_S:
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
            # The reader is slower than this process.
            self._metrics.increment("log.dropped")
        except OSError:
            self._metrics.increment("log.failed")


class _EventLogHandler(standard_logging.Handler):
    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a log record, and its traceback if any, as events."""
        self._log.write(
            "state", level=record.levelname.lower(), message=record.getMessage()
        )
        if record.exc_info:
            text = standard_logging.Formatter().formatException(record.exc_info)
            self._log.write("traceback", text=text[-2000:])


def redirect_logging_to(log: EventLog) -> None:
    """Write all log records as events instead of to standard error."""
    root = standard_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_EventLogHandler(log))
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = True
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("fatal")
    sys.stderr.flush()
