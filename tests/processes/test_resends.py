"""A caller that names its action cannot resend it without bound."""

from tests.processes.base import PAYMENTS, FleetTestCase, on_fleet

RESENDS = 12
RETRIES = 2


class ResendTests(FleetTestCase):
    @on_fleet
    async def test_resends_of_a_failing_action_are_bounded_by_its_allowance(self):
        for name in PAYMENTS:
            await self.fleet.upstream_faults(name, drop_answer=-1)
        reasons = []
        for number in range(RESENDS):
            answer = await self.fleet.call(
                "bayfinder-1", "occupancy", body=f"{number}".encode(), action="action-1"
            )
            reasons.append(answer.reason)
        self.assertEqual(set(reasons[1 + RETRIES :]), {"retry-budget"})

    @on_fleet
    async def test_other_actions_are_not_bounded_by_it(self):
        for number in range(RESENDS):
            answer = await self.fleet.call(
                "bayfinder-1", "occupancy", body=b"x", action=f"other-{number}"
            )
            self.assertEqual(answer.outcome, "ran")
