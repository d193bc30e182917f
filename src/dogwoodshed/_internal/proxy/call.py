"""Model one call of a caller."""

from dogwoodshed._internal.configuration.model import Kind, Service

# Below this a shorter time left is jitter of the caller, not an earlier try.
LEAST_WAITED_BEFORE_S = 0.02


class Call:
    """One request on its way to an upstream."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "caller",
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
        "trace",
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
        # The caller's name for the request, empty without one.
        self.request_id = request_id
        # Seconds that the caller spent on earlier tries of the same work, as far as its
        # remaining time tells, and whether there were any.
        self.prior_wait = 0.0
        self.is_caller_retry = False
        # For the log: each attempt with its end.
        self.trace: list[str] = []
        # Upstreams that the call was sent to so far.
        self.attempts = 0
        # Set before the first byte goes to an upstream.
        self.dispatched = False
        # For the report: the first dispatch, further attempts, and whether a repeat
        # was answered from the record of the first call.
        self.dispatched_at: float | None = None
        self.retries = 0
        self.hedges = 0
        self.duplicate_prevented = False

    def set_prior_wait(self, seconds: float) -> None:
        """Set what earlier tries of the same work took."""
        if seconds > LEAST_WAITED_BEFORE_S:
            self.prior_wait = seconds
            self.is_caller_retry = True

    @property
    def has_attempts_left(self) -> bool:
        """Tell whether the kind allows another upstream."""
        most = self.kind.max_attempts
        return most == 0 or self.attempts < most

    @property
    def idempotent(self) -> bool:
        return self.kind.idempotent
