"""Test the lookup of routes by host and prefix, and their weights."""

import unittest

from dogwoodshed._internal.proxy.routes import Routes
from tests.lib.fleet_builders import configuration, route


class HostRoutesTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a general route that is preferred to a more specific one."""
        routes = Routes(configuration(route("/a/"), route("/a/b/"), route("/", "g")))
        self.assertEqual(routes.find_route("h", "/a/b/c").prefix, "/a/b/")
        self.assertEqual(routes.find_route("h", "/a/bc").prefix, "/a/")
        self.assertEqual(routes.find_route("g", "/a/b/c").prefix, "/")
        self.assertIsNone(routes.find_route("h", "/b/"))
        self.assertIsNone(routes.find_route("x", "/a/"))

    def test_weights_hold_after_a_few_calls(self):
        """Guards against wrong proportions on a gateway with little traffic."""
        routes = Routes(configuration(route(profiles=90, other=10)))
        names = [routes.resolve("h", "GET", "/a/x").service.name for _ in range(20)]
        self.assertIn(names.count("other"), (1, 2, 3))

    def test_weights_persist_across_configurations(self):
        """Guards against a balancer that restarts with each unrelated change."""
        weighted = route(profiles=75, other=25)
        routes, names = Routes(configuration(weighted)), []
        for prefix in "bcdefghi":
            names.append(routes.resolve("h", "GET", "/a/x").service.name)
            routes = Routes(configuration(weighted, route(f"/{prefix}/")), routes)
        self.assertEqual(names.count("other"), 2)
