"""Tell all gateways at once that an upstream drains, or takes work again."""

from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.discovery.host_list import HostList
from dogwoodshed._internal.mesh.messages import DrainState
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import LoadReport

FEATURE = "drains"

HOST_LIST = "host_list"
REPORT = "report"
OPERATOR = "operator"

# An answer to a call that was sent earlier may have been on its way before the drain.
RESUME_AFTER_S = 1.0
# Longer than the host list and any partition that still matters may lag.
FORGET_AFTER_S = 3600.0


class _State(NamedTuple):
    draining: bool
    version: int
    noted_at: float


class DrainTracker:
    """Join what host list, load reports and operators say of each upstream.

    Each source is kept by itself, so that a report cannot end a drain that the
    operator ordered. An upstream drains while any source says so.
    """

    def __init__(
        self,
        set_draining: Callable[[str, bool], None],
        mesh: Mesh,
        clock: Clock,
        metrics: Metrics,
        *,
        enabled: bool = True,
    ) -> None:
        self._set_draining = set_draining
        self._mesh = mesh
        self._clock = clock
        self._metrics = metrics
        self._enabled = enabled
        self._states: dict[tuple[str, str], _State] = {}
        self._draining: set[str] = set()
        self._configured: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._list_revision = 0
        if enabled:
            mesh.subscribe(DrainState, self._receive)
            mesh.on_connect(self._send_all)

    @property
    def draining(self) -> frozenset[str]:
        return frozenset(self._draining)

    def apply_operator_order(self, address: str, draining: bool) -> None:
        """Follow an operator."""
        self._observe(address, OPERATOR, draining)

    def apply_load_report(
        self, address: str, report: LoadReport, sent_at: float
    ) -> None:
        """Follow the load report in the answer to a call or probe."""
        state = self._states.get((address, REPORT))
        if report.draining:
            self._observe(address, REPORT, True)
        elif state and state.draining and sent_at >= state.noted_at + RESUME_AFTER_S:
            self._observe(address, REPORT, False)

    def apply_host_list(self, hosts: HostList, revision: int) -> None:
        """Follow the platform; the revision of the list orders its changes."""
        self._listed, self._list_revision = hosts.addresses, revision
        for address in sorted(hosts.addresses):
            leaving = address in hosts.leaving
            if leaving or (address, HOST_LIST) in self._states:
                self._change(address, HOST_LIST, leaving, revision)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Forget what was known of upstreams that are long gone."""
        self._configured = frozenset(
            upstream.address
            for service in configuration.services
            for upstream in service.upstreams
        )
        self._forget_old()

    def _observe(self, address: str, source: str, draining: bool) -> None:
        state = self._states.get((address, source))
        if draining == (state is not None and state.draining):
            return
        # Later than what is known, even if this host's clock is behind.
        known = state.version if state else 0
        version = max(int(self._clock.wall() * 1000), known + 1)
        self._change(address, source, draining, version)

    def _receive(self, peer_id: str, message: DrainState) -> None:
        if (
            message.source == HOST_LIST
            and message.version <= self._list_revision
            and message.address in self._listed
        ):
            return
        self._change(message.address, message.source, message.draining, message.version)

    def _change(self, address: str, source: str, draining: bool, version: int) -> None:
        state = self._states.get((address, source))
        if state is not None and version <= state.version:
            return
        now = self._clock.monotonic()
        self._states[address, source] = _State(draining, version, now)
        if state is None or state.draining != draining:
            self._apply(address, source)
            if self._enabled:
                # Peers pass on what is new to them, for those that cannot be reached.
                self._mesh.broadcast(DrainState(address, draining, version, source))

    def _apply(self, address: str, source: str) -> None:
        draining = any(
            state.draining for key, state in self._states.items() if key[0] == address
        )
        if draining == (address in self._draining):
            return
        if draining:
            self._draining.add(address)
            self._metrics.increment("drains.started")
            logging.info("upstream %s drains, by %s", address, source)
        else:
            self._draining.discard(address)
            self._metrics.increment("drains.ended")
            logging.info("upstream %s takes work again, by %s", address, source)
        self._set_draining(address, draining)

    def _send_all(self, peer_id: str) -> None:
        for (address, source), state in self._states.items():
            self._mesh.send(
                peer_id, DrainState(address, state.draining, state.version, source)
            )

    def _forget_old(self) -> None:
        limit = self._clock.monotonic() - FORGET_AFTER_S
        for (address, source), state in list(self._states.items()):
            gone = address not in self._configured and address not in self._listed
            if state.noted_at < limit and (gone or not state.draining):
                del self._states[address, source]
                self._apply(address, source)
