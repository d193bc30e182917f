"""Close minutes, replicate their summaries to peers and collect them for the report.

Each summary is also stored by a few peers, its holders, so that the minutes of a lost
gateway stay in the report.
"""

import asyncio
from collections.abc import Generator, Iterable
from typing import Any, NamedTuple

from absl import logging
from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import MeshError, ProtocolError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    Acknowledgement,
    Presence,
    SummaryPush,
    SummaryReply,
    SummaryRequest,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.rendezvous import rendezvous_order
from dogwoodshed._internal.reporting.merge import MergedDay, merge_day
from dogwoodshed._internal.reporting.presence import PresenceLog
from dogwoodshed._internal.reporting.recorder import ClosedMinute, MinuteRecorder
from dogwoodshed._internal.reporting.store import DAY_MINUTES, SummaryStore
from dogwoodshed._internal.reporting.summary import SummaryBlock, encode_counts
from dogwoodshed._internal.settings import Settings

# Two of the three holders may be lost together with the gateway itself.
HOLDERS = 3
# Minutes that go to the same holders, so that a holder can merge them into one block.
HOLDER_TERM_MINUTES = 60
REQUEST_TIMEOUT_S = 2.0
# Heartbeats to a peer are dropped while 64 KiB wait to be sent: a reply stays below.
MAX_REPLY_BYTES = 48 * 1024
# Summaries of a minute normally arrive within this time after its end.
DELIVERY_TIME_S = 2.0


class CollectedDay(NamedTuple):
    """A merged day, and the live gateways that did not reply."""

    day: MergedDay
    silent: tuple[str, ...]
    presences: tuple[Presence, ...] = ()


class SummaryExchange(Service):
    """Replicate minute summaries to peers and collect those of all gateways."""

    mundane_level = "debug"

    def __init__(
        self,
        settings: Settings,
        mesh: Mesh,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._settings = settings.reporting
        self._holders_enabled = settings.is_enabled("summary_holders")
        self._hand_over_enabled = settings.is_enabled("summary_hand_over")
        self._mesh = mesh
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._recorder = MinuteRecorder(self._settings.minute_s, clock)
        self._store = SummaryStore(self._settings.store_bytes, metrics)
        self._presences = PresenceLog()
        self._cached: CollectedDay | None = None
        self._collect_lock = asyncio.Lock()
        self._publish_tasks: set[asyncio.Task[None]] = set()
        mesh.subscribe(SummaryPush, self._handle_summary)
        mesh.subscribe(SummaryRequest, self._handle_summary_request)

    @property
    def recorder(self) -> MinuteRecorder:
        return self._recorder

    @property
    def minute_s(self) -> float:
        return self._settings.minute_s

    @property
    def store(self) -> SummaryStore:
        return self._store

    @Service.task
    async def _close_minutes(self) -> None:
        while not self.should_stop:
            await self.sleep(self._recorder.seconds_to_next_minute)
            self._publish_closed_minutes()

    async def hand_over_open_minute(self) -> None:
        """Close the open minute and replicate it to peers, on a planned stop."""
        if not self._hand_over_enabled:
            return
        self._publish_closed_minutes()
        # The summary of the minute before may still be in transit.
        await asyncio.gather(*self._publish_tasks, return_exceptions=True)
        await self._publish(self._recorder.close_now(), final=True)

    def _publish_closed_minutes(self) -> None:
        while (closed := self._recorder.take_closed_minute()) is not None:
            self._presences.record(closed.minute, self._live_incarnations().items())
            task = asyncio.ensure_future(self._publish(closed, final=False))
            self._publish_tasks.add(task)
            task.add_done_callback(self._publish_tasks.discard)

    async def on_stop(self) -> None:
        """Cancel the summaries that are still in transit."""
        for task in self._publish_tasks:
            task.cancel()

    async def collect(self) -> CollectedDay:
        """Merge the summaries of all gateways, once for each closed minute."""
        async with self._collect_lock:
            delay = min(DELIVERY_TIME_S, self._settings.minute_s / 2)
            until = int((self._clock.wall() - delay) // self._settings.minute_s)
            if self._cached is None or self._cached.day.until != until:
                collected = await self._collect(until)
                # An incomplete day is not cached: the next request collects it again.
                self._cached = None if collected.silent else collected
                return collected
            return self._cached

    async def _collect(self, until: int) -> CollectedDay:
        since = until - DAY_MINUTES
        live = self._live_incarnations()
        blocks, presences, silent = await self._fetch_from_all(since, tuple(live), live)
        if silent:
            # Ask again, now also for the copies that holders store for silent gateways.
            others = tuple(peer for peer in live if peer not in silent)
            replying = {peer: live[peer] for peer in others}
            blocks += (await self._fetch_from_all(since, others, replying))[0]
        day = await run_cooperatively(merge_day([*blocks, *self._store], since, until))
        presences |= set(self._presences.presences())
        return CollectedDay(day, silent, tuple(sorted(presences)))

    def _live_incarnations(self) -> dict[str, int]:
        views = self._membership.views
        return {peer: view.incarnation for peer, view in views.items()}

    async def _fetch_from_all(
        self, since: int, peers: tuple[str, ...], senders: dict[str, int]
    ) -> tuple[list[SummaryBlock], set[Presence], tuple[str, ...]]:
        # This gateway and the senders contribute their own blocks, so peers leave out
        # their copies of these.
        exclude = ((self._mesh.id, self._mesh.incarnation), *senders.items())
        replies = await asyncio.gather(
            *(self._fetch_from(peer, since, exclude) for peer in peers),
            return_exceptions=True,
        )
        blocks: list[SummaryBlock] = []
        presences: set[Presence] = set()
        silent = []
        for peer, reply in zip(peers, replies, strict=True):
            if isinstance(reply, MeshError):
                silent.append(peer)
            elif isinstance(reply, BaseException):
                raise reply
            else:
                blocks += reply[0]
                presences.update(reply[1])
        return blocks, presences, tuple(silent)

    async def _fetch_from(
        self, peer: str, since: int, exclude: tuple[tuple[str, int], ...]
    ) -> tuple[list[SummaryBlock], tuple[Presence, ...]]:
        blocks: list[SummaryBlock] = []
        after: tuple[Any, ...] = ()
        while True:
            reply = await self._mesh.request(
                peer, SummaryRequest(since, after, exclude), REQUEST_TIMEOUT_S
            )
            blocks += (SummaryBlock.from_bytes(data) for data in reply.summaries)
            if not reply.next:
                return blocks, reply.presences
            after = reply.next

    async def _publish(self, closed: ClosedMinute, *, final: bool) -> None:
        body = await run_cooperatively(encode_counts(closed.counts))
        block = SummaryBlock(
            self._mesh.id, self._mesh.incarnation, closed.minute, 1, 1, final, body
        )
        self._store.add(block)
        self._metrics.increment("report.minutes_closed")
        if self._holders_enabled:
            await self._send_to_holders(block)
        self._store.expire(closed.minute)
        self._presences.expire(closed.minute - DAY_MINUTES)
        await run_cooperatively(
            self._store.compact(set(self._live_incarnations().items()))
        )

    async def _send_to_holders(self, block: SummaryBlock) -> None:
        candidates = list(
            holders_in_order(
                block, set(self._membership.members.live) - {self._mesh.id}
            )
        )
        message = SummaryPush((block.encode(),))
        acknowledged = 0
        while candidates and acknowledged < HOLDERS:
            missing = HOLDERS - acknowledged
            chosen, candidates = candidates[:missing], candidates[missing:]
            replies = await asyncio.gather(
                *(
                    self._mesh.request(peer, message, REQUEST_TIMEOUT_S)
                    for peer in chosen
                ),
                return_exceptions=True,
            )
            acknowledged += sum(isinstance(r, Acknowledgement) for r in replies)
        if acknowledged:
            self._metrics.increment("report.minutes_acknowledged")
        if acknowledged < HOLDERS:
            self._metrics.increment("report.minutes_with_few_holders")

    def _handle_summary(
        self, peer_id: str, message: SummaryPush
    ) -> Acknowledgement | None:
        try:
            for data in message.summaries:
                self._store.add(SummaryBlock.from_bytes(data))
        except ProtocolError as error:
            self._metrics.increment("report.malformed_summaries")
            logging.warning("dropped summary from gateway %s: %s", peer_id, error)
            return None
        return Acknowledgement()

    def _handle_summary_request(
        self, peer_id: str, message: SummaryRequest
    ) -> SummaryReply:
        excluded = {tuple(item) for item in message.exclude}
        summaries: list[bytes] = []
        size = 0
        last: tuple[Any, ...] = ()
        for block in self._store.blocks_after(tuple(message.after)):
            own = block.gateway == self._mesh.id
            is_excluded = not own and block[:2] in excluded
            if is_excluded or block.start < message.since_minute:
                continue
            data = block.encode()
            if summaries and size + len(data) > MAX_REPLY_BYTES:
                return SummaryReply(tuple(summaries), last)
            summaries.append(data)
            size += len(data)
            last = block.key
        return SummaryReply(tuple(summaries), (), self._presences.presences(excluded))


def holders_in_order(block: SummaryBlock, peers: Iterable[str]) -> list[str]:
    """Order peers by falling rendezvous score for the gateway and hour of a block."""
    return rendezvous_order(
        f"{block.gateway}/{block.start // HOLDER_TERM_MINUTES}", peers
    )


async def run_cooperatively(steps: Generator[None, None, Any]) -> Any:
    """Run a generator to its end and yield to the event loop after each step."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
