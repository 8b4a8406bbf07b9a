"""Tests of the policy bench: reproducible runs, and completed requests in every deployment."""

import unittest
from dataclasses import replace

from bamboo_bench.policy.deployments import DEPLOYMENTS, cycle_bays
from bamboo_bench.policy.policies import TODAY
from bamboo_bench.policy.scenarios import load_scenarios


class PolicyBenchTests(unittest.TestCase):
    def test_same_seed_gives_same_figures(self):
        scenario = load_scenarios()[1]
        short_scenario = replace(scenario, seconds=2.0)
        first_run, second_run = (short_scenario.simulate(cycle_bays(), TODAY, 7) for _ in range(2))
        self.assertGreater(len(first_run.ledger.requests), 100)
        self.assertEqual(first_run.ledger.requests, second_run.ledger.requests)

    def test_every_kind_completes_while_nothing_fails(self):
        scenario = load_scenarios()[1]
        for name, create in DEPLOYMENTS.items():
            with self.subTest(deployment=name):
                run = replace(scenario, seconds=3.0).simulate(create(), TODAY, 7)
                early_requests = [
                    request for request in run.ledger.requests if request.arrived_at < 1.0
                ]
                completed_kinds = {request.kind for request in early_requests if request.succeeded}
                self.assertEqual(len(completed_kinds), len(run.deployment.kinds))
