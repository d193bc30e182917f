"""Let targets say that they leave or want no requests, and check who still sends."""

import asyncio
import random
import time
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from tests.lib.target_standin import Exchange, TargetStandIn

# A request that its caller sent later than this after a gateway passed on an answer of
# a leaving target must not reach that target from that gateway.
DRAIN_BOUND_S = 2.0
# From this time after a refusal to the end of the time that it stated, a target gets at
# most so many requests of the gateway.
HOLD_OFF_SLACK_S = 0.5
MAX_HELD_OFF_ARRIVALS = 2
HOLD_OFF_S = 1.2
REFUSING_S = 1.0
PAUSE_S = (0.5, 2.5)
# A refusal is on its way for no longer, unless a fault of the connection delays it.
TRANSIT_S = 0.05


class SentCall(NamedTuple):
    """A call with the gateway that got it, and its times at the caller."""

    gateway: int
    sent_at: float
    finished_at: float
    status: int


class Disturbance(NamedTuple):
    """A fault of a gateway, or of the connections of a target, that excuses it."""

    subject: int | str
    starts_at: float
    ends_at: float


class AnswerFaults:
    """Faults of one seed, from a generator of their own.

    The other faults of a seed are thus the same as without these.
    """

    def __init__(self, seed: int, targets: Mapping[str, TargetStandIn]) -> None:
        self._random = random.Random(f"answers {seed}")
        self._targets = targets
        self.faults: list[str] = []
        # Calls by request id.
        self.calls: dict[str, SentCall] = {}
        self.disturbances: list[Disturbance] = []

    async def inject(self, may_leave: set[str]) -> None:
        """Inject faults until cancelled; one of some targets may leave for good."""
        names = sorted(self._targets)
        leaving = self._random.choice(sorted(may_leave))
        leaves_at = time.monotonic() + self._random.uniform(*PAUSE_S)
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            if leaving and time.monotonic() >= leaves_at:
                self._targets[leaving].leaving = True
                self.faults.append(f"{leaving} leaves by its answers")
                leaving = ""
                continue
            name = self._random.choice(names)
            target = self._targets[name]
            self.faults.append(f"{name} holds off")
            target.refuse, target.retry_after = True, str(HOLD_OFF_S)
            await asyncio.sleep(REFUSING_S)
            target.refuse, target.retry_after = False, ""

    def violations(self) -> Iterator[str]:
        """Yield what reached targets against their answers."""
        for target in self._targets.values():
            yield from self._late_at_leaving(target)
            yield from self._unwanted(target)

    def _late_at_leaving(self, target: TargetStandIn) -> Iterator[str]:
        known_at: dict[int, float] = {}
        for exchange in target.exchanges:
            call = self.calls.get(exchange.request_id)
            if call is not None and exchange.leaving and call.status == 200:
                earlier = known_at.get(call.gateway, call.finished_at)
                known_at[call.gateway] = min(earlier, call.finished_at)
        for exchange in target.exchanges:
            call = self.calls.get(exchange.request_id)
            if call is None or call.gateway not in known_at:
                continue
            since = known_at[call.gateway]
            if call.sent_at > since + DRAIN_BOUND_S and not self._is_excused(
                call.gateway, since, call.sent_at
            ):
                yield f"{exchange.request_id}: reached {target.id}, which leaves"

    def _unwanted(self, target: TargetStandIn) -> Iterator[str]:
        for refusal in target.exchanges:
            call = self.calls.get(refusal.request_id)
            if call is None or not refusal.hold_off_s:
                continue
            starts_at = refusal.answered_at + HOLD_OFF_SLACK_S
            ends_at = refusal.answered_at + refusal.hold_off_s
            if self._is_excused(
                call.gateway, refusal.arrived_at, ends_at
            ) or self._is_excused(
                target.id, refusal.arrived_at, refusal.answered_at + TRANSIT_S
            ):
                continue
            count = sum(
                starts_at < other.arrived_at < ends_at
                and self._gateway_of(other) == call.gateway
                for other in target.exchanges
            )
            if count > MAX_HELD_OFF_ARRIVALS:
                yield (
                    f"{refusal.request_id}: g{call.gateway} sent {count} requests to"
                    f" {target.id}, which wants none"
                )

    def _gateway_of(self, exchange: Exchange) -> int | None:
        call = self.calls.get(exchange.request_id)
        return None if call is None else call.gateway

    def _is_excused(self, subject: int | str, since: float, until: float) -> bool:
        return any(
            fault.subject == subject
            and fault.starts_at <= until
            and fault.ends_at >= since
            for fault in self.disturbances
        )
