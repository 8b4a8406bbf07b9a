"""Model checking of the at-most-once protocol, with and without seeded faults.

No reachable state may run a key twice or report a key that ran as not run, and the search must
find the violation in every protocol with a seeded fault.
"""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboo_bench.once.model import FaultBudget, Violation
from bamboo_bench.once.scenarios import faulty_scenarios, scenarios, with_small_budget
from bamboo_bench.once.search import search_states, walk

STATES_MAX = 1_500
FAULTY_STATES_MAX = 5_000
WALKS_MAX = 2_000
STEPS_PER_WALK = 60
SEED = 1
CHOICES = st.lists(st.integers(0, 2**16), min_size=10, max_size=60)


class SearchTests(unittest.TestCase):
    def test_no_interleaving_runs_twice_or_refuses_falsely(self):
        for scenario in scenarios():
            with self.subTest(scenario=scenario.name):
                result = search_states(with_small_budget(scenario).build(), STATES_MAX)
                print(f"{scenario.name}: {result.states} states, {result.steps} steps")
                self.assertEqual(result.violation, "", result.trace)

    def test_search_reaches_every_kind_of_outcome(self):
        result = search_states(with_small_budget(scenarios()[0]).build(), 4 * STATES_MAX)
        for outcome in ("Ran", "NotRun", "Unknown"):
            for source in ("home", "gates"):
                self.assertIn(f"{outcome} told by {source}", result.outcome_labels)

    def test_sealing_never_refuses_when_the_set_of_gates_is_incomplete(self):
        scenario = next(entry for entry in scenarios() if entry.complete_gates is None)
        result = search_states(with_small_budget(scenario).build(), STATES_MAX)
        self.assertIn("Unknown told by gates", result.outcome_labels)
        self.assertNotIn("NotRun told by gates", result.outcome_labels)

    def test_every_seeded_fault_is_found(self):
        for scenario in faulty_scenarios():
            with self.subTest(broken=scenario.name):
                result = search_states(scenario.build(), FAULTY_STATES_MAX)
                print(f"{scenario.name}: found after {result.states} states")
                self.assertTrue(result.violation)

    def test_random_walks_with_full_budgets_find_every_seeded_fault(self):
        for scenario in faulty_scenarios():
            with self.subTest(broken=scenario.name):
                self.assertLess(self.walks_to_violation(scenario), WALKS_MAX)

    def walks_to_violation(self, scenario):
        rng = random.Random(SEED)
        for number in range(WALKS_MAX):
            choices = [rng.randrange(2**16) for _ in range(STEPS_PER_WALK)]
            try:
                walk(replace(scenario, fault_budget=FaultBudget()).build(), choices)
            except Violation:
                return number
        return WALKS_MAX

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(index=st.integers(0, len(scenarios()) - 1), choices=CHOICES)
    def test_long_walks_with_full_budgets_keep_the_promise(self, index, choices):
        walk(scenarios()[index].build(), choices)
