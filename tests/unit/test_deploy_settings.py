"""Test the settings template that the platform fills in."""

import re
import unittest
from pathlib import Path

from dogwoodshed._internal.configuration.document import parse_document
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
    "ip": "10.0.0.1",
    "internal_ports.0": "7200",
    "limits.cpu_share": "0.43",
    "limits.link_mbps": "5.0",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_slack": "64",
    "bounds.budget_window_s": "10",
}
# Time that the users allow from SIGTERM to SIGKILL.
GRACE_PERIOD_S = 6.0
# Time that a stop needs in addition to the linger and the limit for requests in flight.
SHUTDOWN_S = 1.0


class DeploySettingsTest(unittest.TestCase):
    def setUp(self):
        template = (ROOT / "deploy" / "settings.jsonc").read_text()
        text = re.sub(
            r"\{\{(.+?)\}\}", lambda match: TEMPLATE_VALUES[match[1]], template
        )
        document = parse_document(text, "settings.jsonc")
        self.settings = Settings.from_value(document.value)

    def test_template_produces_valid_settings(self):
        """Guards against a template that gateways reject."""
        self.assertEqual(self.settings.mesh.seeds, ("10.0.0.1:2",))
        self.assertLess(self.settings.capacity.hub_weight, 0.2)

    def test_planned_stop_ends_before_the_kill(self):
        """Guards against processes that are killed while they stop.

        On corrib-gw, two processes were still running after the grace period.
        """
        limits = self.settings.limits
        needed = limits.stop_linger_s + self.settings.stop_timeout_s + SHUTDOWN_S
        self.assertLess(needed, GRACE_PERIOD_S)
