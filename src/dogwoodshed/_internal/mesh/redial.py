"""Pace the attempts to reach a peer."""

import asyncio
import random

REDIAL_FIRST_S = 0.05
REDIAL_MOST_S = 1.0


class RedialPace:
    """Space the attempts at one peer with jitter, and note lost connections."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._delay = REDIAL_FIRST_S
        self._lost = asyncio.Event()

    def note_lost(self) -> None:
        """Note that the connection to the peer ended."""
        self._lost.set()

    async def wait_lost(self, timeout: float) -> bool:
        """Wait until the connection ends; tell whether it did within the timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._lost.wait()
        except TimeoutError:
            return False
        self._lost.clear()
        self._delay = REDIAL_FIRST_S
        return True

    def note_attempt(self, lasted: float) -> None:
        """Note an attempt and for how long its connection lasted."""
        self._lost.clear()
        # A connection that ends at once, such as a duplicate, is no success.
        if lasted > REDIAL_MOST_S:
            self._delay = REDIAL_FIRST_S

    def next_delay(self) -> float:
        """Return the time until the next attempt."""
        delay = self._delay
        self._delay = min(REDIAL_MOST_S, delay * 2)
        return self._random.uniform(delay / 2, delay)
