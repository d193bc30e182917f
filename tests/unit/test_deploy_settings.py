"""Test the settings template that the platform fills in."""

import re
import unittest
from pathlib import Path

from dogwoodshed._internal.configuration.document import parse_document
from dogwoodshed._internal.proxy.planned_stop import LAST_ANSWERS_S
from dogwoodshed._internal.settings import Settings

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE_VALUES = {
    "node": "front-a-1",
    "zone": "a",
    "listen.front": "10.0.0.1:1",
    "listen.control": "10.0.0.1:2",
    "listen.ready": "10.0.0.1:3",
    "seeds|json": '["10.0.0.1:2"]',
    "platform.address": "10.0.0.9:4",
    "heartbeat_ms": "1500",
    "ip": "10.0.0.1",
    "internal_ports.0": "7200",
    "limits.cpu_share": "0.43",
    "limits.link_mbps": "5.0",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_slack": "64",
    "bounds.budget_window_s": "10",
}
# Times that the users allow from SIGTERM to SIGKILL, on small and large deployments.
GRACE_PERIODS_S = (6.0, 10.0)
# Time that a stop needs in addition to the linger and the limit for requests in flight.
SHUTDOWN_S = 1.0
# Requests may arrive for this long after a SIGTERM. They are finished if they end by
# this share of the grace period.
LAST_ARRIVAL_S = 3.0
# Time for the last responses and the end of the process, which takes 0.02 s on an idle
# machine.
PROCESS_END_S = 0.7
FINISHED_SHARE = 5 / 6


class DeploySettingsTest(unittest.TestCase):
    def render(self, grace_period):
        """Return the settings of a deployment with a grace period."""
        values = {**TEMPLATE_VALUES, "bounds.grace_s": str(grace_period)}
        template = (ROOT / "deploy" / "settings.jsonc").read_text()
        text = re.sub(r"\{\{(.+?)\}\}", lambda match: values[match[1]], template)
        document = parse_document(text, "settings.jsonc")
        return Settings.from_value(document.value)

    def test_template_produces_valid_settings(self):
        """Guards against a template that gateways reject."""
        settings = self.render(6.0)
        self.assertEqual(settings.mesh.seeds, ("10.0.0.1:2",))
        self.assertLess(settings.capacity.hub_weight, 0.2)

    def test_planned_stop_ends_before_the_kill(self):
        """Guards against processes that are killed while they stop.

        On corrib-gw, two processes were still running after the grace period.
        """
        for grace_period in GRACE_PERIODS_S:
            settings = self.render(grace_period)
            drained_at = settings.limits.stop_linger_s + settings.drain_timeout_s
            self.assertLess(drained_at + SHUTDOWN_S, grace_period)

    def test_planned_stop_ends_requests_in_the_last_sixth(self):
        """Guards against ending requests too early, or not before the kill."""
        for grace_period in GRACE_PERIODS_S:
            settings = self.render(grace_period)
            drained_at = settings.limits.stop_linger_s + settings.drain_timeout_s
            ended_at = drained_at + LAST_ANSWERS_S
            self.assertGreater(ended_at, FINISHED_SHARE * grace_period)
            self.assertLess(ended_at + PROCESS_END_S, grace_period)

    def test_planned_stop_finishes_slow_requests(self):
        """Guards against requests cut off although the grace period allows more time.

        Calls of the large deployment may take 4 s; its grace period is 10 s.
        """
        settings = self.render(10.0)
        drained_at = settings.limits.stop_linger_s + settings.drain_timeout_s
        self.assertGreater(drained_at, LAST_ARRIVAL_S + 4.0)
        self.assertGreater(drained_at, FINISHED_SHARE * 10.0)
