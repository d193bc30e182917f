"""Validate a configuration file."""

import argparse
import sys

from dogwoodshed._internal import registry
from dogwoodshed._internal.cli import exit_codes
from dogwoodshed._internal.commands.base import Command
from dogwoodshed._internal.configuration.document import read_document_text
from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.exceptions import DocumentSyntaxError, InvalidDocumentError


@registry.register(registry.COMMAND, "check")
class CheckCommand(Command):
    """Report all errors of a configuration file."""

    summary = "validate a configuration file"
    description = (
        "Validate a configuration file. Prints every error as FILE:LINE: KEY: problem. "
        "Exit code 0 if the file is valid, 2 if it is not or cannot be read."
    )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""
        parser.add_argument("file", metavar="FILE", help="the file to validate")

    def run(self, options: argparse.Namespace) -> int:
        """Check the file and return its exit code."""
        try:
            text = read_document_text(options.file)
            configuration = load_configuration(text, 0, options.file)
        except DocumentSyntaxError as error:
            print(error, file=sys.stderr)
            return exit_codes.INVALID
        except InvalidDocumentError as error:
            for issue in error.issues:
                print(issue, file=sys.stderr)
            return exit_codes.INVALID
        upstreams = sum(len(service.upstreams) for service in configuration.services)
        print(
            f"{options.file}: valid, {len(configuration.services)} services, "
            f"{upstreams} listed upstreams"
        )
        return exit_codes.SUCCESS
