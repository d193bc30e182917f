"""Keep the pools of all services in line with configuration and directory."""

from collections.abc import Iterator

from dogwoodshed._internal.configuration.model import Configuration, Service
from dogwoodshed._internal.directory.model import UpstreamRun
from dogwoodshed._internal.directory.table import UsableUpstream
from dogwoodshed._internal.routing.base import ProbeTarget, UpstreamStatus
from dogwoodshed._internal.routing.notices import NoticeBoard
from dogwoodshed._internal.routing.shared_pool import ServicePool, UpstreamState


class ServicePools:
    """Pools by service, and the states of their upstreams by id.

    The dictionaries stay the same objects, since other parts of the router share them.
    """

    def __init__(self, queue_length: int) -> None:
        self._queue_length = queue_length
        self._usable_upstreams: dict[str, list[UsableUpstream]] = {}
        self._rank_count = 1
        self.pools: dict[str, ServicePool] = {}
        self.states: dict[str, UpstreamState] = {}
        self.pool_of: dict[str, ServicePool] = {}
        self.notices = NoticeBoard()
        # Data centres that have upstreams.
        self.data_centres: set[str] = set()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a new configuration."""
        self._rank_count = len(configuration.ranks)
        for service in configuration.services:
            pool = self.pools.get(service.name)
            if pool is None:
                self.pools[service.name] = ServicePool(
                    service, self._rank_count, self._queue_length
                )
            else:
                pool.service = service
        for name in set(self.pools) - {s.name for s in configuration.services}:
            pool = self.pools[name]
            if not pool.queue:
                del self.pools[name]
        self._rebuild()

    def apply_upstreams(self, upstreams: list[UsableUpstream]) -> None:
        """Apply the upstreams that may get calls now."""
        self._usable_upstreams = {}
        for upstream in upstreams:
            self._usable_upstreams.setdefault(upstream.entry.service, []).append(
                upstream
            )
        self._rebuild()

    def _rebuild(self) -> None:
        states: dict[str, UpstreamState] = {}
        for name, pool in self.pools.items():
            pool_states = {}
            for usable_upstream in self._usable_upstreams.get(name, ()):
                entry = usable_upstream.entry
                state = self.states.get(entry.id)
                if state is None or state.is_restart(usable_upstream):
                    state = UpstreamState(
                        usable_upstream,
                        self.notices.notice_of(UpstreamRun.from_entry(entry)),
                    )
                state.update_usable_upstream(usable_upstream)
                pool_states[entry.id] = states[entry.id] = state
                self.pool_of[entry.id] = pool
            pool.states = pool_states
        for removed in set(self.pool_of) - set(states):
            del self.pool_of[removed]
        self.states.clear()
        self.states.update(states)
        self.data_centres = {s.upstream.data_centre for s in states.values()}

    def find_service(self, name: str) -> Service | None:
        """Return a service of the current configuration, or None."""
        pool = self.pools.get(name)
        return pool.service if pool is not None else None

    def clamp_rank(self, rank: int) -> int:
        """Return the closest rank that the current configuration has."""
        return max(0, min(rank, self._rank_count - 1))

    def count_upstreams(self, service: Service) -> int:
        """Return how many upstreams a service has."""
        pool = self.pools.get(service.name)
        return len(pool.states) if pool is not None else 0

    def probe_targets(
        self, data_centres: set[str], now: float
    ) -> Iterator[ProbeTarget]:
        """Yield the upstreams of some data centres as targets of probes."""
        for pool in self.pools.values():
            for state in pool.states.values():
                if state.upstream.data_centre in data_centres and state.is_wanted(now):
                    yield ProbeTarget(
                        pool.service.name,
                        state.upstream.address,
                        pool.service.probe_path,
                        pool.service.probe_budget_per_s,
                        state.performance.reported_at,
                    )

    def upstream_statuses(self, now: float) -> Iterator[UpstreamStatus]:
        """Yield the state of each upstream for the status page."""
        for name, pool in self.pools.items():
            for state in pool.states.values():
                slowness = state.performance.slowness(pool.mean_slowness.mean, now)
                yield UpstreamStatus(
                    name,
                    state.upstream.address,
                    state.in_flight,
                    round(slowness * 100, 1),
                    _reason_out(state, now),
                )


def _reason_out(state: UpstreamState, now: float) -> str | None:
    return state.notice.describe(now) or (
        "absent" if state.usable_upstream.absent else None
    )
