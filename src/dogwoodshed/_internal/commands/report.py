"""Show the daily report."""

import argparse
import json

from dogwoodshed._internal import registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.administration import (
    EXIT_CODES,
    add_gateway_arguments,
    create_client,
)
from dogwoodshed._internal.commands.base import Command


@registry.register(registry.COMMAND, "report")
class ReportCommand(Command):
    """Print the report of the last 24 hours."""

    summary = "show whether callers were served within the objectives today"
    description = (
        "Print the report of the last 24 hours over all gateways: the first line says "
        "whether the day went well for callers; a table shows each service by rank, "
        "its error budget and burn rates. Any gateway gives the same report. "
        + EXIT_CODES
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        add_gateway_arguments(parser)
        formats = parser.add_mutually_exclusive_group()
        formats.add_argument(
            "--json",
            dest="format",
            action="store_const",
            const="json",
            help="print JSON for programs",
        )
        formats.add_argument(
            "--html",
            dest="format",
            action="store_const",
            const="html",
            help="print one HTML file for a browser or a printer",
        )

    def run(self, options: argparse.Namespace) -> int:
        """Print the report and return the exit code."""
        client = create_client(options)
        text = client.get("/report", format=options.format or "text")
        if options.format == "json":
            # The library's encoder takes four times as long with an indent, which the
            # gateway cannot spare.
            text = json.dumps(json.loads(text), indent=1) + "\n"
        print(text, end="")
        return exit_codes.SUCCESS
