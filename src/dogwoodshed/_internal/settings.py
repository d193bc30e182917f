"""Settings of a gateway process."""

import re
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from dogwoodshed._internal.configuration.document import (
    key_lines,
    parse_document,
    read_document_text,
)
from dogwoodshed._internal.configuration.model import CallerLimits
from dogwoodshed._internal.exceptions import InvalidDocumentError

_Address = Annotated[str, Meta(pattern=r"^[^\s]+:\d+$")]


DEFAULT_ROUTING = "slices"
# Hosts with at least these resources have the full hub weight.
FULL_HUB_WEIGHT_CORES = 2.0
# Time for the last responses and the end of the process, before it is killed. With 0.8
# s, two of 16 processes were killed.
STOP_RESERVE_S = 1.4
MIN_DRAIN_TIMEOUT_S = 0.5
FULL_HUB_WEIGHT_MBPS = 50.0


# The path in an error message of msgspec, such as "$.mesh.peers[0].address".
_ERROR_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")


class _SettingsBase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the settings classes.

    Uses msgspec because a gateway reads its settings while callers wait for its start:
    importing pydantic takes longer and 7 MB more memory on each host.
    """


class PeerSettings(_SettingsBase):
    """Name and mesh address of another gateway."""

    id: str
    address: _Address


class PlatformSettings(_SettingsBase):
    """How to reach the configuration service of the platform."""

    adapter: str = "consul"
    discovery: str = "host_list"
    address: _Address = "127.0.0.1:8500"
    prefix: str = "dogwoodshed/"
    # The platform serves 2,000 calls per second over all readers, which leaves 19 hosts
    # ample reserve. In a fleet of hundreds, each gateway reduces its rate by itself.
    calls_per_s: Annotated[float, Meta(gt=0)] = 5.0
    # Enough for the first read, the watch after it, and one further call.
    call_burst: Annotated[int, Meta(ge=1)] = 3
    watch_wait_s: Annotated[float, Meta(gt=0, le=600)] = 30.0
    # How often each upstream writes its entry to a directory; an entry that is not
    # written for three of these intervals is removed.
    entry_interval_ms: Annotated[float, Meta(gt=0)] = 1500.0


class AdministrationSettings(_SettingsBase):
    """Address of the administration API and the file with its token."""

    listen: _Address = "127.0.0.1:0"
    token_file: str | None = None


class MeshSettings(_SettingsBase):
    """How gateways communicate with each other."""

    listen: _Address = "127.0.0.1:0"
    peers: tuple[PeerSettings, ...] = ()
    # Addresses that a starting gateway contacts first to find the other gateways.
    seeds: tuple[_Address, ...] = ()
    heartbeat_s: Annotated[float, Meta(gt=0)] = 0.25
    # Four missed heartbeats: with fewer, a scheduling pause would look like a failure.
    dead_after_s: Annotated[float, Meta(gt=0)] = 1.0


class ReportingSettings(_SettingsBase):
    """How minute summaries are kept for the report."""

    # Tests shorten the minute; the report then covers a shorter day.
    minute_s: Annotated[float, Meta(gt=0, le=60)] = 60.0
    # A quarter of the 32 MB that control tasks may use on a host.
    store_bytes: Annotated[int, Meta(ge=4096)] = 8 * 1024 * 1024


class CapacitySettings(_SettingsBase):
    """Resources of the host that the gateway may use."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0

    @property
    def hub_weight(self) -> float:
        """Return how suitable the host is as a hub, from 0 to 1 in steps of 0.1.

        A hub sends all updates to every gateway of its data centre: a link of 5 Mbit/s
        is saturated by 25 gateways.
        """
        weight = min(1.0, self.cores / FULL_HUB_WEIGHT_CORES)
        return round(weight * min(1.0, self.link_mbps / FULL_HUB_WEIGHT_MBPS), 1)


class EndpointSettings(_SettingsBase):
    """Where readiness and metrics are served; None disables an endpoint."""

    readiness: _Address | None = None
    metrics: _Address | None = None


class RetrySettings(_SettingsBase):
    """Budget of the fleet for attempts after the first attempt of each call."""

    # Share of the calls of a service, and an absolute number on top, per window.
    ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    reserve: Annotated[float, Meta(ge=0)] = 10.0
    window_s: Annotated[float, Meta(gt=0)] = 10.0


class LimitSettings(_SettingsBase):
    """Bounds on requests and buffers."""

    max_header_bytes: Annotated[int, Meta(ge=256)] = 16_384
    # From the first byte of a request until its head is complete.
    head_timeout_s: Annotated[float, Meta(gt=0)] = 10.0
    max_body_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024 * 1024
    # Connections on which callers send no request are closed after this time.
    caller_idle_timeout_s: Annotated[float, Meta(gt=0)] = 3600.0
    replay_body_bytes: Annotated[int, Meta(ge=0)] = 65_536
    # Longer response bodies are cut off, as are those of unknown length that have not
    # ended by the deadline of their call.
    max_response_bytes: Annotated[int, Meta(ge=65_536)] = 1024 * 1024 * 1024
    # More 1xx responses to one request than this fail its call.
    max_interim_responses: Annotated[int, Meta(ge=1)] = 20
    queue_length: Annotated[int, Meta(ge=1)] = 10_000
    progress_timeout_s: Annotated[float, Meta(gt=0)] = 5.0
    connect_timeout_s: Annotated[float, Meta(gt=0)] = 1.0
    # If a new connection is reset within this time, the upstream got no request on it.
    connection_settle_s: Annotated[float, Meta(ge=0)] = 0.0
    # An upstream that wants no calls for longer is asked again after this time.
    max_hold_off_s: Annotated[float, Meta(gt=0)] = 300.0
    # A stopping gateway accepts connections for this time, until balancers notice.
    stop_linger_s: Annotated[float, Meta(ge=0)] = 0.0
    # Idle connections are closed after this time, before the upstream closes them.
    idle_timeout_s: Annotated[float, Meta(gt=0)] = 4.0
    # Continue non-idempotent calls whose caller disconnected, so that the response is
    # recorded for their idempotency key.
    finish_abandoned: bool = True
    # Buffer short responses without a length, so that a truncated one can be retried.
    hold_unsized: bool = False

    def with_caller_limits(self, limits: CallerLimits) -> "LimitSettings":
        """Return a copy with the bounds that a configuration sets for callers."""
        changes = {
            "max_header_bytes": limits.max_header_bytes,
            "max_body_bytes": limits.max_body_bytes,
            "head_timeout_s": limits.head_timeout,
            "caller_idle_timeout_s": limits.idle_timeout,
        }
        return msgspec.structs.replace(
            self, **{key: value for key, value in changes.items() if value is not None}
        )


class Settings(_SettingsBase):
    """Settings of one gateway process."""

    id: str
    host: str
    data_centre: str
    listen: _Address
    routing: str = DEFAULT_ROUTING
    mesh: MeshSettings = MeshSettings()
    platform: PlatformSettings = PlatformSettings()
    administration: AdministrationSettings = AdministrationSettings()
    reporting: ReportingSettings = ReportingSettings()
    limits: LimitSettings = LimitSettings()
    endpoints: EndpointSettings = EndpointSettings()
    capacity: CapacitySettings = CapacitySettings()
    retries: RetrySettings = RetrySettings()
    statsd: _Address | None = None
    stop_timeout_s: Annotated[float, Meta(gt=0)] | None = None
    # Time from SIGTERM until the supervisor kills the process; bounds a planned stop in
    # place of stop_timeout_s.
    stop_grace_s: Annotated[float, Meta(gt=0)] | None = None
    # Time that a starting gateway waits for its peers before it uses the configuration
    # of the platform alone.
    join_timeout_s: Annotated[float, Meta(ge=0)] = 3.0
    features: dict[str, bool] = {}

    @property
    def drain_timeout_s(self) -> float | None:
        """The seconds that requests in flight get after the linger; None: no limit."""
        if self.stop_grace_s is None:
            return self.stop_timeout_s
        available = self.stop_grace_s - self.limits.stop_linger_s - STOP_RESERVE_S
        return max(MIN_DRAIN_TIMEOUT_S, available)

    @classmethod
    def from_file(cls, path: str) -> "Settings":
        """Read settings; raises DocumentSyntaxError or InvalidDocumentError."""
        text = read_document_text(path)
        document = parse_document(text, path)
        try:
            return cls.from_value(document.value)
        except msgspec.ValidationError as error:
            key_path, reason = _split_error(str(error))
            line = key_lines(text).get(key_path, 1)
            name = ".".join(str(part) for part in key_path)
            raise InvalidDocumentError((f"{path}:{line}: {name}: {reason}",)) from error

    @classmethod
    def from_value(cls, value: Any) -> "Settings":
        """Validate parsed settings; raises msgspec.ValidationError."""
        return msgspec.convert(value, cls)

    def is_enabled(self, feature: str) -> bool:
        """Return whether a feature is enabled; all are unless disabled."""
        return self.features.get(feature, True)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def _split_error(message: str) -> tuple[tuple[str | int, ...], str]:
    """Return the key path of a validation error and its reason."""
    found = _ERROR_PATH.search(message)
    if found is None:
        return (), message
    parts = re.findall(r"[^.\[\]]+", found["path"])
    keys = tuple(int(part) if part.isdigit() else part for part in parts)
    return keys, message[: found.start()]
