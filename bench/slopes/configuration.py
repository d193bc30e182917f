"""Measure the configuration text by the numbers of services and upstreams."""

import gc
import json
import time
import tracemalloc
from typing import Any

from bench.slopes.base import Point, min_cpu_time
from dogwoodshed._internal.configuration.document import key_lines
from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.exceptions import InvalidDocumentError

AXIS = "upstreams"
SERVICES = (10, 70, 140, 280)
# 7,700 upstreams in 280 services.
UPSTREAMS_PER_SERVICE = 27.5


def measure() -> list[Point]:
    """Parse texts of growing size."""
    return [_measure(services) for services in SERVICES]


def _measure(services: int) -> Point:
    upstreams = int(services * UPSTREAMS_PER_SERVICE)
    document = build(services, upstreams)
    compact = json.dumps(document, separators=(",", ":"))
    lines = _format_by_line(document)
    gc.collect()
    tracemalloc.start()
    try:
        configuration = load_configuration(compact, 1, "text")
        retained, peak = tracemalloc.get_traced_memory()
    except InvalidDocumentError as error:
        configuration, retained, peak = error, 0, 0
    finally:
        tracemalloc.stop()
    started = time.process_time()
    _try_load(lines)
    lines_s = time.process_time() - started
    figures = {
        "text_bytes": len(compact),
        "lined_text_bytes": len(lines),
        "parse_ms": min_cpu_time(lambda: _try_load(compact)) * 1000,
        "parse_lined_ms": lines_s * 1000,
        "key_lines_ms": min_cpu_time(lambda: key_lines(lines)) * 1000,
        "retained_bytes": retained,
        "peak_bytes": peak,
    }
    del configuration
    return Point({"services": services, "upstreams": upstreams}, figures)


def _try_load(text: str) -> None:
    try:
        load_configuration(text, 1, "text")
    except InvalidDocumentError:
        pass


def _format_by_line(document: dict[str, Any]) -> str:
    """Format a text as operators write it: one line for each upstream and kind."""
    text = json.dumps(document, separators=(", ", ": "))
    return text.replace("}, {", "},\n{").replace(": [", ": [\n")


def build(services: int, upstreams: int) -> dict[str, Any]:
    """Build a configuration with three kinds for each service."""
    upstream_counts = [
        upstreams * (i + 1) // services - upstreams * i // services
        for i in range(services)
    ]
    return {
        "fleet": "two-years",
        "ranks": [
            {"name": "urgent", "floor_percent": 20},
            {"name": "normal", "floor_percent": 20},
            {"name": "bulk", "floor_percent": 10},
        ],
        "services": [
            {
                "name": f"service-{number}",
                "path_prefix": f"/service-{number}",
                "depends_on": [f"service-{number - 1}"] if number % 6 else [],
                "slots_per_upstream": 4,
                "upstreams": [
                    {
                        "address": f"10.{number // 250}.{number % 250}.{index}:8000",
                        "data_centre": f"dc-{index % 12 + 1}",
                    }
                    for index in range(count)
                ],
                "kinds": [
                    {
                        "name": f"kind-{rank}",
                        "method": method,
                        "path": f"/service-{number}/{rank}",
                        "rank": rank,
                        "idempotent": method == "GET",
                        "time_limit_ms": 300,
                    }
                    for rank, method in (
                        ("urgent", "GET"),
                        ("normal", "POST"),
                        ("bulk", "PUT"),
                    )
                ],
            }
            for number, count in enumerate(upstream_counts)
        ],
    }
