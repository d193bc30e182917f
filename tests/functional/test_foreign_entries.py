"""Test entries of other writers among those of the targets."""

import asyncio
import itertools
import signal
import time
import unittest

from tests.lib.deployment import Deployment, route
from tests.lib.fleet_builders import target_value

TIMEOUT_S = 60.0
GATEWAYS = 9
# Time that a request spends at its target, and that it is there before SIGTERM.
SERVICE_TIME_S = 1.3
REQUESTS = 6
BEFORE_ENTRY_S = 0.15
# The entry is still queued for some of the peers.
BEFORE_STOP_S = 0.05
# Writers renew their entries as targets do; a field beside the sequence changes.
HEARTBEAT_S = 1.5
FOREIGN_ENTRIES = 5
CHANGES = 3
# The users require that a configuration is in effect within this time after the store
# has returned it.
CONFIGURATION_BOUND_S = 2.0
ASK_INTERVAL_S = 0.1
BETWEEN_CHANGES_S = 2.5
# The service name ends in half of a surrogate pair, which UTF-8 cannot encode.
UNENCODABLE = target_value(service="ballroom-\ud83d", address="127.0.0.1:9")
NESTED = b"[" * 50_000 + b"]" * 50_000
ODD_ENTRIES = (
    UNENCODABLE,
    target_value(address="127.0.0.1:70000"),
    target_value(address="127.0.0.1:0"),
    target_value(address="300.0.0.1:80"),
    target_value(address="127.0.0.1:\u0668\u0660"),
    target_value(address="127.0.0.1:9\n"),
    target_value(slots=10**30),
    target_value(slots=0),
    target_value(cold_left_ms=10**30, born=10**30, address="127.0.0.1:0"),
    target_value(service=["profiles"], zone={}),
    target_value(state=["ready"]),
    target_value(zone="z" * 100_000, address="127.0.0.1:0"),
    NESTED,
    b'{"service": ' + NESTED + b"}",
    b'{"slots": 1' + b"0" * 5000 + b"}",
    b"\xff\xfe",
    b"",
    b"null",
)
MAX_LOG_BYTES = 100_000
ROUTES = (
    route("read", "/read/"),
    route("write", "/write/", route_type="unsafe", timeout_ms=2500, slo_ms=2000),
)


def state_log_size(gateway):
    """Return the bytes that a gateway has logged, without the lines of calls."""
    lines = gateway.log.splitlines()
    return sum(len(line) for line in lines if '"event":"call"' not in line)


class ForeignEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Deployment(GATEWAYS, zones=3)
        self.fleet.stop_grace_s = 6.0
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(3, ROUTES, slots=8)
        except BaseException:
            await self.fleet.stop()
            raise

    async def asyncTearDown(self):
        await self.fleet.stop()

    def reader(self):
        """Return the index of a gateway whose watch waits at the store."""
        waiting = self.fleet.store.waiting_addresses
        return next(
            index
            for index, gateway in enumerate(self.fleet.gateways)
            if gateway.store_address in waiting
        )

    async def test_stop_just_after_an_entry_that_cannot_be_encoded(self):
        """Guards against a planned stop that an error ends before its requests."""
        for target in self.fleet.targets.values():
            target.service_time_s = SERVICE_TIME_S
        await asyncio.sleep(1.0)
        index = self.reader()
        requests = [
            asyncio.create_task(
                self.fleet.call(
                    "/write/a",
                    method="POST",
                    request_id=f"w{number}",
                    gateway=index,
                    deadline_ms=2500,
                )
            )
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(BEFORE_ENTRY_S)
        await self.fleet.store.put("servers/i-foreign", UNENCODABLE)
        await asyncio.sleep(BEFORE_STOP_S)
        self.fleet.gateways[index].send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            responses = await asyncio.gather(*requests, return_exceptions=True)
        outcomes = [getattr(response, "status", response) for response in responses]
        self.assertEqual(outcomes, [200] * REQUESTS)

    async def renew(self, entry):
        """Write copies of an entry in turn, each once in a heartbeat."""
        for sequence in itertools.count(1):
            renewed = {**entry, "sequence": sequence, "cold_left_ms": 90_000 - sequence}
            key = f"servers/i-foreign-{sequence % FOREIGN_ENTRIES}"
            await self.fleet.store.put(key, renewed)
            await asyncio.sleep(HEARTBEAT_S / FOREIGN_ENTRIES)

    async def served_after(self, gateway, path):
        """Return after how many seconds a gateway serves a route, up to the bound."""
        started_at = time.monotonic()
        while True:
            elapsed = time.monotonic() - started_at
            response = await self.fleet.call(path, gateway=gateway)
            if response.status == 200 or elapsed > CONFIGURATION_BOUND_S:
                return elapsed
            await asyncio.sleep(ASK_INTERVAL_S)

    async def test_added_route_beside_an_entry_that_cannot_be_encoded(self):
        """Guards against an entry that keeps configurations from other gateways."""
        writer = asyncio.create_task(self.renew(UNENCODABLE))
        try:
            await asyncio.sleep(3.5)
            routes = list(ROUTES)
            for number in range(CHANGES):
                routes.append(route(f"new{number}", f"/new{number}/"))
                await self.fleet.configure(*routes)
                async with asyncio.timeout(TIMEOUT_S):
                    elapsed = await asyncio.gather(
                        *(
                            self.served_after(index, f"/new{number}/a")
                            for index in range(GATEWAYS)
                        )
                    )
                with self.subTest(change=number):
                    self.assertLess(max(elapsed), CONFIGURATION_BOUND_S, elapsed)
                await asyncio.sleep(BETWEEN_CHANGES_S)
        finally:
            writer.cancel()
        errors = [gateway.log.count("Error: ") for gateway in self.fleet.gateways]
        self.assertEqual(errors, [0] * GATEWAYS)

    async def write_odd_entries(self):
        """Write all odd entries at each heartbeat."""
        for sequence in itertools.count(1):
            for number, value in enumerate(ODD_ENTRIES):
                if isinstance(value, dict):
                    value = {**value, "sequence": sequence, "version": f"v{sequence}"}
                await self.fleet.store.put(f"servers/i-odd-{number}", value)
            await self.fleet.store.put("servers/i-odd-\ud83d \r\n", target_value())
            await asyncio.sleep(HEARTBEAT_S)

    async def test_odd_entries(self):
        """Guards against entries that end gateways, or end their reading of others."""
        log_sizes = [state_log_size(gateway) for gateway in self.fleet.gateways]
        writer = asyncio.create_task(self.write_odd_entries())
        try:
            await asyncio.sleep(3.5)
            await self.fleet.add_target("i-new")
            new_route = route("new", "/new/")
            await self.fleet.configure(*ROUTES, new_route)
            async with asyncio.timeout(TIMEOUT_S):
                elapsed = await asyncio.gather(
                    *(self.served_after(g, "/new/a") for g in range(GATEWAYS))
                )
                self.assertLess(max(elapsed), CONFIGURATION_BOUND_S, elapsed)
                while not self.fleet.targets["i-new"].runs:
                    # More than the other targets have slots, so that each is used.
                    await asyncio.gather(
                        *(self.fleet.call(request_id=f"n{n}") for n in range(40))
                    )
            # Two more rounds of writes.
            await asyncio.sleep(2 * HEARTBEAT_S)
        finally:
            writer.cancel()
        for gateway, size in zip(self.fleet.gateways, log_sizes, strict=True):
            self.assertIsNone(gateway.process.returncode)
            self.assertNotIn("Traceback", gateway.log)
            self.assertLess(state_log_size(gateway) - size, MAX_LOG_BYTES)
