"""Attempts and deadlines of repeated requests, at every gate and in the calls of their runs."""

import asyncio
import unittest
from collections import defaultdict
from unittest import mock

import msgspec

from bamboo_bench.replay.fleet import ReplayFleet, SimulatedUpstream, request_for
from bamboo_bench.replay.pattern import load_pattern
from bamboo_standins.paused_clock import with_paused_clock

REQUESTS = 60
REMAINING_SECONDS = 0.9
# A link carries the time that is left, so each of the few hops adds its delay to the deadline.
HOPS_SECONDS = 0.02
KINDS = {"search": "finder", "history": "log"}


class ChainAttemptTests(unittest.TestCase):
    async def send_requests(self, lost_share, stopping=()):
        """Send requests at a fleet without a retry limit, and return the arrivals by action."""
        pattern = msgspec.structs.replace(load_pattern("lost-answers"), retry_slack=1e6)
        fleet = ReplayFleet(pattern, 1)
        self.addCleanup(fleet.close)
        for service in fleet.instances_by_service:
            fleet.conditions.lost_share_by_service[service] = lost_share
        for instance in stopping:
            fleet.node_by_instance[instance].gate.stop()
        arrivals_by_action = defaultdict(list)
        loop = asyncio.get_running_loop()
        real_send = SimulatedUpstream.send

        async def send(upstream, call, headers):
            remaining = int(dict(headers)["bamboojunction-deadline-ms"]) / 1000
            arrivals_by_action[call.action].append(loop.time() + remaining)
            return await real_send(upstream, call, headers)

        nodes = list(fleet.node_by_instance.values())
        # Budgets earn their slack over time.
        for node in nodes:
            for service in fleet.instances_by_service:
                node.forwarder.budget(service)
        await asyncio.sleep(5.0)
        with mock.patch.object(SimulatedUpstream, "send", send):
            for number in range(REQUESTS):
                kind = list(KINDS)[number % len(KINDS)]
                node = nodes[number % len(nodes)]
                sent_at = loop.time()
                await node.app.handle(request_for(kind, f"r{number}", REMAINING_SECONDS, sent_at))
                self.assert_deadlines_kept(arrivals_by_action, f"r{number}", sent_at)
        self.assertGreater(len(arrivals_by_action), REQUESTS)
        return arrivals_by_action

    def assert_deadlines_kept(self, arrivals_by_action, request_id, sent_at):
        deadline = sent_at + REMAINING_SECONDS + HOPS_SECONDS
        for action, deadlines in arrivals_by_action.items():
            if action == request_id or action.startswith(f"{request_id}."):
                self.assertLessEqual(max(deadlines), deadline, action)

    def assert_attempts_kept(self, arrivals_by_action):
        attempts = {"search": 3, "history": 2}
        for action, deadlines in arrivals_by_action.items():
            is_call = "." in action
            number = int(action.partition(".")[0][1:])
            allowed = 2 if is_call else attempts[list(KINDS)[number % len(KINDS)]]
            self.assertLessEqual(len(deadlines), allowed, action)

    @with_paused_clock
    async def test_lost_answers_at_every_depth_keep_attempts_and_deadlines(self):
        """Guards against a repeat below the router, and one with the first send's deadline."""
        arrivals_by_action = await self.send_requests(0.6)
        self.assert_attempts_kept(arrivals_by_action)
        self.assertTrue(any(len(deadlines) > 1 for deadlines in arrivals_by_action.values()))
        self.assertTrue(
            any("." in action and len(found) > 1 for action, found in arrivals_by_action.items())
        )

    @with_paused_clock
    async def test_second_choices_after_a_refusing_gate_keep_attempts(self):
        """Guards against moves to other gates that count as no attempt though they arrived."""
        stopping = ("finder-0", "log-0", "booking-0")
        arrivals_by_action = await self.send_requests(0.6, stopping)
        self.assert_attempts_kept(arrivals_by_action)
