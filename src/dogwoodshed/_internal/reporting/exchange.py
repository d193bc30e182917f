"""Close minutes, hand their summaries to peers and collect them for the report."""

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
from dogwoodshed._internal.reporting.merge import Day, merge_day
from dogwoodshed._internal.reporting.presence import PresenceLog
from dogwoodshed._internal.reporting.recorder import ClosedMinute, MinuteRecorder
from dogwoodshed._internal.reporting.store import DAY_MINUTES, SummaryStore
from dogwoodshed._internal.reporting.summary import SummaryBlock, encode_counts
from dogwoodshed._internal.settings import Settings

# Two of the three may be lost with the gateway itself.
HOLDERS = 3
# Minutes that go to the same holders: those that are later merged into one block.
HOLDER_TERM = 60
REQUEST_TIMEOUT_S = 2.0
# Heartbeats are dropped once 64 KiB wait for a peer, so a part stays below that.
PART_BYTES = 48 * 1024
# Summaries of a minute arrive this long after its end at the latest, as a rule.
SETTLE_S = 2.0


class CollectedDay(NamedTuple):
    """A merged day and the live gateways that did not answer."""

    day: Day
    silent: tuple[str, ...]
    presences: tuple[Presence, ...] = ()


class SummaryExchange(Service):
    """Exchange minute summaries with the other gateways."""

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
        self._share = settings.is_enabled("summary_holders")
        self._hand_over = settings.is_enabled("summary_hand_over")
        self._mesh = mesh
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._recorder = MinuteRecorder(self._settings.minute_s, clock)
        self._store = SummaryStore(self._settings.store_bytes, metrics)
        self._presences = PresenceLog()
        self._cached: CollectedDay | None = None
        self._collecting = asyncio.Lock()
        self._publishing: set[asyncio.Task[None]] = set()
        mesh.subscribe(SummaryPush, self._keep)
        mesh.subscribe(SummaryRequest, self._give)

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
            await self.sleep(self._recorder.until_next_minute)
            closed = self._recorder.close_minute()
            if closed is not None:
                self._presences.note(closed.minute, self._live().items())
                task = asyncio.ensure_future(self._publish(closed, final=False))
                self._publishing.add(task)
                task.add_done_callback(self._publishing.discard)

    async def hand_over_open_minute(self) -> None:
        """Close the open minute and have peers acknowledge it, on a planned stop."""
        if not self._hand_over:
            return
        # The minute before may still be on its way.
        await asyncio.gather(*self._publishing, return_exceptions=True)
        await self._publish(self._recorder.close_now(), final=True)

    async def on_stop(self) -> None:
        """Give up what is still on its way."""
        for task in self._publishing:
            task.cancel()

    async def collect(self) -> CollectedDay:
        """Merge the summaries of all gateways, once for each closed minute."""
        async with self._collecting:
            settle = min(SETTLE_S, self._settings.minute_s / 2)
            until = int((self._clock.wall() - settle) // self._settings.minute_s)
            if self._cached is None or self._cached.day.until != until:
                collected = await self._collect(until)
                # An incomplete day is asked for anew at the next request.
                self._cached = None if collected.silent else collected
                return collected
            return self._cached

    async def _collect(self, until: int) -> CollectedDay:
        since = until - DAY_MINUTES
        live = self._live()
        blocks, presences, silent = await self._ask_all(since, tuple(live), live)
        if silent:
            # The summaries of those that do not answer are with their holders.
            others = tuple(peer for peer in live if peer not in silent)
            answering = {peer: live[peer] for peer in others}
            blocks += (await self._ask_all(since, others, answering))[0]
        day = await run_cooperatively(merge_day([*blocks, *self._store], since, until))
        presences |= set(self._presences.presences())
        return CollectedDay(day, silent, tuple(sorted(presences)))

    def _live(self) -> dict[str, int]:
        views = self._membership.views
        return {peer: view.incarnation for peer, view in views.items()}

    async def _ask_all(
        self, since: int, peers: tuple[str, ...], live: dict[str, int]
    ) -> tuple[list[SummaryBlock], set[Presence], tuple[str, ...]]:
        exclude = ((self._mesh.id, self._mesh.incarnation), *live.items())
        answers = await asyncio.gather(
            *(self._ask(peer, since, exclude) for peer in peers),
            return_exceptions=True,
        )
        blocks: list[SummaryBlock] = []
        presences: set[Presence] = set()
        silent = []
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, MeshError):
                silent.append(peer)
            elif isinstance(answer, BaseException):
                raise answer
            else:
                blocks += answer[0]
                presences.update(answer[1])
        return blocks, presences, tuple(silent)

    async def _ask(
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
        if self._share:
            await self._send_to_holders(block)
        self._store.expire(closed.minute)
        self._presences.expire(closed.minute - DAY_MINUTES)
        await run_cooperatively(self._store.compact(set(self._live().items())))

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
            answers = await asyncio.gather(
                *(
                    self._mesh.request(peer, message, REQUEST_TIMEOUT_S)
                    for peer in chosen
                ),
                return_exceptions=True,
            )
            acknowledged += sum(isinstance(a, Acknowledgement) for a in answers)
        if acknowledged:
            self._metrics.increment("report.minutes_acknowledged")
        if acknowledged < HOLDERS:
            self._metrics.increment("report.minutes_with_few_holders")

    def _keep(self, peer_id: str, message: SummaryPush) -> Acknowledgement | None:
        try:
            for data in message.summaries:
                self._store.add(SummaryBlock.from_bytes(data))
        except ProtocolError as error:
            self._metrics.increment("report.malformed_summaries")
            logging.warning("summary from gateway %s: %s", peer_id, error)
            return None
        return Acknowledgement()

    def _give(self, peer_id: str, message: SummaryRequest) -> SummaryReply:
        excluded = {tuple(item) for item in message.exclude}
        summaries: list[bytes] = []
        size = 0
        last: tuple[Any, ...] = ()
        for block in self._store.blocks_after(tuple(message.after)):
            own = block.gateway == self._mesh.id
            excluded_here = not own and block[:2] in excluded
            if excluded_here or block.start < message.since_minute:
                continue
            data = block.encode()
            if summaries and size + len(data) > PART_BYTES:
                return SummaryReply(tuple(summaries), last)
            summaries.append(data)
            size += len(data)
            last = block.key
        return SummaryReply(tuple(summaries), (), self._presences.presences(excluded))


def holders_in_order(block: SummaryBlock, peers: Iterable[str]) -> list[str]:
    """Return peers by falling rendezvous score for a gateway and its hour."""
    return rendezvous_order(f"{block.gateway}/{block.start // HOLDER_TERM}", peers)


async def run_cooperatively(steps: Generator[None, None, Any]) -> Any:
    """Run a stepwise computation with other tasks between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
