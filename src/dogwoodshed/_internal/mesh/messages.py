"""Define the messages between gateways.

On the wire a message is a msgpack array `[code, request_id, fields...]`. Fields are
only ever added at the end and have defaults, so that gateways of two releases
understand each other during an upgrade.
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
    # Where the gateway listens for peers, in fleets whose members find each other.
    address: str = ""
    # How well its host can relay, from 0 to 1.
    hub_weight: float = 1.0


class ServiceLoad(NamedTuple):
    """The slots and queue of one service at one gateway."""

    # Averaged over about a heartbeat, since the count changes within milliseconds.
    idle_slots: float
    queued: tuple[int, ...]


class Heartbeat(NamedTuple):
    """Show that a gateway lives, with its revision and load."""

    sequence: int
    state: str
    revision: int
    digest: str
    # Indexed by the position of the service in the configuration.
    loads: tuple[ServiceLoad, ...] = ()
    hosts_revision: int = 0


class Leaving(NamedTuple):
    """Announce a planned stop."""


class TextRequest(NamedTuple):
    """Ask for a published text, by its key below the platform's prefix."""

    key: str = "configuration"


class TextReply(NamedTuple):
    """Give a published text; revision 0 means none."""

    revision: int
    text: str


class BorrowRequest(NamedTuple):
    """Ask for slots of a service."""

    service: str
    rank: int
    count: int
    # Addresses that the borrower cannot use, such as those already tried.
    exclude: tuple[str, ...] = ()


class Lease(NamedTuple):
    """A slot lent for a term."""

    lease_id: int
    address: str
    term_ms: int
    expected_ms: float


class BorrowReply(NamedTuple):
    """Answer to Borrow; no leases means that no slot is idle."""

    leases: tuple[Lease, ...]
    idle_slots: int = 0


class LeaseReturn(NamedTuple):
    """Give leases back."""

    lease_ids: tuple[int, ...]


class DrainState(NamedTuple):
    """Tell that an upstream drains, or takes work again."""

    address: str
    draining: bool
    # Orders the changes that one source tells of an upstream: the revision of the host
    # list, else wall-clock milliseconds of the first observer.
    version: int
    source: str = "report"


class Claim(NamedTuple):
    """Ask a holder to record a key before the call is sent."""

    service: str
    # A digest of the key within its service and caller.
    key: bytes
    fingerprint: bytes
    dispatcher: str
    incarnation: int
    attempt: int = 0
    # A digest of the holders that the dispatcher asks.
    holders: bytes = b""


class KeyState(NamedTuple):
    """What a gateway knows of a key, as answer to Claim and Lookup."""

    state: str
    dispatcher: str = ""
    incarnation: int = 0
    fingerprint: bytes = b""
    response: bytes = b""


class KeyResult(NamedTuple):
    """Tell the holders of a key how its call ended; "absent" releases the key."""

    service: str
    key: bytes
    state: str
    response: bytes = b""
    fingerprint: bytes = b""
    incarnation: int = 0
    attempt: int = 0


class KeyLookup(NamedTuple):
    """Ask what a gateway knows of a key."""

    service: str
    key: bytes
    # Answer only once the call that the gateway itself sends has ended.
    wait: bool = False


class KeyRecord(NamedTuple):
    """The record of one key."""

    key: bytes
    state: str
    dispatcher: str
    incarnation: int
    attempt: int
    fingerprint: bytes
    response: bytes
    age_ms: int


class KeyRecords(NamedTuple):
    """Hand over key records, on a planned stop or as answer to RecordsRequest."""

    records: tuple[KeyRecord, ...]
    # In an answer: all records were sent, the last ones in this message.
    complete: bool = False


class KeyRecordsRequest(NamedTuple):
    """Ask for the records of all keys that the asking gateway holds."""

    # A digest of the listed gateways; answered only by a gateway with the same list.
    listed: bytes


class SummaryPush(NamedTuple):
    """Give a peer minute summaries to keep."""

    summaries: tuple[bytes, ...]


class SummaryRequest(NamedTuple):
    """Ask for minute summaries from a minute on, a part at a time."""

    since_minute: int
    # Key of the last summary of the previous part.
    after: tuple[Any, ...] = ()
    # Incarnations whose summaries their own gateways give.
    exclude: tuple[tuple[str, int], ...] = ()


class Presence(NamedTuple):
    """Minutes over which a peer was live; both ends are included."""

    gateway: str
    incarnation: int
    first: int
    last: int


class SummaryReply(NamedTuple):
    """Give a part of the minute summaries."""

    summaries: tuple[bytes, ...]
    # Key to ask on from; empty after the last part.
    next: tuple[Any, ...] = ()
    # In the last part: incarnations that were live and are not excluded.
    presences: tuple[Presence, ...] = ()


class Acknowledgement(NamedTuple):
    """Confirm a message that needs no other answer."""


class Member(NamedTuple):
    """A gateway of a fleet whose members find each other."""

    id: str
    address: str
    data_centre: str
    # Microseconds of the start.
    incarnation: int
    # The oldest of the gateways with the highest weight relays for its data centre.
    hub_weight: float = 1.0


class MemberList(NamedTuple):
    """Tell a new peer which gateways there are, and how far the directory is known."""

    members: tuple[Member, ...]
    directory_revision: int = 0
    # The age of the proof that the sender is up to date, in milliseconds.
    directory_age_ms: int = -1


class InFlightCalls(NamedTuple):
    """The calls of one gateway that an upstream is at work on."""

    upstream_id: str
    calls: int


class UpstreamReport(NamedTuple):
    """What gateways learned of an upstream from answers and probes."""

    upstream_id: str
    # The latest percentage of the usual service time, 0 if unknown.
    slowness: int
    # Attempts since the previous report that ended well, and that failed.
    answered: int = 0
    failed: int = 0


class WaitingCalls(NamedTuple):
    """The calls of one service that wait, by rank."""

    service: str
    by_rank: tuple[int, ...]


class DirectoryEntry(NamedTuple):
    """An upstream's directory entry; see `directory.model.UpstreamEntry`."""

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
    """What changed at one gateway; every gateway passes it on once."""

    origin: str
    incarnation: int
    sequence: int
    entries: tuple[DirectoryEntry, ...] = ()
    # Revision and text of a new configuration; revision 0 means none.
    configuration_revision: int = 0
    configuration: str = ""
    # The news hold every change of the directory from one revision to the other.
    since_revision: int = 0
    directory_revision: int = 0
    # The age of the proof that the sender is up to date, in milliseconds.
    directory_age_ms: int = -1
    state: str = ""


class UpdateBatch(NamedTuple):
    """News of several gateways."""

    updates: tuple[GatewayUpdate, ...]


class GatewayLoad(NamedTuple):
    """The load of one gateway, for its relay; names everything in flight."""

    # Counts the messages on this connection; the relay confirms the last one.
    sequence: int
    in_flight: tuple[InFlightCalls, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()
    waiting: tuple[WaitingCalls, ...] = ()
    # How far the sender knows the directory, and the age of the proof in milliseconds.
    directory_revision: int = 0
    directory_age_ms: int = -1
    # Whether the last call to the directory failed; another gateway then reads.
    directory_failing: bool = False


class DataCentreLoad(NamedTuple):
    """The load of all gateways that one relay serves, summed."""

    hub: str
    incarnation: int
    sequence: int
    # Whether it names everything; otherwise only what changed.
    full: bool = False
    in_flight: tuple[InFlightCalls, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()
    waiting: tuple[WaitingCalls, ...] = ()
    # The gateways that the relay serves; empty means as told before.
    members: tuple[Member, ...] = ()
    directory_revision: int = 0
    directory_age_ms: int = -1
    # The members that the directory turns away; told every time.
    failing_readers: tuple[str, ...] = ()


class FleetLoad(NamedTuple):
    """The load of several data centres; an empty one shows that a connection works."""

    loads: tuple[DataCentreLoad, ...]


class LoadAcknowledgement(NamedTuple):
    """Confirm that the load that follows counts a gateway's load up to a number."""

    sequence: int


class SnapshotRequest(NamedTuple):
    """Ask for everything that a peer knows of the directory."""


class DirectorySnapshot(NamedTuple):
    """Everything that a gateway knows of the directory."""

    entries: tuple[DirectoryEntry, ...]
    configuration_revision: int
    configuration: str
    directory_revision: int
    directory_age_ms: int


# Codes are part of the protocol and are never reused.
CODES: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: Leaving,
    4: TextRequest,
    5: TextReply,
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
    # 21 was a bundle whose news held the load of each gateway by itself.
    22: SnapshotRequest,
    23: DirectorySnapshot,
    24: UpdateBatch,
    25: GatewayLoad,
    26: FleetLoad,
    27: LoadAcknowledgement,
}
