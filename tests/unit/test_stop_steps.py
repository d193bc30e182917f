"""Test that a planned stop finishes its requests whatever fails beside them."""

import asyncio
import unittest

from dogwoodshed._internal.background import run_stop_steps
from dogwoodshed._internal.fleet_gateway import FleetGateway
from dogwoodshed._internal.gateway import Gateway
from tests.lib import mesh_fakes
from tests.lib.fleet_builders import CountingMetrics


class _Component:
    """A component of a gateway that records its calls and may fail in one of them."""

    in_flight = 1

    def __init__(self, calls, failing):
        self._calls = calls
        self._failing = failing

    def __getattr__(self, name):
        def call(*arguments):
            self._calls.append(name)
            if name == self._failing:
                raise RuntimeError(name)

        return call


class StopStepsTest(unittest.IsolatedAsyncioTestCase):
    async def stop(self, gateway_type, components, failing):
        """Run the stop of a gateway in which one step fails; return the steps."""
        gateway = gateway_type.__new__(gateway_type)
        calls = []
        gateway._settings = mesh_fakes.gateway_settings()
        gateway._metrics = CountingMetrics()
        gateway._metrics.flush = lambda: calls.append("flush")
        for name in components:
            setattr(gateway, name, _Component(calls, failing))
        await gateway.on_stop()
        self.assertEqual(gateway._metrics.counts["stop.unexpected_errors"], 1)
        return calls

    async def test_failing_step_of_a_fleet_gateway(self):
        """Guards against requests that are cut because an announcement failed."""
        for failing in ("announce_leaving", "linger", "stop_accepting", "close"):
            with self.subTest(failing=failing):
                calls = await self.stop(
                    FleetGateway, ("_server", "_overlay", "_pools"), failing
                )
                for step in ("linger", "stop_accepting", "drain", "close", "flush"):
                    self.assertIn(step, calls)

    async def test_failing_step_of_a_gateway(self):
        """Guards against the same in a gateway of the full mesh."""
        components = ("_server", "_mesh", "_idempotency", "_summaries", "_pools")
        for failing in ("stop_voting", "announce_leaving", "hand_over_records"):
            with self.subTest(failing=failing):
                calls = await self.stop(Gateway, components, failing)
                for step in (
                    "announce_leaving",
                    "stop_accepting",
                    "drain",
                    "hand_over_records",
                    "hand_over_open_minute",
                    "close",
                ):
                    self.assertIn(step, calls)

    async def test_cancelled_step(self):
        """Guards against a stop that cannot be cancelled."""
        steps = []

        async def cancelled():
            raise asyncio.CancelledError

        with self.assertRaises(asyncio.CancelledError):
            await run_stop_steps(CountingMetrics(), cancelled, lambda: steps.append(1))
        self.assertEqual(steps, [])
