"""Run one seed: inject random faults into gateway processes and check invariants."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

import aiohttp

from dogwoodshed._internal.exceptions import StandInError
from tests.lib.deployment import ROUTES, Deployment, route
from tests.soak.proxy import LoopbackProxy

GATEWAYS = 4
TARGETS = 5
CALLERS = 8
# Time limits that the users set on drains, configurations and recovery, plus the jitter
# of the loopback interface.
DRAIN_BOUND_S = 2.0
CONFIGURATION_BOUND_S = 2.0
# All gateways must be connected again if no fault was active for this time.
SETTLE_TIME_S = 3.0
SERVED_AFTER_S = 15.0


class FinishedCall(NamedTuple):
    """The result of a call as its caller saw it."""

    request_id: str
    unsafe: bool
    status: int
    finished_at: float


class Soak:
    """A fleet with its callers and its injected faults."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = Deployment(GATEWAYS, zones=2)
        self._proxies: dict[str, LoopbackProxy] = {}
        self._finished_calls: list[FinishedCall] = []
        self._call_count = 0
        self._gateway_fault_at = [0.0] * GATEWAYS
        self._store_fault_at = 0.0
        self._removed_at: dict[str, float] = {}
        self._gateways_with_fault: set[int] = set()
        self.violations: list[str] = []
        self.faults: list[str] = []

    async def run(self) -> None:
        """Run the seed and collect violations of the invariants."""
        try:
            await self._fleet.start(0)
            for index in range(TARGETS):
                await self._add_target(f"i-{index}")
            await asyncio.sleep(1.0)
            callers = [
                asyncio.ensure_future(self._send_calls()) for _ in range(CALLERS)
            ]
            deadline = time.monotonic() + self._seconds
            while time.monotonic() < deadline:
                await self._inject_fault()
                await asyncio.sleep(self._random.uniform(0.1, 0.9))
            await self._end_faults()
            await self._check_recovery()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            self._check_calls()
        finally:
            for proxy in self._proxies.values():
                await proxy.stop()
            await self._fleet.stop()

    async def _add_target(self, name: str) -> None:
        target = await self._fleet.add_target(name)
        proxy = LoopbackProxy(target.address)
        await proxy.start()
        self._proxies[name] = proxy
        await self._publish(name)

    async def _publish(self, name: str, **changes: object) -> None:
        entry = self._fleet.targets[name].entry(
            address=self._proxies[name].address, **changes
        )
        await self._fleet.store.put(f"servers/{name}", entry)

    async def _send_calls(self) -> None:
        while True:
            self._call_count += 1
            request_id = f"c{self._call_count}"
            unsafe = self._random.random() < 0.5
            try:
                response = await self._fleet.call(
                    "/write/a" if unsafe else "/read/a",
                    method="POST" if unsafe else "GET",
                    request_id=request_id,
                    gateway=self._random.randrange(GATEWAYS),
                )
            except (OSError, aiohttp.ClientError, TimeoutError):
                status = 0
            else:
                status = response.status
                if status == 200 and f" {request_id} ".encode() not in response.body:
                    self.violations.append(f"{request_id}: response to another request")
            self._finished_calls.append(
                FinishedCall(request_id, unsafe, status, time.monotonic())
            )
            await asyncio.sleep(self._random.uniform(0.0, 0.03))

    async def _inject_fault(self) -> None:
        fault = self._random.choice(
            (
                self._disrupt_gateway,
                self._disrupt_gateway,
                self._disrupt_connections,
                self._disrupt_connections,
                self._disrupt_store,
                self._disrupt_target,
                self._take_out_target,
                self._change_configuration,
            )
        )
        await fault()

    async def _disrupt_gateway(self) -> None:
        index = self._random.randrange(GATEWAYS)
        if index in self._gateways_with_fault:
            return
        kind = self._random.choice(("kill", "term", "freeze", "hup"))
        self.faults.append(f"{kind} g{index}")
        self._gateways_with_fault.add(index)
        asyncio.ensure_future(self._run_gateway_fault(index, kind)).add_done_callback(
            lambda _: self._gateways_with_fault.discard(index)
        )

    async def _run_gateway_fault(self, index: int, kind: str) -> None:
        gateway = self._fleet.gateways[index]
        self._gateway_fault_at[index] = time.monotonic() + 60
        if kind == "hup":
            gateway.send_signal(signal.SIGHUP)
        elif kind == "freeze":
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            gateway.send_signal(signal.SIGCONT)
        else:
            number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            await gateway.stop(number)
            await gateway.start()
        self._gateway_fault_at[index] = time.monotonic()

    async def _disrupt_connections(self) -> None:
        name, proxy = self._random.choice(sorted(self._proxies.items()))
        mode = self._random.choice(
            ("delay", "reset", "cut_answers", "silent", "reset_all", "mute_all")
        )
        self.faults.append(f"{mode} {name}")
        if mode == "reset_all":
            proxy.reset_all()
        elif mode == "mute_all":
            proxy.mute_all()
        else:
            proxy.mode = mode
            delay = self._random.uniform(0.2, 1.5)
            asyncio.get_running_loop().call_later(delay, setattr, proxy, "mode", "pass")

    async def _disrupt_store(self) -> None:
        store = self._fleet.store
        mode = self._random.choice(("busy", "reset", "silent", "slow", "forget"))
        self.faults.append(f"{mode} store")
        self._store_fault_at = time.monotonic() + 1.5
        if mode == "forget":
            await store.compact_history()
            return
        loop = asyncio.get_running_loop()
        if mode == "slow":
            store.delay = 0.2
            loop.call_later(1.5, setattr, store, "delay", 0.0)
        else:
            store.mode = mode
            loop.call_later(1.5, setattr, store, "mode", "ok")

    async def _disrupt_target(self) -> None:
        name = self._random.choice(sorted(self._fleet.targets))
        target = self._fleet.targets[name]
        kind = self._random.choice(("lose", "double", "unproven", "refuse", "slow"))
        self.faults.append(f"{kind} {name}")
        loop = asyncio.get_running_loop()
        if kind == "refuse":
            target.refuse = True
            loop.call_later(0.5, setattr, target, "refuse", False)
        elif kind == "slow":
            target.service_time_s = 0.3
            loop.call_later(1.0, setattr, target, "service_time_s", 0.02)
        else:
            setattr(target, kind, 5)

    async def _take_out_target(self) -> None:
        name = self._random.choice(sorted(self._fleet.targets))
        if name in self._removed_at or len(self._removed_at) >= 2:
            return
        draining = self._random.random() < 0.5
        self.faults.append(f"{'drain' if draining else 'remove'} {name}")
        self._removed_at[name] = time.monotonic()
        if draining:
            await self._publish(name, state="draining")
        else:
            await self._fleet.store.delete(f"servers/{name}")

    async def _change_configuration(self) -> None:
        self.faults.append("configuration")
        extra = route(f"extra-{self._random.randrange(99)}", "/extra/")
        await self._fleet.configure(*ROUTES, extra)

    async def _end_faults(self) -> None:
        for proxy in self._proxies.values():
            proxy.mode = "pass"
        while self._gateways_with_fault:
            await asyncio.sleep(0.05)
        self._fleet.store.mode, self._fleet.store.delay = "ok", 0.0
        for gateway in self._fleet.gateways:
            try:
                await gateway.wait_ready()
            except StandInError as error:
                self.violations.append(str(error))
                return
        await asyncio.sleep(SETTLE_TIME_S)
        await self._fleet.configure(*ROUTES, route("last", "/last/"))
        published_at = time.monotonic()
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        for index in range(GATEWAYS):
            response = await self._fleet.call("/last/a", gateway=index)
            if response.status == 404:
                elapsed = time.monotonic() - published_at
                self.violations.append(
                    f"g{index}: old configuration after {elapsed:.1f}s"
                )

    async def _check_recovery(self) -> None:
        since = time.monotonic()
        await asyncio.sleep(2.0)
        recent = [
            call.status for call in self._finished_calls if call.finished_at > since
        ]
        if not recent or recent.count(200) < 0.9 * len(recent):
            self.violations.append(f"not recovered: {recent.count(200)}/{len(recent)}")
        for name in self._removed_at:
            runs = self._fleet.targets[name].runs.values()
            if any(at > since for times in runs for at in times):
                self.violations.append(
                    f"{name}: still ran requests after it was removed"
                )

    def _check_calls(self) -> None:
        for call in self._finished_calls:
            runs = self._fleet.count_runs(call.request_id)
            if call.unsafe and runs > 1:
                self.violations.append(f"{call.request_id}: ran {runs} times")
            if call.unsafe and call.status in (408, 421, 429, 503) and runs:
                self.violations.append(
                    f"{call.request_id}: status {call.status} although it ran"
                )
            if call.status == 404:
                self.violations.append(f"{call.request_id}: 404 for a known route")

    @property
    def summary(self) -> str:
        served = sum(1 for call in self._finished_calls if call.status == 200)
        return f"{served}/{len(self._finished_calls)} served, {len(self.faults)} faults"


async def run_seed(seed: int, seconds: float) -> Soak:
    """Run one seed and return the finished soak."""
    soak = Soak(seed, seconds)
    await soak.run()
    return soak
