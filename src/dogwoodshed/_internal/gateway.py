"""Gateway with a full mesh between gateways and an administration API."""

import asyncio

from absl import logging
from mode import Service

from dogwoodshed._internal import catch_up, drains, plugins, registry
from dogwoodshed._internal.administration.api import (
    AdministrationApi,
    AdministrationCallbacks,
)
from dogwoodshed._internal.administration.status import StatusSources
from dogwoodshed._internal.background import run_stop_steps
from dogwoodshed._internal.catch_up import GuardedRouter
from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.config_service import rate_limiter
from dogwoodshed._internal.config_service.watcher import PlatformWatcher
from dogwoodshed._internal.configuration import document_replicator
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.discovery.host_list import HostList
from dogwoodshed._internal.discovery.store import HostListStore
from dogwoodshed._internal.exceptions import UnknownUpstreamError
from dogwoodshed._internal.idempotency.service import Idempotency
from dogwoodshed._internal.membership import (
    STATE_JOINING,
    STATE_LEAVING,
    STATE_READY,
    Membership,
)
from dogwoodshed._internal.mesh.service import HeartbeatState, Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.probing import prober
from dogwoodshed._internal.proxy.attempts import AttemptSender
from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.proxy.forwarder import RetryingForwarder
from dogwoodshed._internal.proxy.server import CallRecord, ProxyServer, Recorder
from dogwoodshed._internal.proxy.service_times import ServiceTimes
from dogwoodshed._internal.reporting.builder import ReportBuilder
from dogwoodshed._internal.reporting.exchange import SummaryExchange
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.routing.base import (
    Outcome,
    ProbeTarget,
    Router,
    RouterContext,
)
from dogwoodshed._internal.settings import Settings, split_address

METRICS_FLUSH_INTERVAL_S = 1.0
FEATURE_DISCOVERY = "discovery"


class _CountingRecorder:
    """Record each finished call in the minute summary, the metrics and an estimate."""

    def __init__(
        self,
        metrics: Metrics,
        summary_recorder: Recorder,
        service_times: ServiceTimes,
    ) -> None:
        self._metrics = metrics
        self._summary_recorder = summary_recorder
        self._service_times = service_times

    def record(self, record: CallRecord) -> None:
        """Record a finished call."""
        self._summary_recorder.record(record)
        self._service_times.record(record)
        self._metrics.increment(f"calls.{record.service}.{record.kind}.{record.ran}")


class Gateway(Service):
    """A gateway that exchanges state with every other gateway."""

    mundane_level = "debug"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        plugins.load()
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = Metrics.from_settings(settings.statsd, "dogwoodshed")
        self._store = ConfigurationStore(self._metrics)
        self._membership = Membership(settings, self._clock)
        self._mesh = Mesh(
            settings,
            self._membership,
            self._heartbeat_state,
            self._clock,
            self._metrics,
        )
        self._state = STATE_JOINING
        self._router = self._create_router()
        self._drains = drains.DrainTracker(
            self._router.set_draining,
            self._mesh,
            self._clock,
            self._metrics,
            enabled=settings.is_enabled(drains.FEATURE),
        )
        self._store.subscribe(self._router.apply_configuration)
        self._store.subscribe(self._drains.apply_configuration)
        self._membership.subscribe(self._router.apply_members)
        self._hosts = HostListStore(
            registry.lookup(registry.DISCOVERY, settings.platform.discovery),
            self._metrics,
        )
        self._hosts.subscribe(self._apply_host_list)
        client_class = registry.lookup(registry.PLATFORM, settings.platform.adapter)
        self._watcher = PlatformWatcher(
            client_class(settings.platform.address),
            settings.platform,
            (self._store, self._hosts)
            if settings.is_enabled(FEATURE_DISCOVERY)
            else (self._store,),
            rate_limiter.PlatformRateLimiter(
                settings.platform,
                lambda: len(self._membership.members.listed),
                self._clock,
                enabled=settings.is_enabled(rate_limiter.FEATURE),
            ),
            self._metrics,
        )
        self._replicator = document_replicator.DocumentReplicator(
            self._store,
            self._hosts,
            self._mesh,
            self._membership,
            self._clock,
            self._metrics,
            enabled=settings.is_enabled(document_replicator.FEATURE),
        )
        self._catch_up = catch_up.CatchUp(
            self._mesh,
            self._replicator,
            self._metrics,
            enabled=settings.is_enabled(catch_up.FEATURE),
        )
        self._read_report = registry.lookup(registry.LOAD_REPORT, "orca")
        self._prober = prober.Prober(
            self._router,
            self._membership,
            self._read_report,
            self._record_probe,
            self._clock,
            self._metrics,
            split_budget=settings.is_enabled(prober.FEATURE_BUDGET_SHARE),
        )
        self._summaries = SummaryExchange(
            settings, self._mesh, self._membership, self._clock, self._metrics
        )
        self._administration = AdministrationApi(
            self._status_sources(),
            AdministrationCallbacks(
                lambda: self._state == STATE_READY,
                self._drain,
                ReportBuilder(self._summaries, self._store, self._membership).report,
            ),
        )
        self._ready = asyncio.Event()
        self._idempotency = Idempotency(
            self._mesh, self._membership.members, self._clock, self._metrics
        )
        self._membership.subscribe(self._idempotency.apply_members)

    def _create_router(self) -> Router:
        router_class = registry.lookup(registry.ROUTING, self._settings.routing)
        return router_class.from_context(
            RouterContext(
                self._settings,
                self._mesh,
                self._membership,
                self._clock,
                self._metrics,
            )
        )

    def _status_sources(self) -> StatusSources:
        return StatusSources(
            self._settings,
            self._store,
            self._membership,
            self._mesh,
            self._router,
            self._metrics,
            lambda: self._state,
            lambda: self._server.in_flight,
            lambda: self._watcher.reachable,
            lambda: {
                "blocks": len(self._summaries.store),
                "bytes": self._summaries.store.stored_bytes,
            },
        )

    def _drain(self, address: str, draining: bool) -> None:
        upstreams = self._router.snapshot().upstreams
        if not any(upstream.address == address for upstream in upstreams):
            raise UnknownUpstreamError(f"no service lists the upstream {address}")
        self._drains.apply_operator_order(address, draining)

    def _record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:
        self._router.record_probe(target, outcome)
        self._summaries.recorder.count_probe(target.service)
        if outcome.report is not None:
            sent_at = self._clock.monotonic() - outcome.elapsed
            self._drains.apply_load_report(target.address, outcome.report, sent_at)

    def _heartbeat_state(self) -> HeartbeatState:
        current = self._store.current
        digest = current.digest if current else ""
        return HeartbeatState(
            self._state,
            self._store.revision,
            digest,
            self._router.loads(),
            self._hosts.revision,
        )

    def _apply_host_list(self, hosts: HostList, revision: int) -> None:
        self._membership.apply_host_list(hosts.gateways)
        self._store.apply_discovered_upstreams(hosts.upstreams)
        self._drains.apply_host_list(hosts, revision)

    @classmethod
    def from_settings(cls, settings: Settings) -> "Gateway":
        """Create a gateway from its settings."""
        return cls(settings)

    @property
    def port(self) -> int:
        return self._server.port

    async def on_start(self) -> None:
        """Start all components; the listening socket follows in `on_started`."""
        settings = self._settings
        fleet_size = len(self._membership.members.listed)
        self._pools = UpstreamPools(settings.limits, fleet_size, self._metrics)
        self._membership.subscribe(
            lambda members: self._pools.set_fleet_size(len(members.listed))
        )
        router = GuardedRouter(self._router, self._catch_up, self._drains, self._clock)
        sender = AttemptSender(
            router,
            self._pools,
            self._read_report,
            self._clock,
            self._metrics,
            replace_silent=settings.is_enabled("silent_connections"),
            max_response_bytes=settings.limits.max_response_bytes,
        )
        self._forwarder = RetryingForwarder(
            router,
            sender,
            RetryPolicy.from_settings(settings),
            HedgePolicy.from_settings(settings),
            settings.limits.progress_timeout_s,
            self._clock,
            self._metrics,
        )
        forwarder = self._forwarder
        if settings.is_enabled("idempotency"):
            forwarder = self._idempotency.wrap(self._forwarder)
        service_times = ServiceTimes()
        self._server = ProxyServer(
            self._store,
            forwarder,
            _CountingRecorder(self._metrics, self._summaries.recorder, service_times),
            settings.limits,
            self._clock,
            self._metrics,
            expected_service_time=service_times.expected,
        )
        await self.add_runtime_dependency(self._mesh)
        await self.add_runtime_dependency(self._idempotency)
        await self.add_runtime_dependency(self._summaries)
        await self.add_runtime_dependency(self._administration)
        await self.add_runtime_dependency(self._watcher)
        if settings.is_enabled(prober.FEATURE):
            await self.add_runtime_dependency(self._prober)

    async def on_started(self) -> None:
        """Accept callers after documents and key records have been synchronized."""
        result = await self.wait(
            self._replicator.synchronize(self._settings.join_timeout_s)
        )
        if result.stopped:
            return
        await self.wait(
            self._idempotency.wait_until_synchronized(self._settings.join_timeout_s)
        )
        await self._server.listen(*split_address(self._settings.listen))
        self._state = STATE_READY
        self._ready.set()
        logging.info("gateway %s ready on port %d", self._settings.id, self.port)

    async def on_stop(self) -> None:
        """Finish all requests in flight, then stop."""
        self._state = STATE_LEAVING
        self._server.begin_stop(self._settings.drain_timeout_s)
        await run_stop_steps(
            self._metrics,
            self._idempotency.stop_voting,
            self._mesh.announce_leaving,
            self._server.stop_accepting,
            self._server.drain,
            self._idempotency.hand_over_records,
            self._summaries.hand_over_open_minute,
            self._pools.close,
            self._metrics.flush,
        )
        logging.info("gateway %s stopped", self._settings.id)

    @Service.timer(METRICS_FLUSH_INTERVAL_S)
    async def _flush_metrics(self) -> None:
        self._metrics.flush()
