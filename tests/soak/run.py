"""Play one seed: random faults against real processes, judged from outside."""

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
# The users' bounds on drains, configurations and recovery, with the loopback's jitter.
DRAIN_BOUND_S = 2.0
CONFIGURATION_BOUND_S = 2.0
# A gateway counts as in touch when nothing disturbed it for this long.
CONTACT_S = 3.0
SERVED_AFTER_S = 15.0


class Ended(NamedTuple):
    """The end of one call as its caller saw it."""

    request_id: str
    unsafe: bool
    status: int
    at: float


class Soak:
    """One fleet, its callers and its faults."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = Deployment(GATEWAYS, zones=2)
        self._proxies: dict[str, LoopbackProxy] = {}
        self._ended: list[Ended] = []
        self._numbers = 0
        self._disturbed_at = [0.0] * GATEWAYS
        self._store_disturbed_at = 0.0
        self._left_at: dict[str, float] = {}
        self._busy: set[int] = set()
        self.violations: list[str] = []
        self.faults: list[str] = []

    async def run(self) -> None:
        """Play the seed and collect violations."""
        try:
            await self._fleet.start(0)
            for index in range(TARGETS):
                await self._add_target(f"i-{index}")
            await asyncio.sleep(1.0)
            callers = [asyncio.ensure_future(self._calls()) for _ in range(CALLERS)]
            ends = time.monotonic() + self._seconds
            while time.monotonic() < ends:
                await self._disturb()
                await asyncio.sleep(self._random.uniform(0.1, 0.9))
            await self._calm_down()
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

    async def _calls(self) -> None:
        while True:
            self._numbers += 1
            name = f"c{self._numbers}"
            unsafe = self._random.random() < 0.5
            try:
                reply = await self._fleet.call(
                    "/write/a" if unsafe else "/read/a",
                    method="POST" if unsafe else "GET",
                    request_id=name,
                    gateway=self._random.randrange(GATEWAYS),
                )
            except (OSError, aiohttp.ClientError, TimeoutError):
                status = 0
            else:
                status = reply.status
                if status == 200 and f" {name} ".encode() not in reply.body:
                    self.violations.append(f"{name}: the answer of another request")
            self._ended.append(Ended(name, unsafe, status, time.monotonic()))
            await asyncio.sleep(self._random.uniform(0.0, 0.03))

    async def _disturb(self) -> None:
        fault = self._random.choice(
            (
                self._signal_gateway,
                self._signal_gateway,
                self._disturb_proxy,
                self._disturb_proxy,
                self._disturb_store,
                self._disturb_target,
                self._replace_target,
                self._change_configuration,
            )
        )
        await fault()

    async def _signal_gateway(self) -> None:
        index = self._random.randrange(GATEWAYS)
        if index in self._busy:
            return
        kind = self._random.choice(("kill", "term", "freeze", "hup"))
        self.faults.append(f"{kind} g{index}")
        self._busy.add(index)
        asyncio.ensure_future(self._run_signal(index, kind)).add_done_callback(
            lambda _: self._busy.discard(index)
        )

    async def _run_signal(self, index: int, kind: str) -> None:
        gateway = self._fleet.gateways[index]
        self._disturbed_at[index] = time.monotonic() + 60
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
        self._disturbed_at[index] = time.monotonic()

    async def _disturb_proxy(self) -> None:
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

    async def _disturb_store(self) -> None:
        store = self._fleet.store
        mode = self._random.choice(("busy", "reset", "silent", "slow", "forget"))
        self.faults.append(f"{mode} store")
        self._store_disturbed_at = time.monotonic() + 1.5
        if mode == "forget":
            await store.forget_history()
            return
        loop = asyncio.get_running_loop()
        if mode == "slow":
            store.delay = 0.2
            loop.call_later(1.5, setattr, store, "delay", 0.0)
        else:
            store.mode = mode
            loop.call_later(1.5, setattr, store, "mode", "ok")

    async def _disturb_target(self) -> None:
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

    async def _replace_target(self) -> None:
        name = self._random.choice(sorted(self._fleet.targets))
        if name in self._left_at or len(self._left_at) >= 2:
            return
        draining = self._random.random() < 0.5
        self.faults.append(f"{'drain' if draining else 'remove'} {name}")
        self._left_at[name] = time.monotonic()
        if draining:
            await self._publish(name, state="draining")
        else:
            await self._fleet.store.delete(f"servers/{name}")

    async def _change_configuration(self) -> None:
        self.faults.append("configuration")
        extra = route(f"extra-{self._random.randrange(99)}", "/extra/")
        await self._fleet.configure(*ROUTES, extra)

    async def _calm_down(self) -> None:
        for proxy in self._proxies.values():
            proxy.mode = "pass"
        while self._busy:
            await asyncio.sleep(0.05)
        self._fleet.store.mode, self._fleet.store.delay = "ok", 0.0
        for gateway in self._fleet.gateways:
            try:
                await gateway.wait_ready()
            except StandInError as error:
                self.violations.append(str(error))
                return
        await asyncio.sleep(CONTACT_S)
        await self._fleet.configure(*ROUTES, route("last", "/last/"))
        published_at = time.monotonic()
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        for index in range(GATEWAYS):
            reply = await self._fleet.call("/last/a", gateway=index)
            if reply.status == 404:
                late = time.monotonic() - published_at
                self.violations.append(f"g{index}: old configuration after {late:.1f}s")

    async def _check_recovery(self) -> None:
        since = time.monotonic()
        await asyncio.sleep(2.0)
        recent = [ended.status for ended in self._ended if ended.at > since]
        if not recent or recent.count(200) < 0.9 * len(recent):
            self.violations.append(f"not recovered: {recent.count(200)}/{len(recent)}")
        for name in self._left_at:
            runs = self._fleet.targets[name].runs.values()
            if any(at > since for times in runs for at in times):
                self.violations.append(f"{name}: new work long after it left")

    def _check_calls(self) -> None:
        for ended in self._ended:
            runs = self._fleet.count_runs(ended.request_id)
            if ended.unsafe and runs > 1:
                self.violations.append(f"{ended.request_id}: ran {runs} times")
            if ended.unsafe and ended.status in (408, 421, 429, 503) and runs:
                self.violations.append(f"{ended.request_id}: {ended.status} but ran")
            if ended.status == 404:
                self.violations.append(f"{ended.request_id}: 404 for a known route")

    @property
    def summary(self) -> str:
        served = sum(1 for ended in self._ended if ended.status == 200)
        return f"{served}/{len(self._ended)} served, {len(self.faults)} faults"


async def play(seed: int, seconds: float) -> Soak:
    """Play one seed and return it."""
    soak = Soak(seed, seconds)
    await soak.run()
    return soak
