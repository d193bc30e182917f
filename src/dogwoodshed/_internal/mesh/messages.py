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
