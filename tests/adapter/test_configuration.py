"""Decoding of the operator's configuration into routes."""

import unittest

from bamboojunction.core.routes import Routes, WeightedService
from bamboojunction.core.table.rows import Effect
from bamboojunction.platform.configuration import decode_configuration

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


def routes_of(*paths: dict) -> Routes:
    return decode_configuration(configuration(*paths)).unwrap().routes


class ConfigurationTests(unittest.TestCase):
    def test_route_is_decoded(self):
        routes = decode_configuration(configuration(PATH)).unwrap().routes
        self.assertEqual(routes.version, 7)
        self.assertEqual(routes.body_max_bytes, 1000)
        route = routes.find("h.example", "/a/b")
        self.assertEqual((route.timeout, route.goal_seconds, route.attempts), (1.2, 0.3, 2))
        self.assertEqual((route.row.rank, route.row.effect), (2, Effect.ONCE))
        self.assertEqual(route.weighted_services, (WeightedService("billing", 1.0),))

    def test_longest_prefix_of_the_host_is_selected(self):
        routes = routes_of(PATH, {**PATH, "name": "r-2", "path_prefix": "/a/b/"})
        self.assertEqual(routes.find("h.example", "/a/b/c").row.kind, "r-2")
        self.assertEqual(routes.find("h.example", "/a/bc").row.kind, "r-1")
        self.assertIsNone(routes.find("other.example", "/a/b"))
        self.assertIsNone(routes.find("h.example", "/b/"))

    def test_split_is_decoded(self):
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        path = {name: value for name, value in PATH.items() if name != "service"} | {"split": split}
        route = routes_of(path).find("h.example", "/a/")
        self.assertEqual(
            route.weighted_services, (WeightedService("x", 90), WeightedService("y", 10))
        )

    def test_configuration_without_version_or_hosts_is_an_error(self):
        for value in ({}, {"version": 1}, {"version": "x", "vhosts": []}, None, [], {"vhosts": []}):
            self.assertTrue(decode_configuration(value).is_err(), value)

    def test_unknown_kind_may_run_once_and_is_reported(self):
        for kind in ("sometimes", None, 3, ["idempotent"]):
            decoded = decode_configuration(configuration({**PATH, "kind": kind}, PATH)).unwrap()
            route = decoded.routes.find("h.example", "/a/b")
            self.assertEqual(route.row.effect, Effect.ONCE)
            self.assertEqual(len(decoded.problems), 1)

    def test_uploads_may_run_once(self):
        decoded = decode_configuration(configuration({**PATH, "kind": "upload"})).unwrap()
        self.assertEqual(decoded.routes.find("h.example", "/a/b").row.effect, Effect.ONCE)
        self.assertEqual(decoded.problems, ())

    def test_unreadable_path_entry_affects_only_its_own_requests(self):
        unreadable = {**PATH, "name": "r-2", "path_prefix": "/a/b/", "timeout_ms": "soon"}
        decoded = decode_configuration(configuration(PATH, unreadable, 5)).unwrap()
        self.assertEqual(decoded.routes.find("h.example", "/a/x").row.kind, "r-1")
        # Its requests must not fall back to the shorter prefix, whose service may not run them.
        self.assertEqual(decoded.routes.find("h.example", "/a/b/x").weighted_services, ())
        self.assertEqual(len(decoded.problems), 2)

    def test_unreadable_host_or_limits_leave_the_rest_in_force(self):
        value = configuration(PATH)
        value["vhosts"] += [None, {"host": 3, "paths": []}, {"host": "g.example"}]
        value["limits"] = {"max_body_bytes": "large"}
        decoded = decode_configuration(value).unwrap()
        self.assertEqual(decoded.routes.find("h.example", "/a/").row.kind, "r-1")
        self.assertEqual(len(decoded.problems), 4)

    def test_figures_out_of_range_make_only_their_route_unusable(self):
        changes = (
            {"timeout_ms": 0},
            {"timeout_ms": 1e300},
            {"attempts": 0},
            {"priority": -1},
            {"service": ""},
            {"split": [{"service": "x", "weight": 0}]},
        )
        for change in changes:
            route = routes_of({**PATH, **change}).find("h.example", "/a/")
            self.assertEqual(route.weighted_services, (), change)
