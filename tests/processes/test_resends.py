"""Tests that the resends of one action, as named in Bamboo-Action, are limited."""

from tests.processes.base import PAYMENTS_INSTANCES, FleetTestCase, run_on_fleet_loop

RESEND_COUNT = 12
RETRIES_ALLOWED_BY_TABLE = 2


class ResendTests(FleetTestCase):
    @run_on_fleet_loop
    async def test_resends_of_a_failing_action_are_limited_by_its_retry_budget(self):
        for name in PAYMENTS_INSTANCES:
            await self.fleet.set_upstream_faults(name, drop_answer=-1)
        reasons = []
        for number in range(RESEND_COUNT):
            answer = await self.fleet.call(
                "bayfinder-1", "occupancy", body=f"{number}".encode(), action="action-1"
            )
            reasons.append(answer.reason)
        self.assertEqual(set(reasons[1 + RETRIES_ALLOWED_BY_TABLE :]), {"retry-budget"})

    @run_on_fleet_loop
    async def test_calls_of_different_actions_are_not_limited(self):
        for number in range(RESEND_COUNT):
            answer = await self.fleet.call(
                "bayfinder-1", "occupancy", body=b"x", action=f"other-{number}"
            )
            self.assertEqual(answer.outcome, "ran")
