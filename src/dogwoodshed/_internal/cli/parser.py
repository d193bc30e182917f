"""Build the argument parser from the registered commands."""

import argparse

from dogwoodshed import __version__
from dogwoodshed._internal import commands, registry


def build_parser() -> argparse.ArgumentParser:
    """Return a parser with a subparser for each command."""
    commands.load()
    parser = argparse.ArgumentParser(
        prog="dogwoodshed",
        description="Load balancer for upstreams whose load shifts in milliseconds.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--verbose",
        action="store_true",
        help="log state changes in addition to warnings",
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in registry.names(registry.COMMAND):
        command = registry.lookup(registry.COMMAND, name)
        subparser = subparsers.add_parser(
            name, help=command.summary, description=command.description
        )
        command.add_arguments(subparser)
    return parser
