"""Print the status of a gateway."""

import argparse
import json
from collections.abc import Iterable
from typing import Any

from dogwoodshed._internal import registry
from dogwoodshed._internal.administration.status import GatewayStatus
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.administration import (
    EXIT_CODES,
    add_gateway_arguments,
    create_client,
)
from dogwoodshed._internal.commands.base import Command
from dogwoodshed._internal.tables import format_table


@registry.register(registry.COMMAND, "status")
class StatusCommand(Command):
    """Print the state of a gateway and its view of peers and upstreams."""

    summary = "show the state of a gateway, its peers, upstreams and queues"
    description = (
        "Print the state of a gateway: configuration, peers, upstreams and the reasons "
        "why any are out of use, queues by rank and counters. " + EXIT_CODES
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        add_gateway_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def run(self, options: argparse.Namespace) -> int:
        """Print the status and return the exit code."""
        text = create_client(options).get("/status")
        status: GatewayStatus = json.loads(text)
        if options.json:
            print(json.dumps(status, indent=1))
        else:
            print("\n\n".join(_sections(status)))
        return exit_codes.SUCCESS


def _sections(status: GatewayStatus) -> Iterable[str]:
    yield "\n".join(_summary_lines(status))
    if status["peers"]:
        yield format_table(
            ("peer", "address", "state", "revision", "sent bytes", "received bytes"),
            [
                (
                    peer["id"],
                    peer["address"] or "-",
                    peer["state"] if peer["live"] else "silent or left",
                    _format_number(peer["revision"]),
                    _format_number(peer["sent_bytes"]),
                    _format_number(peer["received_bytes"]),
                )
                for peer in status["peers"]
            ],
        )
    if status["upstreams"]:
        yield format_table(
            ("service", "upstream", "in flight", "expected ms", "state"),
            [
                (
                    upstream["service"],
                    upstream["address"],
                    upstream["in_flight"],
                    f"{upstream['expected_ms']:.1f}",
                    f"out: {upstream['out']}" if upstream["out"] else "in use",
                )
                for upstream in status["upstreams"]
            ],
        )
    queues = [
        (service, rank, count)
        for service, by_rank in status["queues"].items()
        for rank, count in by_rank.items()
    ]
    if queues:
        yield format_table(("service", "rank", "waiting"), queues)
    yield format_table(("counter", "count"), list(status["counters"].items()))


def _summary_lines(status: GatewayStatus) -> Iterable[str]:
    configuration = status["configuration"]
    ready = "ready" if status["ready"] else "not ready"
    drained = ", drained" if status["drained"] else ""
    yield (
        f"Gateway {status['id']} on {status['host']} ({status['data_centre']}): "
        f"{ready}, {status['state']}{drained}, {status['in_flight']} in flight"
    )
    yield (
        f"Configuration: revision {configuration['revision']}, "
        f"digest {configuration['digest'][:12] or '-'}"
    )
    if configuration["rejected_reason"]:
        yield (
            f"Rejected: revision {configuration['rejected_revision']}: "
            f"{configuration['rejected_reason']}"
        )
    reachable = "reachable" if status["platform_reachable"] else "not reachable"
    yield f"Configuration service: {reachable}; routing: {status['routing']}"


def _format_number(value: Any) -> str:
    return "-" if value is None else f"{value:,}"
