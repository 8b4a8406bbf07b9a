"""Decoding of the operator's configuration into routes."""

import unittest

from bamboojunction.core.routes import WeightedService
from bamboojunction.core.table.rows import Effect
from bamboojunction.platform.configuration import read_routes

PATH = {
    "name": "r-1",
    "path_prefix": "/a/",
    "kind": "non_idempotent",
    "timeout_ms": 1200,
    "goal_ms": 300,
    "priority": 2,
    "service": "billing",
    "attempts": 2,
}


def configuration(*paths: dict) -> dict:
    return {
        "version": 7,
        "vhosts": [{"host": "h.example", "paths": list(paths)}],
        "services": [{"name": "billing", "max_conns": 396}],
        "limits": {"max_body_bytes": 1000},
    }


class ConfigurationTests(unittest.TestCase):
    def test_route_is_decoded(self):
        routes = read_routes(configuration(PATH)).unwrap()
        self.assertEqual(routes.version, 7)
        self.assertEqual(routes.body_max_bytes, 1000)
        route = routes.find("h.example", "/a/b")
        self.assertEqual((route.timeout, route.goal_seconds, route.attempts), (1.2, 0.3, 2))
        self.assertEqual((route.row.rank, route.row.effect), (2, Effect.ONCE))
        self.assertEqual(route.weighted_services, (WeightedService("billing", 1.0),))

    def test_longest_prefix_of_the_host_is_selected(self):
        routes = read_routes(
            configuration(PATH, {**PATH, "name": "r-2", "path_prefix": "/a/b/"})
        ).unwrap()
        self.assertEqual(routes.find("h.example", "/a/b/c").row.kind, "r-2")
        self.assertEqual(routes.find("h.example", "/a/bc").row.kind, "r-1")
        self.assertIsNone(routes.find("other.example", "/a/b"))
        self.assertIsNone(routes.find("h.example", "/b/"))

    def test_split_is_decoded(self):
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        path = {name: value for name, value in PATH.items() if name != "service"} | {"split": split}
        route = read_routes(configuration(path)).unwrap().find("h.example", "/a/")
        self.assertEqual(
            route.weighted_services, (WeightedService("x", 90), WeightedService("y", 10))
        )

    def test_configuration_that_cannot_be_read_is_an_error(self):
        for value in ({}, {"version": 1}, configuration({**PATH, "kind": "sometimes"})):
            self.assertTrue(read_routes(value).is_err())
