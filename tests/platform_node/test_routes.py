"""Traffic splits follow their weights, and an older configuration never replaces a newer one."""

import random
import unittest
from collections import Counter

from bamboojunction.core.routes import CurrentRoutes, Route, Routes, WeightedService
from bamboojunction.core.table.rows import Effect, Row


def split(**weights: float) -> Route:
    parts = tuple(WeightedService(service, weight) for service, weight in weights.items())
    return Route("h", "/a/", Row("k", 0, 1, Effect.IDEMPOTENT, 1000), 1.0, 0.5, parts)


class CurrentRoutesTests(unittest.TestCase):
    def test_parts_get_their_shares_at_one_node(self):
        current_routes = CurrentRoutes(random.Random(1))
        route = split(x=90, y=10)
        picked = Counter(current_routes.select_service(route) for _ in range(1_000))
        self.assertAlmostEqual(picked["y"] / 1_000, 0.1, delta=0.01)

    def test_parts_get_their_shares_over_many_nodes_with_few_requests(self):
        route = split(x=90, y=10)
        all_current_routes = [CurrentRoutes(random.Random(seed)) for seed in range(300)]
        picked = Counter(
            current_routes.select_service(route)
            for current_routes in all_current_routes
            for _ in range(2)
        )
        self.assertAlmostEqual(picked["y"] / 600, 0.1, delta=0.05)

    def test_older_version_is_not_taken(self):
        current_routes = CurrentRoutes()
        self.assertTrue(current_routes.replace_if_newer(Routes(version=5)))
        self.assertFalse(current_routes.replace_if_newer(Routes(version=4)))
        self.assertFalse(current_routes.replace_if_newer(Routes(version=5)))
        self.assertEqual(current_routes.routes.version, 5)
