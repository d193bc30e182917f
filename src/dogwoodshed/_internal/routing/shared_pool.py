"""State of the upstreams and the waiting calls of a service, as a gateway sees it."""

import asyncio
from collections.abc import Callable

from dogwoodshed._internal.admission.on_time import Backlog, OnTimeQueue
from dogwoodshed._internal.configuration.model import Kind, Service, Upstream
from dogwoodshed._internal.directory.model import UpstreamRun
from dogwoodshed._internal.directory.table import UsableUpstream
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    Slot,
)
from dogwoodshed._internal.routing.crowding import CrowdingEstimate
from dogwoodshed._internal.routing.notices import UpstreamNotice
from dogwoodshed._internal.routing.placement import (
    INITIAL_SERVICE_TIME_SHARE,
    MAX_UNLOADED_SLOWNESS,
    Candidate,
    MeanSlowness,
    PerformanceEstimate,
    Placement,
    ServiceTimeEstimate,
)

# An upstream that refuses a call is full for about one service time, often less.
SHED_BACKOFF_INITIAL_S = 0.05
SHED_BACKOFF_MAX_S = 0.4
# An address that refuses connections or does not respond usually stays so until its
# directory entry lapses.
UNREACHABLE_BACKOFF_INITIAL_S = 0.2
UNREACHABLE_BACKOFF_MAX_S = 1.0
# The counts of other gateways' calls lag behind, so that some slots are briefly idle.
USABLE_CAPACITY_SHARE = 0.9
# While at most this share of the slots has a waiting call, calls of different gateways
# rarely choose the same slot.
COLLISION_FREE_SHARE = 0.25
# An attempt in the event log names this many of the upstreams that it had to leave out.
MAX_LOGGED_NOTICES = 3
# Calls in flight at an upstream that has held this gateway off, until one is answered.
TRIAL_CALLS = 1
# The mean service time adapts to a changed mix of kinds within about a hundred calls.
MEAN_SERVICE_TIME_WEIGHT = 0.02


class PlacedSlot(Slot):
    """Permission to send one call to an upstream chosen on the shared view."""

    __slots__ = ("in_flight_at_start", "kind", "placement", "state")

    def __init__(
        self, service: Service, state: "UpstreamState", call: Call, placement: Placement
    ) -> None:
        super().__init__(service, state.upstream)
        self.state = state
        self.kind = call.kind
        # Calls in flight at the upstream, including this one.
        self.in_flight_at_start = placement.in_flight + 1
        self.placement = placement

    def describe_choice(self) -> str:
        """Return slowness, load and report age of the upstream when it was chosen."""
        chosen = self.placement
        age = f"{chosen.report_age_ms}ms-old"
        if chosen.report_age_ms < 0:
            age = "unreported"
        left_out = f" without {chosen.left_out}" if chosen.left_out else ""
        return f"x{chosen.slowness:.2f} {chosen.in_flight}busy {age}{left_out}"


class UpstreamState:
    """One upstream as this gateway sees it."""

    __slots__ = (
        "backoff_until",
        "delegated_calls",
        "notice",
        "own_calls",
        "performance",
        "refusal_count",
        "reported_calls",
        "reported_own_calls",
        "unreachable_count",
        "upstream",
        "usable_upstream",
    )

    def __init__(
        self, usable_upstream: UsableUpstream, notice: UpstreamNotice | None = None
    ) -> None:
        self.notice = notice or UpstreamNotice()
        # Latest state in the directory.
        self.usable_upstream = usable_upstream
        self.upstream = _upstream_of(usable_upstream)
        self.performance = PerformanceEstimate()
        # Calls of this gateway in flight, which it counts itself.
        self.own_calls = 0
        # Those of them that the current hub placed, and counts itself.
        self.delegated_calls = 0
        # Calls in flight of all gateways, by the hub that reports them. They include
        # `reported_own_calls` calls of this gateway.
        self.reported_calls: dict[str, int] = {}
        self.reported_own_calls = 0
        self.backoff_until = 0.0
        self.refusal_count = 0
        self.unreachable_count = 0

    @property
    def run(self) -> UpstreamRun:
        return UpstreamRun.from_entry(self.usable_upstream.entry)

    @property
    def in_flight(self) -> int:
        """Return own calls as counted here plus those that others reported."""
        return self.reportable_calls + max(
            0, sum(self.reported_calls.values()) - self.reported_own_calls
        )

    @property
    def reportable_calls(self) -> int:
        """Return the own calls that the hub does not count by itself."""
        return self.own_calls - self.delegated_calls

    def is_wanted(self, now: float) -> bool:
        """Return whether the upstream accepts a further call of this gateway."""
        if self.notice.is_trial and self.own_calls:
            return False
        return self.notice.is_available(now)

    def is_restart(self, usable_upstream: UsableUpstream) -> bool:
        """Return whether an entry is of a restarted server with the same id."""
        before, after = self.usable_upstream.entry, usable_upstream.entry
        return (before.started_ms, before.address) != (
            after.started_ms,
            after.address,
        )

    def is_source_of(self, report: LoadReport | None) -> bool:
        """Return whether a report is of this upstream, not of its successor.

        Another instance may have started at the same address.
        """
        if report is None or not report.instance:
            return True
        return report.instance == self.upstream.id

    def update_usable_upstream(self, usable_upstream: UsableUpstream) -> None:
        """Apply the current directory entry."""
        self.usable_upstream = usable_upstream
        self.upstream = _upstream_of(usable_upstream)

    def record_status(self, status: OutcomeStatus, now: float) -> bool | None:
        """Update the backoff; return whether the attempt failed, or None if unknown."""
        if status is OutcomeStatus.CANCELLED:
            return None
        self.notice.record_response(now)
        if status is OutcomeStatus.REFUSED:
            self.refusal_count += 1
            backoff = SHED_BACKOFF_INITIAL_S * 2 ** min(self.refusal_count - 1, 6)
            self.backoff_until = now + min(SHED_BACKOFF_MAX_S, backoff)
            return True
        if status is OutcomeStatus.UNREACHABLE:
            self.unreachable_count += 1
            backoff = UNREACHABLE_BACKOFF_INITIAL_S * 2 ** min(
                self.unreachable_count, 6
            )
            self.backoff_until = now + min(UNREACHABLE_BACKOFF_MAX_S, backoff)
            return True
        if status is OutcomeStatus.ANSWERED:
            self.refusal_count = self.unreachable_count = 0
            return False
        return True


def _upstream_of(usable_upstream: UsableUpstream) -> Upstream:
    entry = usable_upstream.entry
    return Upstream(entry.address, entry.data_centre, entry.id)


class ServicePool:
    """The upstreams and the queue of one service."""

    def __init__(self, service: Service, rank_count: int, queue_length: int) -> None:
        self.service = service
        self.states: dict[str, UpstreamState] = {}
        self.queue = OnTimeQueue(rank_count, queue_length)
        self.crowding = CrowdingEstimate()
        # Mean over the kinds, weighted by their frequency.
        self.mean_service_time: float | None = None
        self.mean_slowness = MeanSlowness()
        self.service_time_estimates: dict[str, ServiceTimeEstimate] = {}
        # Waiting calls of all gateways by rank, by the hub that reports them, and those
        # of them that wait at this gateway.
        self.reported_waiting: dict[str, tuple[int, ...]] = {}
        self.reported_own_waiting: tuple[int, ...] = ()
        self.timer: asyncio.TimerHandle | None = None

    def call_limit(self, state: UpstreamState) -> int:
        """Return how many concurrent calls to send to an upstream."""
        return self.crowding.call_limit(max(1, state.usable_upstream.entry.slots))

    def count_waiting(self, rank: int) -> int:
        """Return how many calls of a rank or a more urgent one wait in the fleet."""
        reported = sum(
            sum(by_rank[: rank + 1]) for by_rank in self.reported_waiting.values()
        )
        elsewhere = max(0, reported - sum(self.reported_own_waiting[: rank + 1]))
        return self.queue.waiting_up_to(rank) + elsewhere

    def count_competing_calls(self, rank: int) -> int:
        """Return how many calls at other gateways compete with a call of a rank.

        A few waiting calls in a large service find enough slots, so they are not
        counted. With them counted, corrib-gw scale-1 answered 7% fewer price lookups on
        time.
        """
        waiting = self.count_waiting(rank) - self.queue.waiting_up_to(rank)
        if not waiting:
            return 0
        slots = sum(self.call_limit(state) for state in self.states.values())
        return max(0, waiting - int(COLLISION_FREE_SHARE * slots))

    def update_mean_service_time(self, service_time: float) -> None:
        """Add the service time of a new call to the mean."""
        if self.mean_service_time is None:
            self.mean_service_time = service_time
        self.mean_service_time += MEAN_SERVICE_TIME_WEIGHT * (
            service_time - self.mean_service_time
        )

    def service_time_of(self, call: Call) -> float:
        """Return the mean service time of the kind of a call."""
        return self.service_time_estimate(call.kind).mean

    def service_time_estimate(self, kind: Kind) -> ServiceTimeEstimate:
        estimate = self.service_time_estimates.get(kind.name)
        if estimate is None:
            initial = INITIAL_SERVICE_TIME_SHARE * kind.time_limit
            estimate = self.service_time_estimates[kind.name] = ServiceTimeEstimate(
                initial
            )
        return estimate

    def record_service_time(self, slot: PlacedSlot, outcome: Outcome) -> None:
        """Update the service time of the kind and the effect of crowding on it."""
        report = outcome.report
        if report is None or (report.slowness or 1.0) > MAX_UNLOADED_SLOWNESS:
            return
        estimate = self.service_time_estimate(slot.kind)
        slots = slot.state.usable_upstream.entry.slots
        if slot.in_flight_at_start <= max(1, slots // 2):
            estimate.observe(outcome.elapsed)
        in_flight_at_end = report.in_flight or 0
        self.crowding.observe(
            slot.in_flight_at_start,
            in_flight_at_end,
            slots,
            outcome.elapsed / estimate.mean,
        )

    def candidates(
        self,
        exclude: frozenset[str],
        own_data_centre: str,
        has_connection: Callable[[str], bool],
        now: float,
    ) -> list[Candidate]:
        """Return the upstreams to choose from; those in backoff only without others.

        Those that leave are the last resort for a short time, and those that want no
        calls of this gateway are left out.
        """
        mean_slowness = self.mean_slowness.mean
        limits: dict[int, int] = {}
        available = []
        backing_off = []
        leaving = []
        for upstream_id, state in self.states.items():
            if state.upstream.address in exclude:
                continue
            notice = state.notice
            is_available = notice.is_available(now)
            if not is_available and not notice.admits_as_last_resort(now):
                continue
            usable_upstream = state.usable_upstream
            slots = usable_upstream.entry.slots
            call_limit = limits.get(slots)
            if call_limit is None:
                call_limit = limits[slots] = self.call_limit(state)
            in_flight = state.in_flight
            if notice.is_trial:
                # Calls of other gateways do not prevent the trial of this one.
                call_limit, in_flight = TRIAL_CALLS, state.own_calls
            candidate = Candidate(
                upstream_id,
                call_limit,
                in_flight,
                state.performance.slowness(mean_slowness, now),
                state.performance.error_rate(now),
                usable_upstream.entry.data_centre != own_data_centre,
                usable_upstream.absent,
                now < usable_upstream.cold_until,
                now - state.performance.reported_at,
                has_connection(state.upstream.address),
            )
            if not is_available:
                leaving.append(candidate)
            elif state.backoff_until <= now:
                available.append(candidate)
            else:
                backing_off.append(candidate)
        return available or backing_off or leaving

    def unwanted_addresses(self, now: float) -> set[str]:
        """Return the addresses of the upstreams that want no calls of this gateway."""
        return {
            state.upstream.address
            for state in self.states.values()
            if not state.is_wanted(now)
        }

    def describe_left_out(self, now: float) -> str:
        """Return which upstreams get no calls because of what they said, and why."""
        reasons = [
            f"{upstream_id} {reason}"
            for upstream_id, state in self.states.items()
            if (reason := state.notice.describe(now))
        ]
        shown = ", ".join(reasons[:MAX_LOGGED_NOTICES])
        hidden = len(reasons) - MAX_LOGGED_NOTICES
        return f"{shown} and {hidden} more" if hidden > 0 else shown

    def held_off_for(self, now: float) -> float | None:
        """Return the seconds until the first of the upstreams can be called again.

        None if one of them can be called now, or if none returns.
        """
        times = [
            state.notice.held_off_until - now
            for state in self.states.values()
            if state.notice.leaving_since is None
        ]
        first = min(times, default=0.0)
        return first if first > 0 else None

    def backlog(self, call: Call, now: float) -> Backlog:
        """Return the calls ahead of a new call and the capacity of the upstreams."""
        calls_ahead = self.count_waiting(call.rank)
        service_time = self.mean_service_time or self.service_time_of(call)
        mean_speed = self.mean_slowness.speed
        capacity = 0.0
        for state in self.states.values():
            if state.backoff_until <= now and state.notice.is_available(now):
                call_limit = self.call_limit(state)
                if state.notice.is_trial:
                    call_limit = TRIAL_CALLS
                relative_time = self.crowding.relative_time(
                    call_limit, state.usable_upstream.entry.slots
                )
                speed = state.performance.speed(mean_speed, now)
                capacity += call_limit * speed / (service_time * relative_time)
        return Backlog(calls_ahead, USABLE_CAPACITY_SHARE * capacity)
