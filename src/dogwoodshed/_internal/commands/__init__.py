"""Hold one module and one class for each command."""

import importlib

_MODULES = ("check", "demo", "drain", "gateway", "report", "status")


def load() -> None:
    """Import the commands, which register themselves."""
    for module in _MODULES:
        importlib.import_module(f"{__name__}.{module}")
