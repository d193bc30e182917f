"""Take an upstream or a gateway out of service or return it to service."""

import argparse

from dogwoodshed._internal import registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.administration import (
    EXIT_CODES,
    add_gateway_arguments,
    create_client,
)
from dogwoodshed._internal.commands.base import Command


@registry.register(registry.COMMAND, "drain")
class DrainCommand(Command):
    """Start or undo a drain."""

    summary = "drain an upstream or a gateway"
    description = (
        "Drain an upstream: no gateway sends it new calls, and calls in flight finish. "
        "With --self, drain the gateway itself: it reports that it is not ready, so "
        "that the balancer of the platform stops sending callers, and it still serves "
        "those that arrive. --undo returns either to service. " + EXIT_CODES
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        target = parser.add_mutually_exclusive_group(required=True)
        target.add_argument(
            "address", metavar="ADDRESS", nargs="?", help="the upstream, as IP:PORT"
        )
        target.add_argument(
            "--self",
            dest="own",
            action="store_true",
            help="drain the gateway itself",
        )
        parser.add_argument("--undo", action="store_true", help="end the drain")
        add_gateway_arguments(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Send the request and return the exit code."""
        request = {"self": True} if options.own else {"address": options.address}
        path = "/undrain" if options.undo else "/drain"
        create_client(options).post(path, request)
        target = f"gateway {options.gateway}" if options.own else options.address
        print(f"{target}: {'back in service' if options.undo else 'draining'}")
        return exit_codes.SUCCESS
