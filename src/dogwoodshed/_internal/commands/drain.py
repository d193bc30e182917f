"""Take an upstream or a gateway out of service, or back."""

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

    summary = "send no new work to an upstream, or no callers to a gateway"
    description = (
        "Drain an upstream: no gateway sends it new work, and calls in flight finish. "
        "With --self, drain the gateway itself: it is no longer ready, so that the "
        "platform's balancer sends it no callers, and it goes on answering those that "
        "still come. --undo takes either back into service. " + EXIT_CODES
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
            help="drain the gateway that is asked",
        )
        parser.add_argument("--undo", action="store_true", help="end the drain instead")
        add_gateway_arguments(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Send the order and return the exit code."""
        order = {"self": True} if options.own else {"address": options.address}
        path = "/undrain" if options.undo else "/drain"
        create_client(options).post(path, order)
        target = f"gateway {options.gateway}" if options.own else options.address
        print(f"{target}: {'back in service' if options.undo else 'draining'}")
        return exit_codes.SUCCESS
