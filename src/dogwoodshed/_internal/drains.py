"""Replicate to all gateways whether an upstream drains."""

from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.discovery.host_list import HostList
from dogwoodshed._internal.mesh.messages import (
    DrainState,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import LoadReport

FEATURE = "drains"

# Sources of drain states.
HOST_LIST = "host_list"
REPORT = "report"
OPERATOR = "operator"

# A load report ends a drain only if its call was sent this long after the drain was
# recorded; the response to an earlier call may have been created before the drain.
RESUME_DELAY_S = 1.0
# States of removed upstreams and of ended drains are kept for this long: longer than
# the lag of the host list, and than any relevant partition.
FORGET_AFTER_S = 3600.0


class _SourceState(NamedTuple):
    draining: bool
    version: int
    recorded_at: float


class DrainTracker:
    """Combine host list, load reports and operator orders for each upstream.

    The sources are kept separately, so that a load report cannot end a drain that an
    operator ordered. An upstream drains while any source reports a drain.
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
        self._states: dict[tuple[str, str], _SourceState] = {}
        self._draining_addresses: set[str] = set()
        self._configured_addresses: frozenset[str] = frozenset()
        self._listed_addresses: frozenset[str] = frozenset()
        self._list_revision = 0
        if enabled:
            mesh.subscribe(DrainState, self._receive)
            mesh.on_connect(self._send_states)

    @property
    def draining(self) -> frozenset[str]:
        return frozenset(self._draining_addresses)

    def apply_operator_order(self, address: str, draining: bool) -> None:
        """Apply the order of an operator to start or end a drain."""
        self._record_observation(address, OPERATOR, draining)

    def apply_load_report(
        self, address: str, report: LoadReport, sent_at: float
    ) -> None:
        """Apply a load report from the response to a call or probe."""
        state = self._states.get((address, REPORT))
        if report.draining:
            self._record_observation(address, REPORT, True)
        elif state and state.draining and sent_at >= state.recorded_at + RESUME_DELAY_S:
            self._record_observation(address, REPORT, False)

    def apply_host_list(self, hosts: HostList, revision: int) -> None:
        """Apply the host list of the platform; its revision orders the changes."""
        self._listed_addresses, self._list_revision = hosts.addresses, revision
        for address in sorted(hosts.addresses):
            leaving = address in hosts.leaving
            if leaving or (address, HOST_LIST) in self._states:
                self._apply_change(address, HOST_LIST, leaving, revision)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the configured upstreams, and remove old states."""
        self._configured_addresses = frozenset(
            upstream.address
            for service in configuration.services
            for upstream in service.upstreams
        )
        self._remove_stale()

    def _record_observation(self, address: str, source: str, draining: bool) -> None:
        state = self._states.get((address, source))
        if draining == (state is not None and state.draining):
            return
        # Higher than the current version, even if the clock of this host is behind.
        previous_version = state.version if state else 0
        version = max(int(self._clock.wall() * 1000), previous_version + 1)
        self._apply_change(address, source, draining, version)

    def _receive(self, peer_id: str, message: DrainState) -> None:
        if (
            message.source == HOST_LIST
            and message.version <= self._list_revision
            and message.address in self._listed_addresses
        ):
            return
        self._apply_change(
            message.address, message.source, message.draining, message.version
        )

    def _apply_change(
        self, address: str, source: str, draining: bool, version: int
    ) -> None:
        state = self._states.get((address, source))
        if state is not None and version <= state.version:
            return
        now = self._clock.monotonic()
        self._states[address, source] = _SourceState(draining, version, now)
        if state is None or state.draining != draining:
            self._update_upstream(address, source)
            if self._enabled:
                # Peers forward new states to gateways that this one cannot reach.
                self._mesh.broadcast(DrainState(address, draining, version, source))

    def _update_upstream(self, address: str, source: str) -> None:
        draining = any(
            state.draining for key, state in self._states.items() if key[0] == address
        )
        if draining == (address in self._draining_addresses):
            return
        if draining:
            self._draining_addresses.add(address)
            self._metrics.increment("drains.started")
            logging.info("upstream %s drains, reported by %s", address, source)
        else:
            self._draining_addresses.discard(address)
            self._metrics.increment("drains.ended")
            logging.info(
                "upstream %s takes work again, reported by %s", address, source
            )
        self._set_draining(address, draining)

    def _send_states(self, peer_id: str) -> None:
        for (address, source), state in self._states.items():
            self._mesh.send(
                peer_id, DrainState(address, state.draining, state.version, source)
            )

    def _remove_stale(self) -> None:
        limit = self._clock.monotonic() - FORGET_AFTER_S
        for (address, source), state in list(self._states.items()):
            removed = (
                address not in self._configured_addresses
                and address not in self._listed_addresses
            )
            if state.recorded_at < limit and (removed or not state.draining):
                del self._states[address, source]
                self._update_upstream(address, source)
