"""Test that paths find their services."""

import random
import unittest

from dogwoodshed._internal.proxy.routes import Routes
from tests.lib import builders

PREFIXES = ("/", "/a", "/a/b", "/a/b/", "/ab", "/a//b", "/c/d/e")


class RoutesTest(unittest.TestCase):
    def test_agrees_with_a_search_of_all_services(self):
        """Guards against a lookup that is fast and finds another service."""
        source = random.Random(5)
        for _ in range(300):
            chosen = source.sample(PREFIXES, source.randint(1, len(PREFIXES)))
            configuration = builders.configuration(
                *(
                    builders.service_text(f"s{number}", path_prefix=prefix)
                    for number, prefix in enumerate(chosen)
                )
            )
            routes = Routes(configuration)
            for _ in range(50):
                parts = source.choices(("a", "b", "ab", "c", "d", "e", ""), k=4)
                path = "/" + "/".join(parts[: source.randint(0, 4)])
                found = routes.find_service(path)
                self.assertEqual(found, configuration.find_service(path), path)

    def test_finds_nothing_without_a_configuration(self):
        """Guards against a crash of the first call of a gateway."""
        self.assertIsNone(Routes(None).find_service("/a"))


if __name__ == "__main__":
    unittest.main()
