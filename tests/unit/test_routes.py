"""Test the lookup of services by path."""

import random
import unittest

from dogwoodshed._internal.proxy.routes import Routes
from tests.lib import builders

PREFIXES = ("/", "/a", "/a/b", "/a/b/", "/ab", "/a//b", "/c/d/e")


class RoutesTest(unittest.TestCase):
    def test_agrees_with_a_search_of_all_services(self):
        """Guards against a fast lookup that finds the wrong service."""
        rng = random.Random(5)
        for _ in range(300):
            prefixes = rng.sample(PREFIXES, rng.randint(1, len(PREFIXES)))
            configuration = builders.configuration(
                *(
                    builders.service_entry(f"s{number}", path_prefix=prefix)
                    for number, prefix in enumerate(prefixes)
                )
            )
            routes = Routes(configuration)
            for _ in range(50):
                parts = rng.choices(("a", "b", "ab", "c", "d", "e", ""), k=4)
                path = "/" + "/".join(parts[: rng.randint(0, 4)])
                found = routes.find_service(path)
                self.assertEqual(found, configuration.find_service(path), path)

    def test_finds_nothing_without_a_configuration(self):
        """Guards against a failure of the first call after a start."""
        self.assertIsNone(Routes(None).find_service("/a"))


if __name__ == "__main__":
    unittest.main()
