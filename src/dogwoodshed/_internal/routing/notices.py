"""Remember what upstreams say in their responses about further calls."""

import random

from dogwoodshed._internal.directory.model import UpstreamRun

# An upstream that leaves serves for a few seconds after it has said so. For this long
# it gets calls that no other upstream could serve.
LAST_RESORT_S = 1.0
# Gateways that were held off together return within this share of the time, so that an
# upstream does not get all their trials at once.
RETURN_SPREAD = 0.1
# Upstreams that left are remembered, so that a late directory entry does not return
# them; the earliest are forgotten.
MAX_NOTICES = 5_000


class UpstreamNotice:
    """What one run of an upstream wants of this gateway."""

    __slots__ = ("held_off_until", "is_trial", "leaving_since")

    def __init__(self) -> None:
        # Monotonic times.
        self.leaving_since: float | None = None
        self.held_off_until = float("-inf")
        # Whether no call has been answered since a hold-off; one is sent at a time.
        self.is_trial = False

    def is_held_off(self, now: float) -> bool:
        """Return whether the upstream wants no call of this gateway now."""
        return now < self.held_off_until

    def is_available(self, now: float) -> bool:
        """Return whether the upstream neither leaves nor holds calls off."""
        return self.leaving_since is None and now >= self.held_off_until

    def admits_as_last_resort(self, now: float) -> bool:
        """Return whether the upstream leaves, but may get calls without another."""
        return (
            self.leaving_since is not None
            and now < self.leaving_since + LAST_RESORT_S
            and now >= self.held_off_until
        )

    def describe(self, now: float) -> str:
        """Return why the upstream gets no calls, or an empty text if it does."""
        if self.leaving_since is not None:
            return "leaving by answer"
        if self.is_held_off(now):
            return f"held off for {self.held_off_until - now:.2f}s"
        return ""

    def record_leaving(self, now: float) -> bool:
        """Record that the upstream leaves; return whether that is new."""
        is_new = self.leaving_since is None
        if is_new:
            self.leaving_since = now
        return is_new

    def record_hold_off(self, seconds: float, now: float) -> bool:
        """Record that the upstream wants no calls; return whether that is new.

        A hold-off that answers the trial after another one is not new.
        """
        is_new = not self.is_trial
        until = now + seconds * random.uniform(1.0, 1.0 + RETURN_SPREAD)
        self.held_off_until = max(self.held_off_until, until)
        self.is_trial = True
        return is_new

    def record_response(self, now: float) -> None:
        """End the trial after a response without a hold-off."""
        if not self.is_held_off(now):
            self.is_trial = False


class NoticeBoard:
    """The notices of all upstreams, also of those that the directory lacks."""

    def __init__(self) -> None:
        self._notices: dict[UpstreamRun, UpstreamNotice] = {}

    def notice_of(self, run: UpstreamRun) -> UpstreamNotice:
        """Return the notice of a run; it is kept once `keep` was called."""
        return self._notices.get(run) or UpstreamNotice()

    def keep(self, run: UpstreamRun, notice: UpstreamNotice) -> None:
        """Keep a notice although the directory may remove and return the entry."""
        self._notices.pop(run, None)
        self._notices[run] = notice
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
