"""Record what upstreams say of further calls, and tell it to the other gateways."""

from collections.abc import Callable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.directory.model import UpstreamRun
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import LoadReport
from dogwoodshed._internal.routing.shared_pool import UpstreamState
from dogwoodshed._internal.routing.shared_pools import ServicePools


class NoticeRecorder:
    """Record notices of responses, and of other gateways, for one run of an upstream.

    Only that an upstream leaves is told to other gateways: a hold-off is meant for the
    gateway that got it.
    """

    def __init__(
        self,
        services: ServicePools,
        on_leaving: Callable[[str], None],
        publish: Callable[[], None],
        max_hold_off: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._services = services
        # Called with the address of an upstream that leaves.
        self._on_leaving = on_leaving
        self._publish = publish
        self._max_hold_off = max_hold_off
        self._clock = clock
        self._metrics = metrics
        # Runs that leave and that the next update names.
        self._unannounced: list[UpstreamRun] = []

    def record_report(self, state: UpstreamState, report: LoadReport) -> bool:
        """Record the report of a response; return whether it restricts calls."""
        if not report.draining and not report.hold_off:
            return False
        run = state.run
        now = self._clock.monotonic()
        if report.draining and state.notice.record_leaving(now):
            self._metrics.increment("upstreams.leaving_by_answer")
            logging.info("upstream %s leaves, by its own answer", run.id)
            self._unannounced.append(run)
            self._on_leaving(run.address)
            self._publish()
        if report.hold_off:
            seconds = min(report.hold_off, self._max_hold_off)
            self._metrics.increment("upstreams.held_off")
            if state.notice.record_hold_off(seconds, now):
                logging.info("upstream %s wants no calls for %.2f s", run.id, seconds)
        self._services.notices.keep(run, state.notice)
        return True

    def record_leaving_at_peer(self, run: UpstreamRun) -> bool:
        """Record that a run left by its answer to a peer; return whether it is new."""
        if run in self._unannounced:
            # Many gateways may get such an answer at once; one update is enough.
            self._unannounced.remove(run)
        board = self._services.notices
        state = self._services.states.get(run.id)
        is_current = state is not None and state.run == run
        # The directory may list the upstream here later than at the peer.
        notice = state.notice if is_current else board.notice_of(run)
        if not notice.record_leaving(self._clock.monotonic()):
            return False
        self._metrics.increment("upstreams.leaving_by_peer")
        logging.info("upstream %s leaves, by its answer to a peer", run.id)
        board.keep(run, notice)
        if is_current:
            self._on_leaving(run.address)
        return True

    def take_unannounced(self) -> tuple[UpstreamRun, ...]:
        """Return the leaving runs to announce, and clear them."""
        runs = tuple(self._unannounced)
        self._unannounced.clear()
        return runs
