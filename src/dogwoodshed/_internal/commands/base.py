"""Define the interface of commands."""

import argparse
from abc import ABC, abstractmethod


class Command(ABC):
    """Base class of the commands of the command line."""

    summary = ""
    description = ""

    @classmethod
    @abstractmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command."""

    @abstractmethod
    def run(self, options: argparse.Namespace) -> int:
        """Run the command and return its exit code."""
