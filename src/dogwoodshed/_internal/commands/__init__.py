"""Commands of the command line, one module and class each."""

import importlib

_MODULES = ("check", "demo", "drain", "gateway", "report", "status")


def load() -> None:
    """Import all commands, which register themselves."""
    for module in _MODULES:
        importlib.import_module(f"{__name__}.{module}")
