"""Read the platform's host list."""

import json
from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import BaseModel, Field, ValidationError

from dogwoodshed._internal import registry
from dogwoodshed._internal.configuration.model import Upstream
from dogwoodshed._internal.exceptions import DocumentSyntaxError, InvalidDocumentError
from dogwoodshed._internal.membership import GatewayEntry

_Address = Annotated[str, Field(pattern=r"^[^\s]+:\d+$")]
_State = Literal["live", "leaving"]


class HostList(NamedTuple):
    """The gateways and upstreams that the platform lists."""

    gateways: tuple[GatewayEntry, ...]
    # By the name that services give in `discover`.
    upstreams: dict[str, tuple[Upstream, ...]]
    # Addresses of upstreams that leave.
    leaving: frozenset[str]

    @property
    def addresses(self) -> frozenset[str]:
        return frozenset(
            upstream.address
            for upstreams in self.upstreams.values()
            for upstream in upstreams
        )


HostListReader = Callable[[str, str], HostList]


class _GatewayText(BaseModel):
    id: Annotated[str, Field(min_length=1)]
    address: _Address
    data_centre: str = ""
    state: _State = "live"


class _UpstreamText(BaseModel):
    address: _Address
    service: Annotated[str, Field(min_length=1)]
    data_centre: str = ""
    state: _State = "live"


class _HostsText(BaseModel):
    gateways: list[_GatewayText] = []
    upstreams: list[_UpstreamText] = []


@registry.register(registry.DISCOVERY, "host_list")
def read_host_list(text: str, source: str) -> HostList:
    """Read a list in JSON; raises DocumentSyntaxError or InvalidDocumentError.

    Unknown keys are ignored, because the platform owns the format.
    """
    checked = _check(_parse(text, source), source)
    gateways = tuple(
        GatewayEntry(entry.id, entry.address, entry.data_centre, _leaves(entry))
        for entry in checked.gateways
    )
    upstreams: dict[str, dict[str, Upstream]] = {}
    for entry in checked.upstreams:
        service = upstreams.setdefault(entry.service, {})
        service[entry.address] = Upstream(entry.address, entry.data_centre)
    return HostList(
        gateways,
        {name: tuple(by_address.values()) for name, by_address in upstreams.items()},
        frozenset(entry.address for entry in checked.upstreams if _leaves(entry)),
    )


def _parse(text: str, source: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        raise DocumentSyntaxError(source, error.lineno, error.msg) from error
    except (ValueError, RecursionError) as error:
        # Numbers of thousands of digits and nesting beyond the parser's depth.
        raise DocumentSyntaxError(source, 1, str(error)) from error


def _check(value: Any, source: str) -> _HostsText:
    try:
        checked = _HostsText.model_validate(value)
    except ValidationError as error:
        issues = tuple(
            f"{source}: {'.'.join(map(str, entry['loc']))}: {entry['msg']}"
            for entry in error.errors()
        )
        raise InvalidDocumentError(issues) from error
    if not (checked.gateways or checked.upstreams):
        raise InvalidDocumentError((f"{source}: the list is empty",))
    return checked


def _leaves(entry: _GatewayText | _UpstreamText) -> bool:
    return entry.state == "leaving"
