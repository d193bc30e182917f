"""Test that issues of a text are found, each with its line and key."""

import json
import unittest

from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.exceptions import ConfigurationError, InvalidDocumentError
from tests.lib import builders


class SchemaTest(unittest.TestCase):
    def test_reports_every_fault_with_its_line(self):
        """Guards against a check that stops at the first fault or names no line."""
        service = builders.service_entry(depends_on=["missing"], slots_per_upstream=0)
        text = json.dumps(
            builders.configuration_document(service, colour="red"), indent=1
        )
        with self.assertRaises(InvalidDocumentError) as raised:
            load_configuration(text, 1, "text.jsonc")
        issues = {issue.key: issue for issue in raised.exception.issues}
        self.assertIn("services[0].slots_per_upstream", issues)
        self.assertIn("colour", issues)
        line = text.splitlines()[issues["colour"].line - 1]
        self.assertIn("colour", line)

    def test_reports_a_repeated_key_with_its_line(self):
        """Guards against a text of which only the last of two values is used."""
        text = json.dumps(builders.configuration_document(), indent=1)
        text = text.replace('"path_prefix"', '"name": "other",\n "path_prefix"', 1)
        with self.assertRaises(InvalidDocumentError) as raised:
            load_configuration(text, 1, "text.jsonc")
        issues = [f for f in raised.exception.issues if f.problem == "repeated key"]
        self.assertEqual([issue.key for issue in issues], ["services[0].name"])
        self.assertIn('"other"', text.splitlines()[issues[0].line - 1])

    def test_rejects_what_the_parser_cannot_hold(self):
        """Guards against a text that ends every gateway process at once."""
        for text in ("[" * 100_000, '{"a":' * 50_000, "1" * 5000):
            with self.assertRaises(ConfigurationError):
                load_configuration(text, 1, "text.jsonc")

    def test_finds_a_dependency_cycle(self):
        """Guards against a cycle that would make a report of causes endless."""
        first = builders.service_entry("first", depends_on=["second"])
        second = builders.service_entry("second", depends_on=["first"])
        with self.assertRaisesRegex(InvalidDocumentError, "cycle"):
            builders.configuration(first, second)


if __name__ == "__main__":
    unittest.main()
