"""Define the messages by which a hub places the calls of other gateways."""

from typing import NamedTuple


class PlacementRequest(NamedTuple):
    """Ask the hub of the data centre to place a call."""

    # Counts the requests of the sender on this connection.
    request_id: int
    service: str
    # Name of the route's kind.
    kind: str
    rank: int
    # Milliseconds until the deadline, since the arrival of the call, and that its
    # caller spent on earlier attempts.
    time_left_ms: int
    waited_ms: int
    prior_wait_ms: int = 0
    # Upstream addresses that must not be used, and those with an idle connection.
    exclude: tuple[str, ...] = ()
    connected: tuple[str, ...] = ()


class PlacementReply(NamedTuple):
    """Grant a place, refuse it, or state that the call waits for one."""

    request_id: int
    # "granted", "queued", or the code of a refusal.
    result: str
    upstream_id: str = ""
    detail: str = ""
    # Inputs of the choice: slowness in percent, calls in flight before this one, and
    # milliseconds since the last report, or -1.
    slowness: int = 0
    in_flight: int = 0
    report_age_ms: int = -1


class PlacementEnd(NamedTuple):
    """Return a place with the outcome of its call, or withdraw a request."""

    request_id: int
    status: str
    elapsed_ms: int = 0
    # Load report in the response: slowness in percent and calls in flight; -1 if none.
    slowness: int = -1
    in_flight: int = -1
