"""Read the settings file of a daemon."""

import re
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from dogwoodshed._internal.configuration.document import (
    key_lines,
    parse_document,
    read_document_text,
)
from dogwoodshed._internal.exceptions import InvalidDocumentError

_Address = Annotated[str, Meta(pattern=r"^[^\s]+:\d+$")]


DEFAULT_ROUTING = "slices"
# Hosts with this much relay equally well.
FULL_RELAY_CORES = 0.8
FULL_RELAY_MBPS = 50.0


# The place in a message of the library, such as "$.mesh.peers[0].address".
_PLACE = re.compile(r" - at `\$\.?(?P<place>[^`]*)`$")


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the settings.

    A gateway reads its settings while callers wait for its start; pydantic's import
    takes longer than this library's, and 7 MB more on each host.
    """


class PeerSettings(_Model):
    """Name and mesh address of another gateway."""

    id: str
    address: _Address


class PlatformSettings(_Model):
    """How to reach the platform's configuration service."""

    adapter: str = "consul"
    discovery: str = "host_list"
    address: _Address = "127.0.0.1:8500"
    prefix: str = "dogwoodshed/"
    # 2,000 calls a second over all readers, shared by 19 hosts with ample reserve; in
    # a fleet of hundreds each gateway takes a smaller share by itself.
    calls_per_s: Annotated[float, Meta(gt=0)] = 5.0
    # The first read, the watch after it, and one call in reserve.
    call_burst: Annotated[int, Meta(ge=1)] = 3
    watch_wait_s: Annotated[float, Meta(gt=0, le=600)] = 30.0


class AdministrationSettings(_Model):
    """Where the administration API listens."""

    listen: _Address = "127.0.0.1:0"
    token_file: str | None = None


class MeshSettings(_Model):
    """How gateways talk to each other."""

    listen: _Address = "127.0.0.1:0"
    peers: tuple[PeerSettings, ...] = ()
    # First contacts of a gateway in a fleet whose members find each other.
    seeds: tuple[_Address, ...] = ()
    heartbeat_s: Annotated[float, Meta(gt=0)] = 0.25
    # Four missed heartbeats; fewer mistake a scheduling pause for a failure.
    dead_after_s: Annotated[float, Meta(gt=0)] = 1.0


class ReportingSettings(_Model):
    """How minute summaries are kept for the report."""

    # Tests shorten the minute; the report then covers a shorter day.
    minute_s: Annotated[float, Meta(gt=0, le=60)] = 60.0
    # A quarter of the 32 MB that control work may take on a host.
    store_bytes: Annotated[int, Meta(ge=4096)] = 8 * 1024 * 1024


class CapacitySettings(_Model):
    """What the host gives to the gateway."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0

    @property
    def hub_weight(self) -> float:
        """Tell how well the host can relay, in steps of a tenth.

        A relay sends the news of its data centre to every gateway there: a link of
        5 Mbit/s is full at 25 of them.
        """
        weight = min(1.0, self.cores / FULL_RELAY_CORES)
        return round(weight * min(1.0, self.link_mbps / FULL_RELAY_MBPS), 1)


class EndpointSettings(_Model):
    """Where readiness and metrics are served; None leaves them out."""

    readiness: _Address | None = None
    metrics: _Address | None = None


class RetrySettings(_Model):
    """The fleet's budget for arrivals beyond the first of each call."""

    # Share of the calls of a service, and what may come on top in a window.
    ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    reserve: Annotated[float, Meta(ge=0)] = 10.0
    window_s: Annotated[float, Meta(gt=0)] = 10.0


class LimitSettings(_Model):
    """Bounds on requests and buffers."""

    max_header_bytes: Annotated[int, Meta(ge=256)] = 16_384
    max_body_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024 * 1024
    replay_body_bytes: Annotated[int, Meta(ge=0)] = 65_536
    queue_length: Annotated[int, Meta(ge=1)] = 10_000
    progress_timeout_s: Annotated[float, Meta(gt=0)] = 5.0
    connect_timeout_s: Annotated[float, Meta(gt=0)] = 1.0
    # A new connection that is reset within this time has carried no request.
    connection_settle_s: Annotated[float, Meta(ge=0)] = 0.0
    # How long a stopping gateway takes new connections, until balancers noticed.
    stop_linger_s: Annotated[float, Meta(ge=0)] = 0.0
    # Idle upstream connections are closed before the upstream would do so.
    idle_timeout_s: Annotated[float, Meta(gt=0)] = 4.0
    # Lets a non-idempotent call go on when its caller has left, for its key's record.
    finish_abandoned: bool = True
    # Holds short answers without a length whole, so that a cut one can be repeated.
    hold_unsized: bool = False


class Settings(_Model):
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
    # A starting gateway waits this long for its peers before it trusts the platform.
    join_timeout_s: Annotated[float, Meta(ge=0)] = 3.0
    features: dict[str, bool] = {}

    @classmethod
    def from_file(cls, path: str) -> "Settings":
        """Read settings; raises DocumentSyntaxError or InvalidDocumentError."""
        text = read_document_text(path)
        document = parse_document(text, path)
        try:
            return cls.from_value(document.value)
        except msgspec.ValidationError as error:
            place, reason = _split_error(str(error))
            line = key_lines(text).get(place, 1)
            name = ".".join(str(part) for part in place)
            raise InvalidDocumentError((f"{path}:{line}: {name}: {reason}",)) from error

    @classmethod
    def from_value(cls, value: Any) -> "Settings":
        """Check settings that are parsed; raises msgspec.ValidationError."""
        return msgspec.convert(value, cls)

    def is_enabled(self, feature: str) -> bool:
        """Tell whether a mechanism is on; all are unless switched off."""
        return self.features.get(feature, True)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def _split_error(message: str) -> tuple[tuple[str | int, ...], str]:
    """Return the keys that lead to a fault, and the reason."""
    found = _PLACE.search(message)
    if found is None:
        return (), message
    parts = re.findall(r"[^.\[\]]+", found["place"])
    keys = tuple(int(part) if part.isdigit() else part for part in parts)
    return keys, message[: found.start()]
