"""Run the idempotency components of several gateways over a fake mesh."""

import asyncio
import inspect
import random
from collections import Counter

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
from dogwoodshed._internal.proxy.forwarder import OutboundRequest, UpstreamResponse
from tests.lib import builders

SERVICE = builders.configuration().services[0]
READ, WRITE = SERVICE.kinds[:2]


class FakeGateway:
    """Fake mesh and upstreams of one gateway."""

    def __init__(self, fleet, own_id, incarnation):
        self._fleet = fleet
        self.id, self.incarnation = own_id, incarnation
        self.handlers = {}
        self.running = True
        self.sent_messages = 0
        listed = tuple(sorted({own_id, *fleet.listed}))
        members = Members(own_id, listed, listed)
        self.keys = Idempotency(self, members, fleet.loop, Metrics(), incarnation)
        self.forwarder = self.keys.wrap(self)
        self.sync_task = fleet.loop.create_task(self._keep_synchronized())

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, peer_id, message):
        self._fleet.spawn(self._deliver(peer_id, message))

    async def request(self, peer_id, message, timeout):
        # A sent message arrives even if the sender has timed out.
        task = self._fleet.spawn(self._deliver(peer_id, message))
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if not done:
            raise PeerTimeoutError(peer_id)
        if task.result() is None:
            raise PeerUnavailableError(peer_id)
        return task.result()

    async def _deliver(self, peer_id, message):
        self.sent_messages += 1
        peer = await self._fleet.deliver_message(self, peer_id)
        if peer is None:
            return None
        reply = peer.handlers[type(message)](self.id, message)
        if inspect.isawaitable(reply):
            reply = await reply
        reply_arrives = reply is not None and await self._fleet.deliver_message(
            peer, self.id
        )
        return reply if reply_arrives else None

    async def forward(self, call, request):
        """Count a run of a call, which may fail before or after it runs."""
        fleet = self._fleet
        await asyncio.sleep(fleet.random.uniform(0, 0.05))
        chance = fleet.random.random()
        if not self.running or chance < fleet.unreachable_share:
            raise UpstreamUnreachableError("down")
        call.dispatched = True
        fleet.runs[call.key] += 1
        await asyncio.sleep(fleet.random.expovariate(10.0))
        if chance > 1 - fleet.lost_response_share:
            raise UpstreamDisconnectedError("cut")
        body = f"{call.key}/{fleet.runs[call.key]}".encode()
        return UpstreamResponse(None, 201, CIMultiDict({"X-Order": "7"}), body)

    async def _keep_synchronized(self):
        while True:
            await self.keys.wait_until_synchronized(60.0)
            await asyncio.sleep(0.1)


class KeyFleet:
    """Fleet of fake gateways that claim idempotency keys."""

    def __init__(self, loop, count, seed=1):
        self.loop = loop
        self.random = random.Random(seed)
        self.gateways = {}
        self.runs = Counter()
        # Gateways on one side of the partition.
        self.cut_off = set()
        # Shares of the calls that do not reach an upstream or lose its response.
        self.unreachable_share = self.lost_response_share = 0.0
        self._last_arrival = Counter()
        self._tasks = set()
        self.listed = tuple(f"g{number}" for number in range(count))
        for own_id in self.listed:
            self.start(own_id)

    @property
    def synchronized(self):
        """Return whether every listed gateway has all records of its keys."""
        return all(self.gateways[own_id].keys.synchronized for own_id in self.listed)

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self, own_id, incarnation=1):
        """Start a gateway, or restart it without its records."""
        self.kill(own_id)
        self.gateways[own_id] = FakeGateway(self, own_id, incarnation * 1_000_000)

    def kill(self, own_id):
        """Stop a gateway; its calls continue at the upstreams."""
        if own_id in self.gateways:
            gateway = self.gateways.pop(own_id)
            gateway.running = False
            gateway.sync_task.cancel()

    def set_listed(self, *names, spread=0.0):
        """Change the list of gateways, which each gateway receives at a random time."""
        self.listed = names
        for own_id, gateway in self.gateways.items():
            listed = tuple(sorted({own_id, *names}))
            delay = self.random.uniform(0, spread)
            members = Members(own_id, listed, listed)
            self.loop.call_later(delay, gateway.keys.apply_members, members)

    async def deliver_message(self, sender, peer_id):
        """Wait for the delay of one message; return the receiver if it arrives.

        Messages between two gateways stay in order.
        """
        pair = (sender.id, peer_id)
        arrival = self.loop.time() + self.random.uniform(0.0005, 0.004)
        arrival = self._last_arrival[pair] = max(
            arrival, self._last_arrival[pair] + 1e-6
        )
        await asyncio.sleep(arrival - self.loop.time())
        if sender.running and (sender.id in self.cut_off) == (peer_id in self.cut_off):
            return self.gateways.get(peer_id)
        await asyncio.sleep(self.random.uniform(0, 1))
        return None

    async def call(self, gateway, key, limit=1.0, body=b"", kind=WRITE, caller=None):
        """Send one call through a gateway; return its response or its error."""
        now, address = self.loop.time(), f"10.0.0.{gateway[1:]}"
        call = Call(SERVICE, kind, caller=address, arrived_at=now, deadline=now + limit)
        call.key = key
        headers = CIMultiDict({"X-Caller": caller} if caller else {})
        request_body = RequestBody(body, None, 1 << 20)
        request = OutboundRequest("POST", "/profiles", headers, request_body)
        try:
            return await self.gateways[gateway].forwarder.forward(call, request)
        except Exception as error:
            return error
