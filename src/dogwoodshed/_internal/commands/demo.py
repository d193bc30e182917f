"""Demonstrate a fleet of gateways under load with failures."""

import argparse
import asyncio
import json
import signal

from dogwoodshed._internal import plugins, registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.base import Command
from dogwoodshed._internal.demo.runner import DemoResult, DemoRun
from dogwoodshed._internal.settings import DEFAULT_ROUTING

DEFAULT_SECONDS = 30.0
# A shorter demo leaves no time to detect a silent connection and recover.
MIN_SECONDS = 5.0


@registry.register(registry.COMMAND, "demo")
class DemoCommand(Command):
    """Run gateways, callers and upstreams on loopback for half a minute."""

    summary = "run a demo fleet on loopback"
    description = (
        "Start five gateways on loopback with simulated callers, upstreams and "
        "platform, and expose them to a load surge, a drain, silent connections, a "
        "flood of calls and lost responses. Exit code 0 only if no call was lost, run "
        "twice, answered with the response to another call or falsely reported as not "
        "run; otherwise 1."
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        parser.add_argument("--seconds", type=_seconds, default=DEFAULT_SECONDS)
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument(
            "--routing",
            default=DEFAULT_ROUTING,
            help="the routing policy of the gateways",
        )
        parser.add_argument(
            "--without",
            metavar="FEATURE",
            action="append",
            default=[],
            help="disable a feature of the gateways to see which failures it prevents",
        )
        parser.add_argument(
            "--json", action="store_true", help="print only the counts, as JSON"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Run the demo and return its exit code."""
        # Handle SIGTERM like SIGINT, which stops the started processes.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        plugins.load()
        registry.lookup(registry.ROUTING, options.routing)
        settings = {
            "routing": options.routing,
            "features": dict.fromkeys(options.without, False),
        }
        demo_run = DemoRun(options.seconds, options.seed, settings, options.json)
        result = asyncio.run(demo_run.run())
        if options.json:
            print(json.dumps(_to_json(result)))
        else:
            _print(result)
        return exit_codes.SUCCESS if result.clean else exit_codes.FAILURE


def _seconds(text: str) -> float:
    value = float(text)
    if not value >= MIN_SECONDS:
        raise argparse.ArgumentTypeError(f"at least {MIN_SECONDS:g}")
    return value


def _to_json(result: DemoResult) -> dict:
    return {
        "clean": result.clean,
        "ranks": {rank: counts._asdict() for rank, counts in result.ranks.items()},
    }


def _print(result: DemoResult) -> None:
    if result.report is not None:
        print(result.report.rstrip() + "\n")
    first_counts = next(iter(result.ranks.values()))
    print(f"{'rank':8}" + "".join(f"{name:>14}" for name in first_counts._fields))
    for rank, counts in result.ranks.items():
        print(f"{rank:8}" + "".join(f"{value:>14}" for value in counts))
    if result.clean:
        print("no call was lost, run twice, mixed up or falsely reported as not run")
    else:
        print("FAILED: calls lost, run twice, mixed up or falsely reported as not run")
