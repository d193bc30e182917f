"""Note which peers were live in which minutes."""

from collections.abc import Container, Iterable

from dogwoodshed._internal.mesh.messages import Presence


class PresenceLog:
    """Remember the live peers of the day by ranges of minutes.

    Without it, a gateway whose summaries were lost with all their holders would be
    missing from the report without a trace.
    """

    def __init__(self) -> None:
        self._open: dict[tuple[str, int], Presence] = {}
        self._ended: list[Presence] = []

    def note(self, minute: int, live: Iterable[tuple[str, int]]) -> None:
        """Note the incarnations that are live at the end of a minute."""
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
        """Forget what ended before a minute."""
        self._ended = [entry for entry in self._ended if entry.last >= before]

    def presences(
        self, exclude: Container[tuple[str, int]] = ()
    ) -> tuple[Presence, ...]:
        """Return the presences of incarnations that are not excluded."""
        return tuple(
            entry
            for entry in (*self._ended, *self._open.values())
            if (entry.gateway, entry.incarnation) not in exclude
        )
