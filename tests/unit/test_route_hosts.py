"""Test routes by host, prefix and weight."""

import unittest

from dogwoodshed._internal.proxy.routes import Routes
from tests.lib.fleet_builders import configuration, route


class HostRoutesTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a general route that takes the calls of a special one."""
        routes = Routes(configuration(route("/a/"), route("/a/b/"), route("/", "g")))
        self.assertEqual(routes.find_route("h", "/a/b/c").prefix, "/a/b/")
        self.assertEqual(routes.find_route("h", "/a/bc").prefix, "/a/")
        self.assertEqual(routes.find_route("g", "/a/b/c").prefix, "/")
        self.assertIsNone(routes.find_route("h", "/b/"))
        self.assertIsNone(routes.find_route("x", "/a/"))

    def test_shares_hold_after_a_few_calls(self):
        """Guards against a gateway with little traffic that misses the weights."""
        routes = Routes(configuration(route(profiles=90, other=10)))
        names = [routes.resolve("h", "GET", "/a/x").service.name for _ in range(20)]
        self.assertIn(names.count("other"), (1, 2, 3))

    def test_shares_go_on_over_a_new_configuration(self):
        """Guards against shares that start anew with each unrelated change."""
        split = route(profiles=75, other=25)
        routes, names = Routes(configuration(split)), []
        for prefix in "bcdefghi":
            names.append(routes.resolve("h", "GET", "/a/x").service.name)
            routes = Routes(configuration(split, route(f"/{prefix}/")), routes)
        self.assertEqual(names.count("other"), 2)
