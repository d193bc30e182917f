"""Build data for tests."""

import json
from typing import Any

from dogwoodshed._internal.configuration.model import Configuration, Service
from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.proxy.call import Call


def kind_text(name: str = "read", **changes: Any) -> dict[str, Any]:
    """Build the text of a kind of request."""
    return {
        "name": name,
        "method": "GET",
        "path": "/profiles",
        "rank": "normal",
        "idempotent": True,
        "time_limit_ms": 300,
        **changes,
    }


def service_text(
    name: str = "profiles",
    addresses: tuple[str, ...] = ("127.0.0.1:1",),
    **changes: Any,
) -> dict[str, Any]:
    """Build the text of a service."""
    return {
        "name": name,
        "path_prefix": f"/{name}",
        "slots_per_upstream": 2,
        "upstreams": [
            {"address": address, "data_centre": "lima-1"} for address in addresses
        ],
        "kinds": [
            kind_text(path=f"/{name}"),
            kind_text(
                "write",
                method="POST",
                path=f"/{name}",
                rank="urgent",
                idempotent=False,
            ),
            kind_text("export", method="PUT", path=f"/{name}", rank="bulk"),
        ],
        **changes,
    }


def configuration_text(*services: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Build a configuration text."""
    return {
        "fleet": "test",
        "ranks": [
            {"name": "urgent", "floor_percent": 20},
            {"name": "normal", "floor_percent": 20},
            {"name": "bulk", "floor_percent": 10},
        ],
        "services": list(services) or [service_text()],
        **changes,
    }


def configuration(*services: dict[str, Any], revision: int = 1) -> Configuration:
    """Build an accepted configuration."""
    text = json.dumps(configuration_text(*services))
    return load_configuration(text, revision, "test")


class FakeClock:
    """A clock that a test moves by hand."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def call(
    service: Service,
    kind: str = "read",
    *,
    caller: str = "caller",
    arrived: float = 1000.0,
    time_left: float = 10.0,
) -> Call:
    """Build a call of a service."""
    found = next(entry for entry in service.kinds if entry.name == kind)
    return Call(
        service, found, caller=caller, arrived=arrived, deadline=arrived + time_left
    )
