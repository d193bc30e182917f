"""Run a gateway process."""

import argparse

from dogwoodshed._internal import registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.base import Command
from dogwoodshed._internal.gateway import Gateway
from dogwoodshed._internal.settings import Settings
from dogwoodshed._internal.worker import GatewayWorker


@registry.register(registry.COMMAND, "gateway")
class GatewayCommand(Command):
    """Serve callers until SIGTERM or SIGINT."""

    summary = "run a gateway process"
    description = (
        "Run a gateway process in the foreground. On SIGTERM or SIGINT it finishes all "
        "requests in flight, then stops."
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        parser.add_argument(
            "--settings", metavar="FILE", required=True, help="the settings file"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Run the gateway and return its exit code."""
        settings = Settings.from_file(options.settings)
        worker = GatewayWorker(
            Gateway.from_settings(settings),
            override_logging=False,
            redirect_stdouts=False,
        )
        try:
            worker.execute_from_commandline()
        except SystemExit as stop:
            return int(stop.code or exit_codes.SUCCESS)
        return exit_codes.SUCCESS
