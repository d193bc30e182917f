"""Define the messages of fleets that discover their members.

They carry members, changes of the directory, and sums of loads.
"""

from typing import NamedTuple

from dogwoodshed._internal.directory.model import (
    UNKNOWN_ERA,
    DirectoryRevision,
    UpstreamRun,
)


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
    directory_era: int = UNKNOWN_ERA

    @property
    def reached_revision(self) -> DirectoryRevision:
        """Return the revision of the directory at the sender."""
        return DirectoryRevision(self.directory_era, self.directory_revision)


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
    left_before_restore: bool = False
    # Era of `revision`.
    era: int = UNKNOWN_ERA
    # Milliseconds for which the sender still uses a removed upstream; -1 if unknown.
    usable_ms: int = -1


class GatewayUpdate(NamedTuple):
    """Changes that one gateway announces; every gateway forwards them once."""

    origin: str
    incarnation: int
    sequence: int
    entries: tuple[DirectoryEntry, ...] = ()
    # Revision and text of a new configuration; an empty text means none.
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
    # Eras of `since_revision` and `directory_revision`.
    since_era: int = UNKNOWN_ERA
    directory_era: int = UNKNOWN_ERA
    # Whether the update contains all entries and the configuration.
    complete: bool = False
    # Version that the operator assigned to the configuration; 0 means unknown.
    configuration_version: int = 0
    # Upstreams that have told the origin in a response that they leave.
    leaving: tuple[UpstreamRun, ...] = ()

    @property
    def starting_revision(self) -> DirectoryRevision:
        """Return the revision after which the changes start."""
        return DirectoryRevision(self.since_era, self.since_revision)

    @property
    def reached_revision(self) -> DirectoryRevision:
        """Return the revision up to which changes are included."""
        return DirectoryRevision(self.directory_era, self.directory_revision)


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
    directory_era: int = UNKNOWN_ERA


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
    directory_era: int = UNKNOWN_ERA

    @property
    def reached_revision(self) -> DirectoryRevision:
        """Return the revision of the directory at the sender."""
        return DirectoryRevision(self.directory_era, self.directory_revision)


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
    directory_era: int = UNKNOWN_ERA
    configuration_version: int = 0

    @property
    def reached_revision(self) -> DirectoryRevision:
        """Return the revision of the directory at the sender."""
        return DirectoryRevision(self.directory_era, self.directory_revision)
