"""Test that validation reports every error with its line and key."""

import json
import unittest

from dogwoodshed._internal.configuration.schema import load_configuration
from dogwoodshed._internal.exceptions import ConfigurationError, InvalidDocumentError
from tests.lib import builders


class SchemaTest(unittest.TestCase):
    def test_reports_every_error_with_its_line(self):
        """Guards against validation that stops at the first error or omits lines."""
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
        """Guards against silently using only the last value of a repeated key."""
        text = json.dumps(builders.configuration_document(), indent=1)
        text = text.replace('"path_prefix"', '"name": "other",\n "path_prefix"', 1)
        with self.assertRaises(InvalidDocumentError) as raised:
            load_configuration(text, 1, "text.jsonc")
        issues = [i for i in raised.exception.issues if i.problem == "repeated key"]
        self.assertEqual([issue.key for issue in issues], ["services[0].name"])
        self.assertIn('"other"', text.splitlines()[issues[0].line - 1])

    def test_rejects_documents_beyond_the_limits_of_the_parser(self):
        """Guards against a document that crashes every gateway."""
        for text in ("[" * 100_000, '{"a":' * 50_000, "1" * 5000):
            with self.assertRaises(ConfigurationError):
                load_configuration(text, 1, "text.jsonc")

    def test_rejects_a_dependency_cycle(self):
        """Guards against endless loops when the report follows dependencies."""
        first = builders.service_entry("first", depends_on=["second"])
        second = builders.service_entry("second", depends_on=["first"])
        with self.assertRaisesRegex(InvalidDocumentError, "cycle"):
            builders.configuration(first, second)


if __name__ == "__main__":
    unittest.main()
