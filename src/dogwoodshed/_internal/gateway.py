"""Join the services of one gateway process."""

import asyncio

from absl import logging
from mode import Service

from dogwoodshed._internal import plugins, registry
from dogwoodshed._internal.administration.api import (
    AdministrationActions,
    AdministrationApi,
)
from dogwoodshed._internal.administration.status import StatusSources
from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import UnknownUpstreamError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.service import HeartbeatState, Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.platform.watcher import PlatformWatcher
from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.proxy.relay import Relay
from dogwoodshed._internal.proxy.server import CallRecord, ProxyServer, Recorder
from dogwoodshed._internal.reporting.builder import ReportBuilder
from dogwoodshed._internal.reporting.exchange import SummaryExchange
from dogwoodshed._internal.routing.base import Router, RouterContext
from dogwoodshed._internal.settings import Settings, split_address

METRICS_FLUSH_S = 1.0

STATE_JOINING = "joining"
STATE_READY = "ready"
STATE_LEAVING = "leaving"


class _CountingRecorder:
    def __init__(self, metrics: Metrics, minutes: Recorder) -> None:
        self._metrics = metrics
        self._minutes = minutes

    def record(self, record: CallRecord) -> None:
        """Count one finished call."""
        self._minutes.record(record)
        self._metrics.increment(f"calls.{record.service}.{record.kind}.{record.ran}")


class Gateway(Service):
    """Run one gateway from its settings."""

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
        self._store.subscribe(self._router.apply_configuration)
        self._membership.subscribe(self._router.apply_members)
        platform = registry.lookup(registry.PLATFORM, settings.platform.adapter)
        self._watcher = PlatformWatcher(
            platform(settings.platform.address),
            settings.platform,
            self._store,
            self._clock,
            self._metrics,
        )
        self._summaries = SummaryExchange(
            settings, self._mesh, self._membership, self._clock, self._metrics
        )
        self._administration = AdministrationApi(
            self._status_sources(),
            AdministrationActions(
                lambda: self._state == STATE_READY,
                self._drain,
                ReportBuilder(self._summaries, self._store, self._membership).page,
            ),
        )
        self._ready = asyncio.Event()

    def _create_router(self) -> Router:
        policy = registry.lookup(registry.ROUTING, self._settings.routing)
        return policy.from_context(
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
        known = self._router.snapshot().upstreams
        if not any(upstream.address == address for upstream in known):
            raise UnknownUpstreamError(f"no service lists the upstream {address}")
        self._router.set_draining(address, draining)

    def _heartbeat_state(self) -> HeartbeatState:
        current = self._store.current
        digest = current.digest if current else ""
        return HeartbeatState(
            self._state, self._store.revision, digest, self._router.loads()
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> "Gateway":
        """Create a gateway."""
        return cls(settings)

    @property
    def port(self) -> int:
        return self._server.port

    async def on_start(self) -> None:
        """Start the parts, the listening socket last."""
        settings = self._settings
        fleet_size = len(settings.mesh.peers) + 1
        self._pools = UpstreamPools(settings.limits, fleet_size, self._metrics)
        self._relay = Relay(
            self._router,
            self._pools,
            registry.lookup(registry.LOAD_REPORT, "orca"),
            self._clock,
            self._metrics,
        )
        self._server = ProxyServer(
            self._store,
            self._relay,
            _CountingRecorder(self._metrics, self._summaries.recorder),
            settings.limits,
            self._clock,
            self._metrics,
        )
        await self.add_runtime_dependency(self._mesh)
        await self.add_runtime_dependency(self._summaries)
        await self.add_runtime_dependency(self._administration)
        await self.add_runtime_dependency(self._watcher)

    async def on_started(self) -> None:
        """Serve once a configuration is in force."""
        await self.wait(self._watcher.first_configuration)
        await self._server.listen(*split_address(self._settings.listen))
        self._state = STATE_READY
        self._ready.set()
        logging.info("gateway %s ready on port %d", self._settings.id, self.port)

    async def on_stop(self) -> None:
        """Finish every request in flight, then stop."""
        self._state = STATE_LEAVING
        await self._mesh.announce_leaving()
        self._server.stop_accepting()
        await self._server.drain(self._settings.stop_timeout_s)
        await self._summaries.hand_over_open_minute()
        await self._pools.close()
        self._metrics.flush()
        logging.info("gateway %s stopped", self._settings.id)

    @Service.timer(METRICS_FLUSH_S)
    async def _flush_metrics(self) -> None:
        self._metrics.flush()
