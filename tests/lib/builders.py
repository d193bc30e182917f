"""Builders of test data."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dogwoodshed._internal.configuration.model import Configuration, Service
from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.server import CallRecord
from dogwoodshed._internal.reporting.exchange import CollectedDay
from dogwoodshed._internal.reporting.merge import merge_day
from dogwoodshed._internal.reporting.report import ServiceLevelReport, build_report
from dogwoodshed._internal.reporting.summary import (
    SummaryBlock,
    TrafficCounts,
    encode_counts,
    run_to_completion,
)


def kind_entry(name: str = "read", **changes: Any) -> dict[str, Any]:
    """Build the configuration entry of a kind of request."""
    return {
        "name": name,
        "method": "GET",
        "path": "/profiles",
        "rank": "normal",
        "idempotent": True,
        "time_limit_ms": 300,
        **changes,
    }


def service_entry(
    name: str = "profiles",
    addresses: tuple[str, ...] = ("127.0.0.1:1",),
    **changes: Any,
) -> dict[str, Any]:
    """Build the configuration entry of a service."""
    return {
        "name": name,
        "path_prefix": f"/{name}",
        "slots_per_upstream": 2,
        "upstreams": [
            {"address": address, "data_centre": "lima-1"} for address in addresses
        ],
        "kinds": [
            kind_entry(path=f"/{name}"),
            kind_entry(
                "write",
                method="POST",
                path=f"/{name}",
                rank="urgent",
                idempotent=False,
            ),
            kind_entry("export", method="PUT", path=f"/{name}", rank="bulk"),
        ],
        **changes,
    }


def configuration_document(*services: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Build a configuration document."""
    return {
        "fleet": "test",
        "ranks": [
            {"name": "urgent", "floor_percent": 20},
            {"name": "normal", "floor_percent": 20},
            {"name": "bulk", "floor_percent": 10},
        ],
        "services": list(services) or [service_entry()],
        **changes,
    }


def configuration(*services: dict[str, Any], revision: int = 1) -> Configuration:
    """Build an accepted configuration."""
    text = json.dumps(configuration_document(*services))
    return load_configuration(text, revision, "test")


def call(
    service: Service,
    kind: str = "read",
    *,
    caller: str = "caller",
    arrived_at: float = 1000.0,
    time_left: float = 10.0,
) -> Call:
    """Build a call to a service."""
    matching_kind = next(entry for entry in service.kinds if entry.name == kind)
    return Call(
        service,
        matching_kind,
        caller=caller,
        arrived_at=arrived_at,
        deadline=arrived_at + time_left,
    )


def call_record(**changes: Any) -> CallRecord:
    """Build the record of a call that succeeded in time."""
    record = CallRecord("profiles", "read", 1, 200, "yes", 0.02, True, 0.005, 0.015)
    return record._replace(**changes)


def summary_block(
    records: Sequence[CallRecord] = (),
    *,
    gateway: str = "g00",
    incarnation: int = 1,
    minute: int = 0,
    final: bool = False,
    probes: Mapping[str, int] | None = None,
) -> SummaryBlock:
    """Build the summary block of one minute of a gateway."""
    counts = TrafficCounts.empty()
    counts.probes.update(probes or {})
    for record in records:
        counts.stats_for((record.service, record.kind, record.rank)).add_call(record)
    body = run_to_completion(encode_counts(counts))
    return SummaryBlock(gateway, incarnation, minute, 1, 1, final, body)


def report(
    blocks: Iterable[SummaryBlock],
    *services: dict[str, Any],
    until: int = 1440,
    listed: Iterable[str] = (),
) -> ServiceLevelReport:
    """Build the report of the day that ends before minute `until`."""
    day = run_to_completion(merge_day(blocks, until - 1440, until))
    collected = CollectedDay(day, ())
    return run_to_completion(
        build_report(collected, configuration(*services), listed, 60.0)
    )
