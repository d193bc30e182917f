"""Model a call on its way from a caller to an upstream."""

from dogwoodshed._internal.configuration.model import Kind, Service

# A caller whose remaining time is at most this much below the longest one of the kind
# has made no earlier attempt: the difference is jitter.
MIN_PRIOR_WAIT_S = 0.02


class Call:
    """One request of a caller and the state of its forwarding."""

    __slots__ = (
        "arrived_at",
        "attempt_log",
        "attempts",
        "caller",
        "connected_addresses",
        "deadline",
        "depth",
        "dispatched",
        "dispatched_at",
        "duplicate_prevented",
        "hedges",
        "is_caller_retry",
        "key",
        "kind",
        "prior_wait",
        "rank",
        "request_id",
        "retries",
        "service",
    )

    def __init__(
        self,
        service: Service,
        kind: Kind,
        *,
        caller: str,
        arrived_at: float,
        deadline: float,
        rank: int | None = None,
        depth: int = 0,
        key: str | None = None,
        request_id: str = "",
    ) -> None:
        self.service = service
        self.kind = kind
        self.rank = kind.rank.position if rank is None else rank
        self.caller = caller
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.depth = depth
        self.key = key
        # Request id from the caller, empty if it sent none.
        self.request_id = request_id
        # Addresses to which the gateway that sends the call has an idle connection, if
        # that is not this gateway.
        self.connected_addresses: frozenset[str] | None = None
        # Seconds that the caller spent on earlier attempts at the same request,
        # estimated from its remaining time, and whether there were earlier attempts.
        self.prior_wait = 0.0
        self.is_caller_retry = False
        # For the log: each attempt with its outcome.
        self.attempt_log: list[str] = []
        # Number of attempts so far, without those that could not connect.
        self.attempts = 0
        # Set before the first byte goes to an upstream.
        self.dispatched = False
        # For the report: time of the first dispatch, number of further attempts, and
        # whether a repeat was answered with the stored response of the first call.
        self.dispatched_at: float | None = None
        self.retries = 0
        self.hedges = 0
        self.duplicate_prevented = False

    def set_prior_wait(self, seconds: float) -> None:
        """Set the time that the caller spent on earlier attempts; ignore jitter."""
        if seconds > MIN_PRIOR_WAIT_S:
            self.prior_wait = seconds
            self.is_caller_retry = True

    @property
    def has_attempts_left(self) -> bool:
        """Return whether the kind of the call allows another attempt."""
        limit = self.kind.max_attempts
        return limit == 0 or self.attempts < limit

    @property
    def idempotent(self) -> bool:
        return self.kind.idempotent
