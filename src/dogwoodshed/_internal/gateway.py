"""Join the services of one gateway process."""

import asyncio

from absl import logging
from mode import Service

from dogwoodshed._internal import plugins, registry
from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.idempotency.service import Idempotency
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.service import HeartbeatState, Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.platform.watcher import PlatformWatcher
from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.proxy.relay import Relay
from dogwoodshed._internal.proxy.server import CallRecord, ProxyServer
from dogwoodshed._internal.routing.base import Router, RouterContext
from dogwoodshed._internal.settings import Settings, split_address

METRICS_FLUSH_S = 1.0

STATE_JOINING = "joining"
STATE_READY = "ready"
STATE_LEAVING = "leaving"


class _CountingRecorder:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(self, record: CallRecord) -> None:
        """Count one finished call."""
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
        self._ready = asyncio.Event()
        self._keys = Idempotency(
            self._mesh, self._membership.members, self._clock, self._metrics
        )
        self._membership.subscribe(self._keys.apply_members)

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
        forwarder = self._relay
        if settings.enabled("idempotency"):
            forwarder = self._keys.wrap(self._relay)
        self._server = ProxyServer(
            self._store,
            forwarder,
            _CountingRecorder(self._metrics),
            settings.limits,
            self._clock,
            self._metrics,
        )
        await self.add_runtime_dependency(self._mesh)
        await self.add_runtime_dependency(self._keys)
        await self.add_runtime_dependency(self._watcher)

    async def on_started(self) -> None:
        """Serve once a configuration is in force."""
        await self.wait(self._watcher.first_configuration)
        await self.wait(self._keys.join(self._settings.join_timeout_s))
        await self._server.listen(*split_address(self._settings.listen))
        self._state = STATE_READY
        self._ready.set()
        logging.info("gateway %s ready on port %d", self._settings.id, self.port)

    async def on_stop(self) -> None:
        """Finish every request in flight, then stop."""
        self._state = STATE_LEAVING
        self._keys.leave()
        await self._mesh.announce_leaving()
        self._server.stop_accepting()
        await self._server.drain(self._settings.stop_timeout_s)
        await self._keys.hand_over()
        await self._pools.close()
        self._metrics.flush()
        logging.info("gateway %s stopped", self._settings.id)

    @Service.timer(METRICS_FLUSH_S)
    async def _flush_metrics(self) -> None:
        self._metrics.flush()
