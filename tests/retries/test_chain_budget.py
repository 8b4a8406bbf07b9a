"""A repeat pays for the calls of its run, and a node learns how many they are."""

import random
import unittest

from bamboojunction.core.retries.chain_budget import ChainRetryBudget
from bamboojunction.core.retries.chain_costs import KINDS_MAX, SERVICES_MAX, ChainCosts
from bamboojunction.core.retries.fleet_budget import FleetRetryBudget, RetryLimit

NO_LIMIT = RetryLimit(ratio=0.0, slack=0.0, window=10.0)


def budget_with(retries):
    budget = FleetRetryBudget(RetryLimit(retries / 0.6, 0.0, 10.0), 0.0, random.Random(1))
    budget.record_request(0.0)
    return budget


class ChainCostsTests(unittest.TestCase):
    def test_calls_at_any_depth_add_up(self):
        costs = ChainCosts()
        costs.record_run("payment-record", {"log": 4.0})
        calls = costs.calls_of_run([("payment-record", "payment"), ("payment-record", "payment")])
        self.assertEqual(calls, {"payment": 2.0, "log": 8.0})

    def test_mean_follows_runs_that_make_calls_at_times(self):
        costs = ChainCosts()
        for number in range(200):
            costs.record_run("search", {"booking": 1.0} if number % 4 == 0 else {})
        self.assertAlmostEqual(costs.calls("search")["booking"], 0.25, delta=0.1)

    def test_kinds_and_services_are_bounded(self):
        costs = ChainCosts()
        for number in range(KINDS_MAX + 1):
            costs.record_run(f"kind-{number}", {"log": 1.0})
        self.assertEqual(costs.calls("kind-0"), {})
        costs.record_run("wide", {f"service-{number}": number for number in range(100)})
        self.assertEqual(len(costs.calls("wide")), SERVICES_MAX)
        self.assertIn("service-99", costs.calls("wide"))


class ChainRetryBudgetTests(unittest.TestCase):
    def test_repeat_spends_at_each_service(self):
        budgets = {"search": budget_with(5), "log": budget_with(9)}
        chain_budget = ChainRetryBudget("search", {"log": 4.0}, budgets, random.Random(1))
        self.assertTrue(chain_budget.spend(0.0))
        self.assertEqual([budget.retries_left() for budget in budgets.values()], [4, 5])

    def test_service_without_retries_stops_the_repeats_above_it(self):
        budgets = {"search": budget_with(5), "log": FleetRetryBudget(NO_LIMIT, 0.0)}
        chain_budget = ChainRetryBudget("search", {"log": 4.0}, budgets, random.Random(1))
        self.assertFalse(chain_budget.spend(0.0))
        self.assertEqual(budgets["search"].retries_left(), 5)

    def test_nodes_with_a_part_of_the_cost_repeat_as_often_as_they_spend(self):
        rng = random.Random(1)
        arrivals = spent = 0
        for _ in range(4_000):
            budgets = {"search": budget_with(5), "log": budget_with(1)}
            if ChainRetryBudget("search", {"log": 4.0}, budgets, rng).spend(0.0):
                arrivals += 4
            spent += 1 - budgets["log"].retries_left()
        self.assertEqual(spent, 4_000)
        self.assertAlmostEqual(arrivals / spent, 1.0, delta=0.1)
