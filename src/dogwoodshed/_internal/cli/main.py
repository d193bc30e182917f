"""Run a command and convert errors to messages and exit codes."""

import sys
from collections.abc import Sequence

from absl import flags, logging

from dogwoodshed._internal import registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.cli.parser import build_parser
from dogwoodshed._internal.exceptions import ConfigurationError, DogwoodshedError


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    options = build_parser().parse_args(arguments)
    _set_up_logging(options.verbose)
    command = registry.lookup(registry.COMMAND, options.command)()
    try:
        return command.run(options)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return exit_codes.INVALID
    except (DogwoodshedError, OSError) as error:
        print(f"dogwoodshed: {error}", file=sys.stderr)
        return exit_codes.FAILURE
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED


def _set_up_logging(verbose: bool) -> None:
    # Without parsed flags, absl prints a warning before it logs to standard error.
    flags.FLAGS([sys.argv[0], "--logtostderr"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
