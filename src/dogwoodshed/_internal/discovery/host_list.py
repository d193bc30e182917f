"""Parse the host list of the platform."""

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
    """Gateways and upstreams listed by the platform."""

    gateways: tuple[GatewayEntry, ...]
    # Keyed by the name that services use in `discover`.
    upstreams: dict[str, tuple[Upstream, ...]]
    # Addresses of upstreams that are leaving.
    leaving: frozenset[str]

    @property
    def addresses(self) -> frozenset[str]:
        return frozenset(
            upstream.address
            for upstreams in self.upstreams.values()
            for upstream in upstreams
        )


# Takes a text and its source; raises ConfigurationError.
HostListReader = Callable[[str, str], HostList]


class _ListedGatewaySchema(BaseModel):
    id: Annotated[str, Field(min_length=1)]
    address: _Address
    data_centre: str = ""
    state: _State = "live"


class _ListedUpstreamSchema(BaseModel):
    address: _Address
    service: Annotated[str, Field(min_length=1)]
    data_centre: str = ""
    state: _State = "live"


class _HostListSchema(BaseModel):
    gateways: list[_ListedGatewaySchema] = []
    upstreams: list[_ListedUpstreamSchema] = []


@registry.register(registry.DISCOVERY, "host_list")
def read_host_list(text: str, source: str) -> HostList:
    """Parse a list in JSON; raises DocumentSyntaxError or InvalidDocumentError.

    Unknown keys are ignored because the platform defines the format.
    """
    validated = _validate(_parse(text, source), source)
    gateways = tuple(
        GatewayEntry(entry.id, entry.address, entry.data_centre, _is_leaving(entry))
        for entry in validated.gateways
    )
    upstreams: dict[str, dict[str, Upstream]] = {}
    for entry in validated.upstreams:
        service = upstreams.setdefault(entry.service, {})
        service[entry.address] = Upstream(entry.address, entry.data_centre)
    return HostList(
        gateways,
        {name: tuple(by_address.values()) for name, by_address in upstreams.items()},
        frozenset(entry.address for entry in validated.upstreams if _is_leaving(entry)),
    )


def _parse(text: str, source: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        raise DocumentSyntaxError(source, error.lineno, error.msg) from error
    except (ValueError, RecursionError) as error:
        # Raised for numbers with thousands of digits and for nesting that exceeds the
        # recursion limit of the parser.
        raise DocumentSyntaxError(source, 1, str(error)) from error


def _validate(value: Any, source: str) -> _HostListSchema:
    try:
        validated = _HostListSchema.model_validate(value)
    except ValidationError as error:
        issues = tuple(
            f"{source}: {'.'.join(map(str, entry['loc']))}: {entry['msg']}"
            for entry in error.errors()
        )
        raise InvalidDocumentError(issues) from error
    if not (validated.gateways or validated.upstreams):
        raise InvalidDocumentError((f"{source}: the list is empty",))
    return validated


def _is_leaving(entry: _ListedGatewaySchema | _ListedUpstreamSchema) -> bool:
    return entry.state == "leaving"
