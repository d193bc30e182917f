"""Run the key keepers of several gateways over a fake mesh."""

import asyncio
import inspect
import random

from multidict import CIMultiDict

from dogwoodshed._internal.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
    UpstreamDisconnectedError,
    UpstreamUnreachableError,
)
from dogwoodshed._internal.idempotency.service import Idempotency
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.relay import Answer, OutboundRequest
from tests.lib import builders

SERVICE = builders.configuration().services[0]
READ, WRITE = SERVICE.kinds[:2]


class FakeMesh:
    """Carry messages between gateways of one test, in order for each pair."""

    def __init__(self, fleet: "KeyFleet", own_id: str, incarnation: int) -> None:
        self._fleet = fleet
        self.id = own_id
        self.incarnation = incarnation
        self.handlers = {}
        self.up = True
        self.sent = 0

    def subscribe(self, message_type, handler) -> None:
        self.handlers[message_type] = handler

    def send(self, peer_id, message) -> bool:
        self._fleet.spawn(self._deliver(peer_id, message))
        return True

    async def request(self, peer_id, message, timeout):
        try:
            async with asyncio.timeout(timeout):
                # Shielded: a message on its way arrives after its sender gave up.
                return await asyncio.shield(
                    self._fleet.spawn(self._deliver(peer_id, message, wait=True))
                )
        except TimeoutError:
            raise PeerTimeoutError(peer_id) from None

    async def _deliver(self, peer_id, message, wait=False):
        self.sent += 1
        await self._fleet.travel(self, peer_id)
        peer = self._fleet.meshes.get(peer_id)
        if not self.up or not self._fleet.joined(self.id, peer_id):
            if wait:
                await asyncio.sleep(1.0)
                raise PeerUnavailableError(peer_id)
            return None
        answer = peer.handlers[type(message)](self.id, message)
        if inspect.isawaitable(answer):
            answer = await answer
        if wait:
            await self._fleet.travel(peer, self.id)
            if not (peer.up and self._fleet.joined(peer_id, self.id)):
                await asyncio.sleep(1.0)
                raise PeerUnavailableError(peer_id)
        return answer


class FakeUpstream:
    """Count the runs of each key; some calls fail before or after they run."""

    def __init__(self, fleet: "KeyFleet", mesh: FakeMesh) -> None:
        self._fleet = fleet
        self._mesh = mesh

    async def forward(self, call, request) -> Answer:
        """Run a call after a while."""
        await asyncio.sleep(self._fleet.random.uniform(0, 0.05))
        kind = self._fleet.random.random()
        if not self._mesh.up or kind < self._fleet.unreachable_share:
            raise UpstreamUnreachableError("down")
        call.dispatched = True
        self._fleet.runs[call.key] = self._fleet.runs.get(call.key, 0) + 1
        await asyncio.sleep(self._fleet.random.expovariate(10.0))
        if kind > 1 - self._fleet.cut_share:
            raise UpstreamDisconnectedError("cut")
        body = f"{call.key}/{self._fleet.runs[call.key]}".encode()
        return Answer(None, 201, CIMultiDict({"X-Order": "7"}), body)


class KeyFleet:
    """Gateways that claim keys from each other."""

    def __init__(self, loop, count: int, seed: int = 1) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.meshes: dict[str, FakeMesh] = {}
        self.forwarders = {}
        self.services: dict[str, Idempotency] = {}
        self.runs: dict[str, int] = {}
        self.side: set[str] = set()
        self.unreachable_share = 0.0
        self.cut_share = 0.0
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._settling: dict[str, asyncio.Task] = {}
        self.listed = tuple(f"g{number}" for number in range(count))
        for own_id in self.listed:
            self.start(own_id)

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine beside the test."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Nobody may have waited for it.
            task.exception()

    def start(self, own_id: str, incarnation: int = 1) -> None:
        """Start a gateway, or restart it without its memory."""
        self.kill(own_id)
        mesh = self.meshes[own_id] = FakeMesh(self, own_id, incarnation * 1_000_000)
        listed = tuple(sorted({own_id, *self.listed}))
        members = Members(own_id, listed, listed)
        service = Idempotency(mesh, members, self.loop, Metrics(), seed=incarnation)
        self.services[own_id] = service
        self.forwarders[own_id] = service.wrap(FakeUpstream(self, mesh))
        self._settling[own_id] = self.loop.create_task(self._keep_settled(service))

    def kill(self, own_id: str) -> None:
        """End a gateway; what it runs at an upstream goes on unobserved."""
        if own_id in self.meshes:
            self.meshes.pop(own_id).up = False
            self._settling.pop(own_id).cancel()

    def list_only(self, *names: str) -> None:
        """Change the list of gateways everywhere at once."""
        self.listed = names
        for own_id, service in self.services.items():
            self.tell(own_id, service, names)

    def tell(self, own_id: str, service: Idempotency, names: tuple[str, ...]) -> None:
        """Change the list of one gateway, which always lists itself."""
        listed = tuple(sorted({own_id, *names}))
        service.apply_members(Members(own_id, listed, listed))

    @property
    def settled(self) -> bool:
        """Tell whether every listed gateway has all the records of its keys."""
        return all(self.services[own_id].settled for own_id in self.listed)

    def joined(self, first: str, second: str) -> bool:
        """Tell whether two gateways can exchange messages."""
        up = first in self.meshes and second in self.meshes
        return up and (first in self.side) == (second in self.side)

    async def travel(self, mesh: FakeMesh, peer_id: str) -> None:
        """Take the time of one message; messages of a pair stay in order."""
        pair = (mesh.id, peer_id)
        at = self.loop.time() + self.random.uniform(0.0005, 0.004)
        at = max(at, self._last_arrival.get(pair, 0.0) + 1e-6)
        self._last_arrival[pair] = at
        await asyncio.sleep(at - self.loop.time())

    async def call(
        self, gateway: str, key: str, limit=1.0, body=b"", kind=WRITE, caller=None
    ):
        """Send one call through a gateway and return its answer or its error."""
        now = self.loop.time()
        call = Call(
            SERVICE,
            kind,
            caller=f"10.0.0.{gateway[1:]}",
            arrived=now,
            deadline=now + limit,
        )
        call.key = key
        headers = CIMultiDict({"X-Caller": caller} if caller else {})
        request = OutboundRequest(
            "POST", "/profiles", headers, RequestBody(body, None, 1 << 20)
        )
        try:
            return await self.forwarders[gateway].forward(call, request)
        except Exception as error:
            return error

    async def _keep_settled(self, service: Idempotency) -> None:
        while True:
            await service.join(60.0)
            await asyncio.sleep(0.1)
