"""Gateway with peer discovery, without idempotency records and reports."""

import asyncio
import socket
from typing import Any

from absl import logging
from mode import Service

from dogwoodshed._internal.background import log_unexpected_errors, run_stop_steps
from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.directory.follower import DirectoryFollower
from dogwoodshed._internal.directory.model import Directory, DirectoryRevision
from dogwoodshed._internal.directory.table import UsableUpstream
from dogwoodshed._internal.directory.view import DirectoryView
from dogwoodshed._internal.endpoints import EndpointServer
from dogwoodshed._internal.event_log import EventLog
from dogwoodshed._internal.membership import STATE_JOINING, STATE_LEAVING, STATE_READY
from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    GatewayUpdate,
)
from dogwoodshed._internal.mesh.overlay import Overlay
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.probing.prober import Prober
from dogwoodshed._internal.proxy.attempts import AttemptSender
from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.proxy.forwarder import RetryingForwarder
from dogwoodshed._internal.proxy.headers import HeaderNames
from dogwoodshed._internal.proxy.load_reports import LoadReportReader
from dogwoodshed._internal.proxy.server import CallRecord, ProxyServer
from dogwoodshed._internal.retries.fleet import (
    FleetHedgePolicy,
    FleetRetryBudget,
    FleetRetryPolicy,
)
from dogwoodshed._internal.routing.delegating_router import DelegatingRouter
from dogwoodshed._internal.routing.placement_server import PlacementServer
from dogwoodshed._internal.routing.shared_router import SharedRouterContext
from dogwoodshed._internal.settings import Settings, split_address

# Peers send a starting gateway the directory within a few round trips. If none has done
# so after this time, it reads the directory itself.
FIRST_READ_AFTER_S = 0.03
MAINTENANCE_INTERVAL_S = 0.3


class _LoggingRecorder:
    """Record each finished call in the metrics and in the event log."""

    def __init__(
        self, log: EventLog, metrics: Metrics, store: ConfigurationStore
    ) -> None:
        self._event_log = log
        self._metrics = metrics
        self._store = store

    def record(self, record: CallRecord) -> None:
        """Record a finished call."""
        prefix = f"calls.{record.service}.{record.kind}"
        self._metrics.increment(f"{prefix}.{record.status}.{record.ran}")
        self._metrics.observe(f"{prefix}.seconds", record.elapsed)
        self._event_log.write(
            "call",
            id=record.request_id,
            service=record.service,
            kind=record.kind,
            status=record.status,
            ran=record.ran,
            ms=round(record.elapsed * 1000),
            queued_ms=round(record.queue_time * 1000),
            retries=record.retries,
            hedges=record.hedges,
            upstreams=record.attempt_log,
            why=record.reason,
            config=self._store.revision,
        )


class _OverlayDelegate:
    """Connect the overlay to the directory view, the router and the placements."""

    def __init__(
        self,
        view: DirectoryView,
        router: DelegatingRouter,
        placements: PlacementServer,
    ) -> None:
        load = router.load
        self._view = view
        self._load = load
        self._router = router
        self._placements = placements
        self.handle_placement_request = placements.handle_request
        self.handle_placement_end = placements.handle_end
        self.handle_placement_reply = router.handle_reply
        self.snapshot = view.snapshot
        self.apply_snapshot = view.apply_snapshot
        self.directory_progress = view.directory_progress
        self.record_peer_progress = view.record_peer_progress
        self.compose_load = load.compose_load
        self.switch_hub = load.switch_hub
        self.record_acknowledgement = load.record_acknowledgement

    @property
    def directory_revision(self) -> DirectoryRevision:
        """Return the revision of the directory that this gateway has."""
        return self._view.revision

    @property
    def directory_failing(self) -> bool:
        """Return whether the last call of this gateway to the directory failed."""
        return self._view.failing

    def compose_update(self) -> dict[str, Any] | None:
        """Return the fields of the next update, or None if nothing changed."""
        fields = self._view.compose_update()
        leaving = self._router.take_leaving_upstreams()
        return {**(fields or {}), "leaving": leaving} if leaving else fields

    def apply_update(self, update: GatewayUpdate) -> None:
        """Apply changes of the directory, and leaving upstreams, that a peer knows."""
        self._view.apply_update(update)
        for run in update.leaving:
            self._router.record_leaving_at_peer(run)

    def drop_peer(self, peer_id: str) -> None:
        """Free the places of a peer whose connection ended."""
        self._placements.drop_peer(peer_id)
        self._router.drop_hub(peer_id)

    def apply_load(self, load: DataCentreLoad) -> None:
        """Apply the load of the gateways that a hub serves."""
        self._view.record_peer_progress(load.reached_revision, load.directory_age_ms)
        self._load.apply_load(load)


class FleetGateway(Service):
    """A gateway that uses the overlay and the directory of the platform."""

    mundane_level = "debug"

    def __init__(
        self,
        settings: Settings,
        directory: Directory,
        header_names: HeaderNames,
        read_report: LoadReportReader,
        listener: socket.socket | None = None,
    ) -> None:
        super().__init__()
        # Callers that connect during the start wait in the backlog of this socket.
        self._listener = listener
        self._settings = settings
        self._header_names = header_names
        self._read_report = read_report
        self._clock = SystemClock()
        self._metrics = Metrics.from_settings(settings.statsd, "dogwoodshed")
        self._event_log = EventLog(settings.id, self._metrics)
        self._state = STATE_JOINING
        self._store = ConfigurationStore(
            self._metrics,
            lambda text, revision, source: directory.parse(text, revision),
        )
        self._overlay = Overlay(settings, self._clock, self._metrics)
        self._roster = self._overlay.roster
        self._router = DelegatingRouter(
            SharedRouterContext(
                settings.data_centre,
                settings.limits.queue_length,
                self._overlay.publish,
                self._probes_data_centre,
                lambda address: self._pools.has_idle_connection(address),
                self._clock,
                self._metrics,
                lambda address: self._pools.retire(address),
                settings.limits.max_hold_off_s,
            ),
            self._overlay,
        )
        placements = PlacementServer(
            self._router,
            self._store,
            self._overlay.send_to,
            self._clock,
            self._metrics,
        )
        self._view = DirectoryView(
            self._store,
            self._apply_upstreams,
            self._overlay.publish,
            directory.read_version,
            self._clock,
            self._metrics,
            entry_interval=settings.platform.entry_interval_ms / 1000,
            peers_read=self._peers_read,
        )
        self._follower = DirectoryFollower(
            directory,
            lambda: self._roster.reader_rank,
            self._view.apply_changes,
            self._view.record_failure,
            self._overlay.publish,
            self._clock,
            self._metrics,
            first_read_after=FIRST_READ_AFTER_S,
            is_source_silent=self._overlay.check_source_silence,
        )
        self._view.attach(self._follower)
        self._overlay.attach(_OverlayDelegate(self._view, self._router, placements))
        self._store.subscribe(self._router.apply_configuration)
        # A gateway that starts while it is cut off knows others only as its seeds.
        self._budget = FleetRetryBudget(
            settings.retries, self._clock, min_fleet_size=len(settings.mesh.seeds)
        )
        self._roster.subscribe(
            lambda: self._budget.set_fleet_size(self._roster.fleet_size)
        )
        self._endpoints = EndpointServer(
            settings.endpoints, lambda: self._state == STATE_READY, self._metrics
        )
        self._prober = Prober(
            self._router,
            self._roster,
            read_report,
            self._router.record_probe,
            self._clock,
            self._metrics,
        )

    @property
    def event_log(self) -> EventLog:
        return self._event_log

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at runtime: the seeds of the mesh."""
        logging.info("settings reloaded; %d seeds", len(settings.mesh.seeds))
        self._overlay.set_seeds(settings.mesh.seeds)

    def _probes_data_centre(self, data_centre: str) -> bool:
        """Hubs probe their own data centre and those without a live gateway."""
        if not self._roster.is_hub:
            return False
        return (
            data_centre == self._settings.data_centre
            or not self._roster.has_live_gateway(data_centre)
        )

    def _peers_read(self) -> bool:
        """Return whether a silent hub makes its other gateways read the directory."""
        return self._overlay.check_source_silence() and not self._roster.is_hub

    def _apply_upstreams(self, upstreams: list[UsableUpstream]) -> None:
        self._router.apply_upstreams(upstreams)
        self._pools.keep_only({upstream.entry.address for upstream in upstreams})

    async def on_start(self) -> None:
        """Start all components, the listening socket last."""
        settings = self._settings
        self._pools = UpstreamPools(
            settings.limits, 1, self._metrics, self._header_names
        )
        sender = AttemptSender(
            self._router,
            self._pools,
            self._read_report,
            self._clock,
            self._metrics,
            names=self._header_names,
            finish_abandoned=settings.limits.finish_abandoned,
            buffer_unsized=settings.limits.hold_unsized,
            max_response_bytes=settings.limits.max_response_bytes,
        )
        forwarder = RetryingForwarder(
            self._router,
            sender,
            FleetRetryPolicy(self._budget, self._router.expected_service_time),
            FleetHedgePolicy(
                self._budget,
                self._router.expected_service_time,
                self._router.has_waiting_calls,
            ),
            settings.limits.progress_timeout_s,
            self._clock,
            self._metrics,
        )
        self._server = ProxyServer(
            self._store,
            forwarder,
            _LoggingRecorder(self._event_log, self._metrics, self._store),
            settings.limits,
            self._clock,
            self._metrics,
            self._header_names,
            self._router.expected_service_time,
        )
        await self.add_runtime_dependency(self._endpoints)
        await self.add_runtime_dependency(self._overlay)
        await self.add_runtime_dependency(self._follower)
        await self.add_runtime_dependency(self._prober)
        # Before the gateway is ready, callers get a response that asks them to retry
        # instead of a refused connection.
        address = split_address(settings.listen)
        await self._server.listen(*address, self._listener)

    async def on_started(self) -> None:
        """Become ready once configuration and upstreams are known."""
        result = await self.wait(self._view.wait_ready())
        if result.stopped:
            return
        self._state = STATE_READY
        logging.info(
            "gateway ready with configuration revision %d", self._store.revision
        )

    async def on_stop(self) -> None:
        """Finish all requests in flight, then stop."""
        self._state = STATE_LEAVING
        logging.info("gateway stopping; %d calls in flight", self._server.in_flight)
        linger = self._settings.limits.stop_linger_s
        drain_timeout = self._settings.drain_timeout_s
        self._server.begin_stop(
            None if drain_timeout is None else linger + drain_timeout
        )
        await run_stop_steps(
            self._metrics,
            self._overlay.announce_leaving,
            lambda: self._server.linger(linger),
            self._server.stop_accepting,
            self._server.drain,
            self._pools.close,
            self._metrics.flush,
        )
        logging.info("gateway stopped")

    @Service.task
    async def _maintain(self) -> None:
        while not self.should_stop:
            with log_unexpected_errors("gateway", self._metrics):
                self._router.load.drop_stale_loads()
                if self._view.has_gap:
                    self._overlay.request_snapshot()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    @Service.timer(1.0)
    async def _flush_metrics(self) -> None:
        with log_unexpected_errors("gateway", self._metrics):
            self._metrics.flush()
