"""Print the daily service-level report."""

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

    summary = "show whether the service-level objectives of the day were met"
    description = (
        "Print the service-level report of the last 24 hours over all gateways: the "
        "first line says whether the objectives were met; a table shows the error "
        "budget and the burn rates of each service by rank. Every gateway returns the "
        "same report. " + EXIT_CODES
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
            help="print JSON",
        )
        formats.add_argument(
            "--html",
            dest="format",
            action="store_const",
            const="html",
            help="print a self-contained HTML page",
        )

    def run(self, options: argparse.Namespace) -> int:
        """Print the report and return the exit code."""
        client = create_client(options)
        text = client.get("/report", format=options.format or "text")
        if options.format == "json":
            # Indented here because the JSON encoder takes four times as long with an
            # indent, which would cost the gateway too much time.
            text = json.dumps(json.loads(text), indent=1) + "\n"
        print(text, end="")
        return exit_codes.SUCCESS
