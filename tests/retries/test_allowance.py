"""The retries of an action never exceed its allowance, however deep its call chain is."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboojunction.core.retries.allowance import AllowancePool, initial_allowance
from bamboojunction.core.table.rows import Effect, Row

DEPTH = 11


def row(retries: int) -> Row:
    return Row("read", 1, 1, Effect.IDEMPOTENT, 1000, retries=retries)


class InitialAllowanceTests(unittest.TestCase):
    def test_callers_may_lower_the_allowance_only(self):
        self.assertEqual(
            [3, 1, 3, 0], [initial_allowance(row(3), asked) for asked in (None, 1, 9, -4)]
        )


class PoolTests(unittest.TestCase):
    def test_the_deepest_call_of_a_chain_is_lent_a_retry(self):
        allowance = 2
        for _ in range(DEPTH):
            allowance = AllowancePool(allowance).lend()
        self.assertEqual(1, allowance)

    def test_a_child_cannot_hand_back_more_than_it_was_lent(self):
        pool = AllowancePool(4)
        first, second = pool.lend(), pool.lend()
        pool.give_back(99, first)
        pool.give_back(-5, second)
        self.assertEqual(3, pool.left)

    @given(st.integers(0, 9), st.lists(st.one_of(st.none(), st.integers(-3, 12)), max_size=30))
    @settings(derandomize=True)
    def test_left_and_lent_never_exceed_the_start(self, start, steps):
        pool = AllowancePool(start)
        lent: list[int] = []
        for step in steps:
            if step is None or not lent:
                lent.append(pool.lend())
            else:
                pool.give_back(step, lent.pop())
            self.assertLessEqual(pool.left + sum(lent), start)
            self.assertGreaterEqual(pool.left, 0)


class Chain:
    """A chain of calls of one action, in which each attempt ends as the script says.

    A script entry of 1 makes the attempt fail, 2 loses its answer, and 0 lets it succeed.
    """

    def __init__(self, script: list[int], fan_out: int):
        self._script = iter(script)
        self._fan_out = fan_out
        self.attempts = 0
        self.retries = 0

    def call(self, allowance: int, depth: int) -> tuple[bool, int]:
        """Attempt a call until it succeeds or has no allowance left."""
        while True:
            succeeded, left = self._attempt(allowance, depth)
            if succeeded or left < 1:
                return succeeded, left
            self.retries += 1
            allowance = left - 1

    def _attempt(self, allowance: int, depth: int) -> tuple[bool, int]:
        self.attempts += 1
        pool = AllowancePool(allowance)
        children = self._fan_out if depth < DEPTH else 0
        succeeded = True
        for _ in range(children):
            lent = pool.lend()
            child_succeeded, unspent = self.call(lent, depth + 1)
            pool.give_back(unspent, lent)
            succeeded = succeeded and child_succeeded
            if not succeeded:
                break
        match next(self._script, 0):
            case 1:
                succeeded = False
            case 2:
                # The answer is lost, and with it the unspent allowance of the attempt.
                return False, 0
        return succeeded, pool.left


class ChainTests(unittest.TestCase):
    @given(st.integers(0, 5), st.lists(st.integers(0, 2), max_size=80), st.integers(1, 2))
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_retries_of_an_action_stay_within_the_allowance(self, allowance, script, fan_out):
        chain = Chain(script + [1] * 200, fan_out)
        chain.call(allowance, 1)
        self.assertLessEqual(chain.retries, allowance)

    def test_a_service_that_always_fails_costs_one_plus_the_allowance(self):
        class FailingLeaf(Chain):
            leaf_attempts = 0

            def _attempt(self, allowance: int, depth: int) -> tuple[bool, int]:
                if depth == DEPTH:
                    self.leaf_attempts += 1
                    return False, allowance
                return super()._attempt(allowance, depth)

        chain = FailingLeaf([], 1)
        chain.call(3, 1)
        self.assertEqual(4, chain.leaf_attempts)
