"""Record which peers were live in which minutes."""

from collections.abc import Container, Iterable

from dogwoodshed._internal.mesh.messages import (
    Presence,
)


class PresenceLog:
    """Record the live peers of the day by ranges of minutes.

    It reveals gateways whose summaries were lost together with all their holders;
    the report would otherwise not mention them.
    """

    def __init__(self) -> None:
        self._open: dict[tuple[str, int], Presence] = {}
        self._ended: list[Presence] = []

    def record(self, minute: int, live: Iterable[tuple[str, int]]) -> None:
        """Record the incarnations that are live at the end of a minute."""
        current = {}
        for key in live:
            earlier = self._open.pop(key, None)
            if earlier is not None and earlier.last == minute - 1:
                current[key] = earlier._replace(last=minute)
                continue
            if earlier is not None:
                self._ended.append(earlier)
            current[key] = Presence(*key, minute, minute)
        self._ended += self._open.values()
        self._open = current

    def expire(self, before: int) -> None:
        """Drop the ranges that ended before a minute."""
        self._ended = [entry for entry in self._ended if entry.last >= before]

    def presences(
        self, exclude: Container[tuple[str, int]] = ()
    ) -> tuple[Presence, ...]:
        """Return the ranges of all incarnations that are not excluded."""
        return tuple(
            entry
            for entry in (*self._ended, *self._open.values())
            if (entry.gateway, entry.incarnation) not in exclude
        )
