"""Import the modules whose plug-ins register themselves."""

import importlib

_MODULES = (
    "dogwoodshed._internal.discovery.host_list",
    "dogwoodshed._internal.config_service.consul",
    "dogwoodshed._internal.proxy.load_reports",
    "dogwoodshed._internal.routing.baselines",
    "dogwoodshed._internal.routing.slices",
)


def load() -> None:
    """Import all plug-ins that are part of the package."""
    for module in _MODULES:
        importlib.import_module(module)
