"""Parse load reports that upstreams attach to their responses."""

from collections.abc import Callable, Mapping
from functools import lru_cache

from dogwoodshed._internal import registry
from dogwoodshed._internal.routing.base import LoadReport

LoadReportReader = Callable[[Mapping[str, str]], LoadReport | None]

# Only a response with this status holds callers off.
HELD_OFF_STATUS = 503
# The response header of the Open Request Cost Aggregation (ORCA) protocol.
ORCA_HEADER = "endpoint-load-metrics"
_ORCA_TEXT_PREFIX = "TEXT "


def report_of_response(
    read_report: LoadReportReader, status: int, headers: Mapping[str, str]
) -> LoadReport | None:
    """Read the report of a response; a hold-off counts only with its status."""
    report = read_report(headers)
    if report is None or report.hold_off is None or status == HELD_OFF_STATUS:
        return report
    return report._replace(hold_off=None)


@registry.register(registry.LOAD_REPORT, "orca")
def read_orca(headers: Mapping[str, str]) -> LoadReport | None:
    """Parse the text form of an ORCA report; return None if it is malformed."""
    value = headers.get(ORCA_HEADER)
    if value is None or not value.startswith(_ORCA_TEXT_PREFIX):
        return None
    return parse_orca_text(value[len(_ORCA_TEXT_PREFIX) :])


# Upstreams send few distinct reports, so parsed ones are cached.
@lru_cache(maxsize=4096)
def parse_orca_text(text: str) -> LoadReport | None:
    """Parse comma-separated `name=number` pairs; return None if malformed."""
    metrics: dict[str, float] = {}
    for pair in text.split(","):
        name, _, number = pair.strip().partition("=")
        try:
            metrics[name.removeprefix("named_metrics.")] = float(number)
        except ValueError:
            return None
    return LoadReport(
        in_flight=_to_count(metrics.get("in_flight")),
        slots=_to_count(metrics.get("slots")),
        draining=metrics.get("draining", 0) > 0,
    )


def _to_count(value: float | None) -> int | None:
    return None if value is None or not 0 <= value < 1e9 else int(value)
