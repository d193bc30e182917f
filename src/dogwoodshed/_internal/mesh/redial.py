"""Limit the rate of connection attempts to a peer."""

import asyncio
import random

REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 1.0


class RedialBackoff:
    """Exponential backoff with jitter for connections to one peer."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._delay = REDIAL_MIN_S
        self._lost = asyncio.Event()

    def record_loss(self) -> None:
        """Record that the connection to the peer ended."""
        self._lost.set()

    async def wait_for_loss(self, timeout: float) -> bool:
        """Wait until the connection ends; return False on timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._lost.wait()
        except TimeoutError:
            return False
        self._lost.clear()
        self._delay = REDIAL_MIN_S
        return True

    def record_attempt(self, duration: float) -> None:
        """Record an attempt and how long its connection stayed open."""
        self._lost.clear()
        # A connection that is closed at once, such as a duplicate, does not reset the
        # delay.
        if duration > REDIAL_MAX_S:
            self._delay = REDIAL_MIN_S

    def next_delay(self) -> float:
        """Return the time until the next attempt."""
        delay = self._delay
        self._delay = min(REDIAL_MAX_S, delay * 2)
        return self._random.uniform(delay / 2, delay)
