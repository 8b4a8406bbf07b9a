"""Hard resending of keys, and a strict comparison of the answers with the ledger."""

import asyncio

from tests.processes.base import FleetTestCase

CHARGE_SECONDS = 0.4
RESENDS = 50
RESENDS_AT_ONCE = 10


class HardResendTestCase(FleetTestCase):
    """Resend 50 times, ten at once, whatever the answers are."""

    async def start_charge(self, home="bayfinder-1"):
        """Start a charge and return its key, its task and the gate that runs it."""
        key = await self.new_key(home)
        await self.slow_payments(CHARGE_SECONDS)
        task = asyncio.create_task(self.charge(home, key))
        return key, task, await self.running_gate()

    async def resend_hard(self, nodes, key):
        """Send 50 copies at the nodes in turn, ten at a time, and return their answers."""
        answers = []
        for start in range(0, RESENDS, RESENDS_AT_ONCE):
            numbers = range(start, start + RESENDS_AT_ONCE)
            copies = (self.charge(nodes[number % len(nodes)], key) for number in numbers)
            answers += await asyncio.gather(*copies)
        return answers

    def outcomes(self, answers):
        return {answer.outcome for answer in answers if answer is not None}

    def reasons_of(self, answers):
        return {answer.reason for answer in answers if answer is not None}

    def assert_truthful(self, key, answers, effects):
        """Check the number of effects, and that no answer says otherwise or carries another body.

        The answers are those given since the last refusal that let the key run again.
        """
        self.assertEqual(self.effects_of(key), effects)
        outcomes = self.outcomes(answers)
        self.assertNotIn("not-run" if effects else "ran", outcomes)
        bodies = {answer.body for answer in answers if answer and answer.outcome == "ran"}
        self.assertLessEqual(bodies, {key.encode()})
