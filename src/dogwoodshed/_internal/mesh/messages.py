"""Define the messages between gateways.

On the wire a message is a msgpack array `[code, request_id, fields...]`. New fields are
appended with a default, so that gateways of two releases can exchange messages during
an upgrade.
"""

from typing import Any, NamedTuple

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """Open a connection between two gateways."""

    version: int
    peer_id: str
    incarnation: int
    data_centre: str
    fleet: str = ""
    # Address for connections of peers, in fleets that discover their members.
    address: str = ""
    # How suitable its host is as a hub, from 0 to 1.
    hub_weight: float = 1.0


class ServiceLoad(NamedTuple):
    """Idle slots and queue lengths of one service at one gateway."""

    # Averaged over about a heartbeat, since the count changes within milliseconds.
    idle_slots: float
    # Queue lengths by rank.
    queued: tuple[int, ...]


class Heartbeat(NamedTuple):
    """Show periodically that a gateway is alive, with its revisions and loads."""

    sequence: int
    state: str
    revision: int
    digest: str
    # Indexed by the position of the service in the configuration.
    loads: tuple[ServiceLoad, ...] = ()
    hosts_revision: int = 0


class Leaving(NamedTuple):
    """Announce a planned stop."""


class DocumentRequest(NamedTuple):
    """Request a replicated document by its key, relative to the configured prefix."""

    key: str = "configuration"


class DocumentReply(NamedTuple):
    """Reply to DocumentRequest; revision 0 means that there is no document."""

    revision: int
    text: str


class BorrowRequest(NamedTuple):
    """Ask a peer to lend slots of a service."""

    service: str
    rank: int
    count: int
    # Upstream addresses that the borrower cannot use, such as those already tried.
    exclude: tuple[str, ...] = ()


class Lease(NamedTuple):
    """A slot that is lent for a limited time."""

    lease_id: int
    address: str
    term_ms: int
    expected_ms: float


class BorrowReply(NamedTuple):
    """Reply to BorrowRequest; no leases means that no slot is idle."""

    leases: tuple[Lease, ...]
    idle_slots: int = 0


class LeaseReturn(NamedTuple):
    """Return leases to the lender."""

    lease_ids: tuple[int, ...]


class DrainState(NamedTuple):
    """Announce that an upstream drains or accepts calls again."""

    address: str
    draining: bool
    # Orders the changes that one source reports for an upstream: the revision of the
    # host list, or else the wall-clock milliseconds of the first observer.
    version: int
    source: str = "report"


class Claim(NamedTuple):
    """Ask a holder to record an idempotency key before the call is sent."""

    service: str
    # Digest of service, caller and key.
    key: bytes
    fingerprint: bytes
    dispatcher: str
    incarnation: int
    attempt: int = 0
    # Digest of the set of holders that the dispatcher asks.
    holders: bytes = b""


class KeyState(NamedTuple):
    """State of an idempotency key at a gateway, in reply to Claim and KeyLookup."""

    state: str
    dispatcher: str = ""
    incarnation: int = 0
    fingerprint: bytes = b""
    response: bytes = b""


class KeyResult(NamedTuple):
    """Report to the holders of a key how its call ended; "absent" releases the key."""

    service: str
    key: bytes
    state: str
    response: bytes = b""
    fingerprint: bytes = b""
    incarnation: int = 0
    attempt: int = 0


class KeyLookup(NamedTuple):
    """Ask for the state of an idempotency key at a gateway."""

    service: str
    key: bytes
    # Reply only after the call that the asked gateway sends for this key has ended.
    wait: bool = False


class KeyRecord(NamedTuple):
    """The record of one idempotency key."""

    key: bytes
    state: str
    dispatcher: str
    incarnation: int
    attempt: int
    fingerprint: bytes
    response: bytes
    age_ms: int


class KeyRecords(NamedTuple):
    """Transfer key records, on a planned stop or in reply to KeyRecordsRequest."""

    records: tuple[KeyRecord, ...]
    # In a reply: all records were sent, the last ones in this message.
    complete: bool = False


class KeyRecordsRequest(NamedTuple):
    """Ask for the records of all keys that the sender should hold."""

    # Digest of the listed gateways; only a gateway with the same list replies.
    listed: bytes


class SummaryPush(NamedTuple):
    """Send minute summaries to a peer for storage."""

    summaries: tuple[bytes, ...]


class SummaryRequest(NamedTuple):
    """Ask for a part of the minute summaries from a minute on."""

    since_minute: int
    # Key of the last summary of the previous part; empty for the first part.
    after: tuple[Any, ...] = ()
    # Gateway incarnations to omit, since the gateways themselves supply their
    # summaries.
    exclude: tuple[tuple[str, int], ...] = ()


class Presence(NamedTuple):
    """Minutes during which a peer was live; both ends are included."""

    gateway: str
    incarnation: int
    first: int
    last: int


class SummaryReply(NamedTuple):
    """Reply to SummaryRequest with a part of the minute summaries."""

    summaries: tuple[bytes, ...]
    # Key to pass as `after` for the next part; empty in the last part.
    next: tuple[Any, ...] = ()
    # In the last part: live periods of the incarnations that are not excluded.
    presences: tuple[Presence, ...] = ()


class Acknowledgement(NamedTuple):
    """Confirm a message that has no other reply."""


class Member(NamedTuple):
    """A gateway of a fleet that discovers its members."""

    id: str
    address: str
    data_centre: str
    # Start time in Unix microseconds.
    incarnation: int
    # The oldest gateway with the highest weight is the hub of its data centre.
    hub_weight: float = 1.0


class MemberList(NamedTuple):
    """Send the live members and the revision of the directory to a new peer."""

    members: tuple[Member, ...]
    directory_revision: int = 0
    # Milliseconds since the sender was last known to be up to date; -1 if unknown.
    directory_age_ms: int = -1


class InFlightCalls(NamedTuple):
    """Number of calls that an upstream is processing."""

    upstream_id: str
    calls: int


class UpstreamReport(NamedTuple):
    """Results of recent calls to an upstream and of its probes."""

    upstream_id: str
    # Latest service time in percent of the usual one; 0 if unknown.
    slowness: int
    # Successful and failed attempts since the previous report.
    answered: int = 0
    failed: int = 0


class WaitingCalls(NamedTuple):
    """Number of waiting calls of one service by rank."""

    service: str
    by_rank: tuple[int, ...]


class DirectoryEntry(NamedTuple):
    """Directory entry of an upstream; see `directory.model.UpstreamEntry`."""

    id: str
    revision: int
    listed: bool
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    cold_ms: int


class GatewayUpdate(NamedTuple):
    """Changes that one gateway announces; every gateway forwards them once."""

    origin: str
    incarnation: int
    sequence: int
    entries: tuple[DirectoryEntry, ...] = ()
    # Revision and text of a new configuration; revision 0 means none.
    configuration_revision: int = 0
    configuration: str = ""
    # The update contains every change of the directory after `since_revision` and up to
    # `directory_revision`.
    since_revision: int = 0
    directory_revision: int = 0
    # Milliseconds since the sender was last known to be up to date; -1 if unknown.
    directory_age_ms: int = -1
    # "leaving" if the gateway stops; otherwise empty.
    state: str = ""


class UpdateBatch(NamedTuple):
    """Updates of several gateways."""

    updates: tuple[GatewayUpdate, ...]


class GatewayLoad(NamedTuple):
    """The complete load of one gateway, sent to its hub."""

    # Counts the messages on this connection; the hub acknowledges the last one.
    sequence: int
    in_flight: tuple[InFlightCalls, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()
    waiting: tuple[WaitingCalls, ...] = ()
    # Revision of the directory at the sender, and the milliseconds since the sender was
    # last known to be up to date.
    directory_revision: int = 0
    directory_age_ms: int = -1
    # Whether the last request to the directory failed; another gateway then reads it.
    directory_failing: bool = False


class DataCentreLoad(NamedTuple):
    """Summed load of all gateways that one hub serves."""

    hub: str
    incarnation: int
    sequence: int
    # Whether the message is complete; otherwise it contains only the changes.
    full: bool = False
    in_flight: tuple[InFlightCalls, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()
    waiting: tuple[WaitingCalls, ...] = ()
    # The gateways that the hub serves; empty means unchanged.
    members: tuple[Member, ...] = ()
    directory_revision: int = 0
    directory_age_ms: int = -1
    # Members whose last directory request failed; sent in every message.
    failing_readers: tuple[str, ...] = ()


class FleetLoad(NamedTuple):
    """Load of several data centres; without loads it is a keepalive."""

    loads: tuple[DataCentreLoad, ...]


class LoadAcknowledgement(NamedTuple):
    """Announce that the next load includes the receiver's load up to a sequence."""

    sequence: int


class SnapshotRequest(NamedTuple):
    """Ask a peer for all its directory data."""


class DirectorySnapshot(NamedTuple):
    """All directory data of a gateway."""

    entries: tuple[DirectoryEntry, ...]
    configuration_revision: int
    configuration: str
    directory_revision: int
    directory_age_ms: int


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


# Codes are part of the protocol and are never reused.
CODES: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: Leaving,
    4: DocumentRequest,
    5: DocumentReply,
    6: BorrowRequest,
    7: BorrowReply,
    8: LeaseReturn,
    9: DrainState,
    10: Claim,
    11: KeyState,
    12: KeyResult,
    13: KeyLookup,
    14: KeyRecords,
    15: SummaryPush,
    16: SummaryRequest,
    17: SummaryReply,
    18: Acknowledgement,
    19: KeyRecordsRequest,
    20: MemberList,
    # 21 was a batch of updates that contained the load of each gateway separately.
    22: SnapshotRequest,
    23: DirectorySnapshot,
    24: UpdateBatch,
    25: GatewayLoad,
    26: FleetLoad,
    27: LoadAcknowledgement,
    28: PlacementRequest,
    29: PlacementReply,
    30: PlacementEnd,
}
