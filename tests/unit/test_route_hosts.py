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

    def destination(self, path, host="h"):
        """Resolve a path among a general unsafe route and a safe one below it."""
        unsafe = route("/orders/")
        unsafe = unsafe._replace(kind=unsafe.kind._replace(idempotent=False))
        routes = Routes(configuration(unsafe, route("/orders/drafts/")))
        return routes.resolve(host, "POST", path)

    def test_route_of_an_encoded_path(self):
        """Guards against a request that is repeated because of its decoded path."""
        for path, idempotent in (
            ("/orders/17", False),
            ("/orders/drafts/17", True),
            ("/orders/drafts%2F17", False),
            ("/orders/drafts%2f17", False),
            ("/orders%2Fdrafts/17", None),
            ("/orders/%64rafts/17", False),
            ("/orders/drafts/../17", False),
            ("/orders/drafts/%2E%2E/17", False),
            ("/orders/drafts/%2e./17", False),
            ("/orders/drafts/..%2F17", False),
            ("/orders/drafts//17", True),
            ("/orders//drafts/17", False),
            ("/orders/drafts/./17", True),
            ("/orders/drafts/a%20b", True),
            ("/orders/drafts/%ff%00", True),
            ("/orders/drafts/%2e%2e/%2e%2e/x", True),
        ):
            with self.subTest(path=path):
                found = self.destination(path)
                known = None if found is None else found.kind.idempotent
                self.assertEqual(known, idempotent)

    def test_host_with_a_port(self):
        """Guards against 404 for a host that is written in another way."""
        for host in ("h:8080", "H", "h:"):
            self.assertIsNotNone(self.destination("/orders/1", host), host)
        self.assertIsNone(self.destination("/orders/1", "h:8080.example"))
