"""Replicate published documents between gateways, triggered by heartbeats."""

import asyncio
import random
from collections.abc import Awaitable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.replicated_document import ReplicatedDocument
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    DocumentReply,
    DocumentRequest,
    Heartbeat,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics

FEATURE = "distribution"

REQUEST_TIMEOUT_S = 1.0
# A new document reaches all gateways through the watch on the platform within
# milliseconds. A random delay of up to this time before a request to a peer prevents
# every gateway from fetching the document a second time from a peer.
MAX_FETCH_DELAY_S = 0.2
RECHECK_INTERVAL_S = 0.25


class DocumentReplicator:
    """Fetch newer documents from peers and serve them to peers that are behind."""

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
        self._documents: dict[str, ReplicatedDocument] = {
            store.key: store,
            hosts.key: hosts,
        }
        self._mesh = mesh
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._enabled = enabled
        self._random = random.Random(seed)
        self._fetching: set[str] = set()
        # Peers that have sent a heartbeat since the start or the last pause.
        self._reporting_peers: set[str] = set()
        # Peer and digest of conflicts that were already logged.
        self._conflicts: set[tuple[str, str]] = set()
        self._synchronized = False
        self._changed = asyncio.Event()
        store.subscribe(lambda _: self._changed.set())
        if enabled:
            mesh.subscribe(Heartbeat, self._handle_heartbeat)
            mesh.subscribe(DocumentRequest, self._handle_request)

    async def synchronize(self, timeout: float) -> None:
        """Wait until no peer that responds has a newer document.

        Peers that do not respond are waited for until the timeout. Otherwise a gateway
        that restarts while the platform is stale could use an old revision.
        """
        deadline = self._clock.monotonic() + (timeout if self._enabled else 0.0)
        while not self._is_up_to_date(self._clock.monotonic() >= deadline):
            self._changed.clear()
            try:
                async with asyncio.timeout(RECHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._synchronized = True

    async def resynchronize(self, timeout: float) -> None:
        """Wait for documents that changed while the process was paused."""
        self._reporting_peers.clear()
        await self.synchronize(timeout)

    def _is_up_to_date(self, timed_out: bool) -> bool:
        if self._store.current is None:
            return False
        views = self._membership.views if self._enabled else {}
        if any(
            self._is_behind(document, view.heartbeat)
            for document in self._documents.values()
            for view in views.values()
        ):
            return False
        # A peer that refuses connections is not running, so it has no newer document.
        accounted_for = self._reporting_peers | self._membership.refused
        return timed_out or accounted_for.issuperset(self._membership.addresses)

    def _handle_heartbeat(
        self, peer_id: str, heartbeat: Heartbeat
    ) -> Awaitable[None] | None:
        self._reporting_peers.add(peer_id)
        self._changed.set()
        self._check_conflict(peer_id, heartbeat)
        for document in self._documents.values():
            if (
                self._is_behind(document, heartbeat)
                and document.key not in self._fetching
            ):
                self._fetching.add(document.key)
                return self._fetch(peer_id, document, heartbeat)
        return None

    def _is_behind(self, document: ReplicatedDocument, heartbeat: Heartbeat) -> bool:
        peer_revision = (
            heartbeat.hosts_revision if document is self._hosts else heartbeat.revision
        )
        return peer_revision > document.seen_revision

    async def _fetch(
        self, peer_id: str, document: ReplicatedDocument, heartbeat: Heartbeat
    ) -> None:
        try:
            if self._synchronized:
                await asyncio.sleep(self._random.uniform(0, MAX_FETCH_DELAY_S))
            if not self._is_behind(document, heartbeat):
                return
            self._metrics.increment(f"{document.key}.fetched")
            reply = await self._mesh.request(
                peer_id, DocumentRequest(document.key), REQUEST_TIMEOUT_S
            )
            document.offer(reply.text, reply.revision, f"gateway {peer_id}")
        except MeshError:
            # Retried at the next heartbeat of a peer with a newer revision.
            self._metrics.increment(f"{document.key}.fetch_failed")
        finally:
            self._fetching.discard(document.key)

    def _handle_request(self, peer_id: str, request: DocumentRequest) -> DocumentReply:
        document = self._documents.get(request.key)
        if document is None:
            return DocumentReply(0, "")
        return DocumentReply(document.revision, document.text)

    def _check_conflict(self, peer_id: str, heartbeat: Heartbeat) -> None:
        current = self._store.current
        if current is None or heartbeat.revision != current.revision:
            return
        if heartbeat.digest == current.digest:
            return
        self._metrics.increment("configuration.conflict")
        if (peer_id, heartbeat.digest) not in self._conflicts:
            self._conflicts.add((peer_id, heartbeat.digest))
            logging.warning(
                "gateway %s has a different configuration text for revision %d",
                peer_id,
                heartbeat.revision,
            )
