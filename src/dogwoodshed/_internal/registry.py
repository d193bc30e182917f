"""Register plug-ins by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from dogwoodshed._internal.exceptions import UnknownPluginError

T = TypeVar("T")

PLATFORM = "platform"
DISCOVERY = "discovery"
LOAD_REPORT = "load_report"
ROUTING = "routing"
COMMAND = "command"

_plugins: dict[str, dict[str, Any]] = {}


def register(kind: str, name: str) -> Callable[[T], T]:
    """Return a decorator that registers a plug-in under a name."""

    def decorate(plugin: T) -> T:
        _plugins.setdefault(kind, {})[name] = plugin
        return plugin

    return decorate


def lookup(kind: str, name: str) -> Any:
    """Return the plug-in of a kind with this name."""
    try:
        return _plugins[kind][name]
    except KeyError:
        raise UnknownPluginError(kind, name, names(kind)) from None


def names(kind: str) -> tuple[str, ...]:
    """Return the sorted names of the registered plug-ins of a kind."""
    return tuple(sorted(_plugins.get(kind, {})))
