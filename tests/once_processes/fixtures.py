"""Base class of the tests that send many concurrent resends of one key."""

import asyncio

from tests.processes.base import FleetTestCase

CHARGE_SECONDS = 0.4
RESEND_COUNT = 50
CONCURRENT_RESENDS = 10


class ConcurrentResendTestCase(FleetTestCase):
    """A test case with helpers to resend a key and to compare the answers with the ledger."""

    async def start_charge(self, home="bayfinder-1"):
        """Start a charge at its home; return its key, its task and the instance that runs it."""
        key = await self.new_key(home)
        await self.slow_down_payments(CHARGE_SECONDS)
        task = asyncio.create_task(self.charge(home, key))
        return key, task, await self.wait_for_running_gate()

    async def resend_concurrently(self, nodes, key):
        """Send a charge 50 times to the nodes in turn, ten at a time, and return the answers.

        An answer is None if the connection to its node was lost.
        """
        answers = []
        for start in range(0, RESEND_COUNT, CONCURRENT_RESENDS):
            numbers = range(start, start + CONCURRENT_RESENDS)
            resends = (self.charge(nodes[number % len(nodes)], key) for number in numbers)
            answers += await asyncio.gather(*resends)
        return answers

    def outcomes_of(self, answers):
        return {answer.outcome for answer in answers if answer is not None}

    def reasons_of(self, answers):
        return {answer.reason for answer in answers if answer is not None}

    def assert_answers_match_effects(self, key, answers, expected_effects):
        """Check the number of effects, the outcomes and the bodies of the answers.

        If the key ran after an answer of not-run, pass only the answers that were given since.
        """
        self.assertEqual(self.count_effects(key), expected_effects)
        outcomes = self.outcomes_of(answers)
        self.assertNotIn("not-run" if expected_effects else "ran", outcomes)
        bodies = {answer.body for answer in answers if answer and answer.outcome == "ran"}
        self.assertLessEqual(bodies, {key.encode()})
