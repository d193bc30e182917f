"""Test the settings that the platform fills in."""

import re
import unittest
from pathlib import Path

from dogwoodshed._internal.configuration.document import parse_document
from dogwoodshed._internal.settings import Settings

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
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
# The users' time between the request to stop and the kill, and what a stop needs
# beside the linger and the bound on requests in flight.
GRACE_S = 6.0
SHUTDOWN_S = 1.0


class DeploySettingsTest(unittest.TestCase):
    def setUp(self):
        template = (ROOT / "deploy" / "settings.jsonc").read_text()
        text = re.sub(r"\{\{(.+?)\}\}", lambda match: FIELDS[match[1]], template)
        document = parse_document(text, "settings.jsonc")
        self.settings = Settings.from_value(document.value)

    def test_template_gives_valid_settings(self):
        """Guards against a template that no gateway can read."""
        self.assertEqual(self.settings.mesh.seeds, ("10.0.0.1:2",))
        self.assertLess(self.settings.capacity.hub_weight, 0.2)

    def test_planned_stop_ends_before_the_kill(self):
        """Guards against processes that are killed while they stop.

        Found by a hunt on corrib-gw: two processes outlived the grace time.
        """
        limits = self.settings.limits
        needed = limits.stop_linger_s + self.settings.stop_timeout_s + SHUTDOWN_S
        self.assertLess(needed, GRACE_S)
