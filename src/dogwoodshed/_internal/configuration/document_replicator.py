"""Keep the published texts equal among gateways by way of heartbeats."""

import asyncio
import random
from collections.abc import Awaitable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.replicated_document import ReplicatedDocument
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import Heartbeat, TextReply, TextRequest
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics

FEATURE = "distribution"

REQUEST_TIMEOUT_S = 1.0
# The platform's watch brings a new text to all gateways within milliseconds; waiting
# this long before asking a peer avoids that every gateway fetches it twice.
SPREAD_S = 0.2
RECHECK_S = 0.25


class DocumentReplicator:
    """Fetch newer texts from peers and give them to peers that are behind."""

    def __init__(
        self,
        store: ConfigurationStore,
        hosts: ReplicatedDocument,
        mesh: Mesh,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        *,
        enabled: bool = True,
        seed: int | None = None,
    ) -> None:
        self._store = store
        self._hosts = hosts
        self._replicas: dict[str, ReplicatedDocument] = {
            store.key: store,
            hosts.key: hosts,
        }
        self._mesh = mesh
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._enabled = enabled
        self._random = random.Random(seed)
        self._asking: set[str] = set()
        self._heard: set[str] = set()
        self._conflicts: set[tuple[str, str]] = set()
        self._joined = False
        self._changed = asyncio.Event()
        store.subscribe(lambda _: self._changed.set())
        if enabled:
            mesh.subscribe(Heartbeat, self._compare)
            mesh.subscribe(TextRequest, self._give)

    async def synchronize(self, timeout: float) -> None:
        """Wait for texts that are no older than those of any peer that answers.

        Peers that do not answer are waited for until the timeout, so that a stale
        platform cannot bring back an old revision at a restart.
        """
        ends = self._clock.monotonic() + (timeout if self._enabled else 0.0)
        while not self._is_up_to_date(self._clock.monotonic() >= ends):
            self._changed.clear()
            try:
                async with asyncio.timeout(RECHECK_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._joined = True

    async def resynchronize(self, timeout: float) -> None:
        """Wait for the texts and drains that changed during a pause."""
        self._heard.clear()
        await self.synchronize(timeout)

    def _is_up_to_date(self, timed_out: bool) -> bool:
        if self._store.current is None:
            return False
        views = self._membership.views if self._enabled else {}
        if any(
            self._is_behind(replica, view.heartbeat)
            for replica in self._replicas.values()
            for view in views.values()
        ):
            return False
        # Nothing listens at an address that refuses, so nobody there has a text.
        asked = self._heard | self._membership.refused
        return timed_out or asked.issuperset(self._membership.addresses)

    def _compare(self, peer_id: str, heartbeat: Heartbeat) -> Awaitable[None] | None:
        self._heard.add(peer_id)
        self._changed.set()
        self._note_conflict(peer_id, heartbeat)
        for replica in self._replicas.values():
            if self._is_behind(replica, heartbeat) and replica.key not in self._asking:
                self._asking.add(replica.key)
                return self._fetch(peer_id, replica, heartbeat)
        return None

    def _is_behind(self, replica: ReplicatedDocument, heartbeat: Heartbeat) -> bool:
        offered = (
            heartbeat.hosts_revision if replica is self._hosts else heartbeat.revision
        )
        return offered > replica.seen_revision

    async def _fetch(
        self, peer_id: str, replica: ReplicatedDocument, heartbeat: Heartbeat
    ) -> None:
        try:
            if self._joined:
                await asyncio.sleep(self._random.uniform(0, SPREAD_S))
            if not self._is_behind(replica, heartbeat):
                return
            self._metrics.increment(f"{replica.key}.fetched")
            reply = await self._mesh.request(
                peer_id, TextRequest(replica.key), REQUEST_TIMEOUT_S
            )
            replica.offer(reply.text, reply.revision, f"gateway {peer_id}")
        except MeshError:
            # The next heartbeat of any peer that is ahead starts another request.
            self._metrics.increment(f"{replica.key}.fetch_failed")
        finally:
            self._asking.discard(replica.key)

    def _give(self, peer_id: str, request: TextRequest) -> TextReply:
        replica = self._replicas.get(request.key)
        if replica is None:
            return TextReply(0, "")
        return TextReply(replica.revision, replica.text)

    def _note_conflict(self, peer_id: str, heartbeat: Heartbeat) -> None:
        current = self._store.current
        if current is None or heartbeat.revision != current.revision:
            return
        if heartbeat.digest == current.digest:
            return
        self._metrics.increment("configuration.conflict")
        if (peer_id, heartbeat.digest) not in self._conflicts:
            self._conflicts.add((peer_id, heartbeat.digest))
            logging.warning(
                "gateway %s has another text for revision %d",
                peer_id,
                heartbeat.revision,
            )
