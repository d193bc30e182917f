"""Run one seed: inject random faults into gateway processes and check invariants."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

import aiohttp

from dogwoodshed._internal.exceptions import StandInError
from tests.lib.deployment import CONFIGURATION_KEY, ROUTES, Deployment, route
from tests.soak.notices import AnswerFaults, Disturbance, SentCall
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
PROBE_INTERVAL_S = 0.25
# An entry whose target is silent is removed from a restored store after this time.
EXPIRY_S = 3.0


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
        # Callers also draw from the other generator, as often as timing permits. With
        # this one, a seed determines the order of the kinds of faults.
        self._schedule = random.Random(seed)
        # Whether the store is restored when the other faults have ended, and again when
        # the fleet has recovered.
        self._restores_at_end = self._schedule.random() < 0.5
        self._restores_after_end = self._schedule.random() < 0.5
        self._seconds = seconds
        self._fleet = Deployment(GATEWAYS, zones=2)
        self._answer_faults = AnswerFaults(seed, self._fleet.targets)
        self._proxies: dict[str, LoopbackProxy] = {}
        self._finished_calls: list[FinishedCall] = []
        self._call_count = 0
        self._gateway_fault_at = [0.0] * GATEWAYS
        # When the process of each gateway was started for the last time.
        self._restarted_at = [0.0] * GATEWAYS
        self._store_fault_at = 0.0
        self._traffic_started_at = 0.0
        self._removed_at: dict[str, float] = {}
        self._gateways_with_fault: set[int] = set()
        self._restore: asyncio.Task[None] | None = None
        # Entries of targets that have exited, which restores listed again.
        self._brought_back: set[str] = set()
        self._expiries: set[asyncio.Task[None]] = set()
        # The newest configuration adds a route for each one so far; the number of the
        # newest one that each process has served.
        self._configurations = 0
        self._served: dict[int, int] = {}
        self.violations: list[str] = []
        self.faults: list[str] = []

    async def run(self) -> None:
        """Run the seed and collect violations of the invariants."""
        try:
            await self._fleet.start(0)
            for index in range(TARGETS):
                await self._add_target(f"i-{index}")
            await asyncio.sleep(1.0)
            self._traffic_started_at = time.monotonic()
            callers = [
                asyncio.ensure_future(self._send_calls()) for _ in range(CALLERS)
            ]
            callers += [
                asyncio.ensure_future(self._probe_configuration(index))
                for index in range(GATEWAYS)
            ]
            answer_faults = asyncio.ensure_future(
                self._answer_faults.inject(set(self._fleet.targets))
            )
            deadline = time.monotonic() + self._seconds
            while time.monotonic() < deadline:
                await self._inject_fault()
                await asyncio.sleep(self._schedule.uniform(0.1, 0.9))
            answer_faults.cancel()
            for target in self._fleet.targets.values():
                target.refuse = False
            await self._end_faults()
            await self._check_recovery()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            self._check_calls()
            self.violations.extend(self._answer_faults.violations())
            self.faults.extend(self._answer_faults.faults)
        finally:
            for expiry in self._expiries:
                expiry.cancel()
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
        await self._fleet.write_target(
            name, address=self._proxies[name].address, **changes
        )

    async def _send_calls(self) -> None:
        while True:
            self._call_count += 1
            request_id = f"c{self._call_count}"
            unsafe = self._random.random() < 0.5
            gateway = self._random.randrange(GATEWAYS)
            sent_at = time.monotonic()
            try:
                response = await self._fleet.call(
                    "/write/a" if unsafe else "/read/a",
                    method="POST" if unsafe else "GET",
                    request_id=request_id,
                    gateway=gateway,
                )
            except (OSError, aiohttp.ClientError, TimeoutError):
                status = 0
            else:
                status = response.status
                if status == 200 and f" {request_id} ".encode() not in response.body:
                    self.violations.append(f"{request_id}: response to another request")
            finished_at = time.monotonic()
            self._finished_calls.append(
                FinishedCall(request_id, unsafe, status, finished_at)
            )
            self._answer_faults.calls[request_id] = SentCall(
                gateway, sent_at, finished_at, status
            )
            await asyncio.sleep(self._random.uniform(0.0, 0.03))

    async def _probe_configuration(self, index: int) -> None:
        """Check that a gateway never goes back to an older configuration."""
        gateway = self._fleet.gateways[index]
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            pid = gateway.process.pid
            for number in {self._served.get(pid, 0), self._configurations} - {0}:
                try:
                    response = await self._fleet.call(f"/v{number}/a", gateway=index)
                except (OSError, aiohttp.ClientError, TimeoutError):
                    continue
                if gateway.process.pid != pid:
                    continue
                if response.status != 404:
                    self._served[pid] = max(number, self._served.get(pid, 0))
                elif number <= self._served.get(pid, 0):
                    self.violations.append(
                        f"g{index}: went back to a configuration before {number}"
                    )

    async def _inject_fault(self) -> None:
        fault = self._schedule.choice(
            (
                self._disrupt_gateway,
                self._disrupt_gateway,
                self._disrupt_connections,
                self._disrupt_connections,
                self._disrupt_store,
                self._restore_store,
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
        started_at = time.monotonic()
        self._gateway_fault_at[index] = started_at + 60
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
            self._restarted_at[index] = time.monotonic()
        self._gateway_fault_at[index] = time.monotonic()
        if kind != "hup":
            self._excuse(index, started_at)

    def _excuse(self, subject: int | str, since: float) -> None:
        """Record that a gateway or a target's connections were disturbed until now."""
        self._answer_faults.disturbances.append(
            Disturbance(subject, since, time.monotonic())
        )

    async def _disrupt_connections(self) -> None:
        name, proxy = self._random.choice(sorted(self._proxies.items()))
        mode = self._random.choice(
            ("delay", "reset", "cut_answers", "silent", "reset_all", "mute_all")
        )
        self.faults.append(f"{mode} {name}")
        # All of them may hold up the answers to requests that were sent before.
        self._answer_faults.disturbances.append(
            Disturbance(name, time.monotonic() - 1.0, time.monotonic() + 3.0)
        )
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

    async def _restore_store(self) -> None:
        if self._restore is None or self._restore.done():
            self._restore = asyncio.ensure_future(self._run_restores())

    async def _run_restores(self, max_away_s: float = 2.0) -> None:
        """Restore the store from an old copy, at times twice, and write again."""
        rewrites = []
        while not rewrites or self._random.random() < 0.3:
            await asyncio.sleep(self._random.uniform(0.0, 1.5) if rewrites else 0.0)
            await self._bring_back_store(self._random.uniform(0.3, max_away_s))
            rewrites.append(asyncio.ensure_future(self._write_again()))
        await asyncio.gather(*rewrites)

    async def _bring_back_store(self, away_s: float) -> None:
        store = self._fleet.store
        # Each write of a target takes a revision, which will be given out again.
        for _ in range(self._random.randrange(30)):
            await self._fleet.write_again(self._random.choice(self._live_keys()))
        store.mode = self._random.choice(("busy", "reset", "silent"))
        await asyncio.sleep(away_s)
        age = self._random.uniform(2.0, 9.0)
        self.faults.append(f"restore store, {age:.1f} s old")
        copy = store.copy(min(age, time.monotonic() - self._traffic_started_at))
        await store.restore(copy, cut_watches=self._random.random() < 0.7)
        store.mode = "ok"
        # Targets that have exited are silent, so the platform removes their entries.
        silent = copy.items.keys() - self._live_keys()
        self._brought_back |= silent
        self._expiries.add(asyncio.ensure_future(self._expire(silent)))

    def _live_keys(self) -> list[str]:
        """Return the keys of the operator and of the targets that still run."""
        exited_before = time.monotonic() - DRAIN_BOUND_S
        exited = {
            f"servers/{name}"
            for name, at in self._removed_at.items()
            if at < exited_before
        }
        return [key for key in self._fleet.written_keys if key not in exited]

    async def _write_again(self) -> None:
        async def write(key: str, latest_s: float) -> None:
            await asyncio.sleep(self._random.uniform(0.0, latest_s))
            await self._fleet.write_again(key)

        await asyncio.gather(
            *(
                write(key, 1.0 if key == CONFIGURATION_KEY else 1.5)
                for key in self._live_keys()
            )
        )

    async def _expire(self, keys: set[str]) -> None:
        await asyncio.sleep(EXPIRY_S)
        for key in keys:
            await self._fleet.store.delete(key)

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
            await self._fleet.remove_target(name)

    async def _change_configuration(self) -> None:
        self.faults.append("configuration")
        extra = route(f"extra-{self._random.randrange(99)}", "/extra/")
        await self._configure(extra)

    async def _configure(self, *routes: dict[str, object]) -> None:
        self._configurations += 1
        numbers = range(1, self._configurations + 1)
        kept = (route(f"v{number}", f"/v{number}/") for number in numbers)
        await self._fleet.configure(*ROUTES, *routes, *kept)

    async def _end_faults(self) -> None:
        if self._restores_at_end:
            await self._restore_store()
        for proxy in self._proxies.values():
            proxy.mode = "pass"
        while self._gateways_with_fault:
            await asyncio.sleep(0.05)
        if self._restore is not None:
            await self._restore
        self._fleet.store.mode, self._fleet.store.delay = "ok", 0.0
        for gateway in self._fleet.gateways:
            try:
                await gateway.wait_ready()
            except StandInError as error:
                self.violations.append(str(error))
                return
        await asyncio.sleep(SETTLE_TIME_S)
        if self._configurations:
            settled_at = time.monotonic() - SETTLE_TIME_S
            await self._check_route(f"/v{self._configurations}/a", settled_at)
        await self._configure(route("last", "/last/"))
        published_at = time.monotonic()
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        await self._check_route("/last/a", published_at)

    async def _check_route(self, path: str, published_at: float) -> None:
        for index in range(GATEWAYS):
            response = await self._fleet.call(path, gateway=index)
            if response.status == 404:
                elapsed = time.monotonic() - published_at
                self.violations.append(
                    f"g{index}: old configuration after {elapsed:.1f}s (404 for {path})"
                )

    async def _check_recovery(self) -> None:
        since = time.monotonic()
        self._brought_back.clear()
        if self._restores_after_end:
            self._restore = asyncio.ensure_future(self._run_restores(max_away_s=0.5))
        await asyncio.sleep(2.0)
        if self._restore is not None:
            self._restore.cancel()
        recent = [
            call.status for call in self._finished_calls if call.finished_at > since
        ]
        if not recent or recent.count(200) < 0.9 * len(recent):
            self.violations.append(f"not recovered: {recent.count(200)}/{len(recent)}")
        for name, removed_at in self._removed_at.items():
            # If all gateways started since then, none may know that the target left.
            unknown = min(self._restarted_at) > removed_at
            if unknown and f"servers/{name}" in self._brought_back:
                continue
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
