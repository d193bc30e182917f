"""Estimate how long upstreams take for each kind of call."""

from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.server import CallRecord
from dogwoodshed._internal.routing.placement import ServiceTimeEstimate


class ServiceTimes:
    """Mean times between dispatch and response, from the records of finished calls."""

    def __init__(self) -> None:
        # By service and kind.
        self._estimates: dict[tuple[str, str], ServiceTimeEstimate] = {}

    def record(self, record: CallRecord) -> None:
        """Add the time of a call that one upstream has answered."""
        if record.ran != "yes" or record.status >= 500 or record.retries:
            return
        key = record.service, record.kind
        estimate = self._estimates.get(key)
        if estimate is None:
            self._estimates[key] = ServiceTimeEstimate(record.upstream_time)
        else:
            estimate.observe(record.upstream_time)

    def expected(self, call: Call) -> float:
        """Return the mean service time of the kind of a call, 0 without a sample."""
        estimate = self._estimates.get((call.service.name, call.kind.name))
        return estimate.mean if estimate is not None else 0.0
