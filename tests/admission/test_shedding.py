"""A rank of child calls is shed at a shorter queue than one of calls at the top of their chains."""

import heapq
import unittest

from bamboojunction.core.admission.gate import AdmissionController, CompletionStatus, Start, Ticket
from bamboojunction.core.routes import GOLDEN_RATIO_FRACTION

SLOTS = 15
SERVICE_SECONDS = 0.07
STEP_SECONDS = 0.004
# Enough for a queue of 9 calls beside the full slots: 0.04 s, between the two targets.
QUEUE_CALLS = 9


class QueueTargetTests(unittest.TestCase):
    def shed_fraction_after(self, seconds: float, depth: int) -> float:
        """Return the admitted fraction while a queue of ``QUEUE_CALLS`` waits all the time."""
        gate = AdmissionController(SLOTS)
        running: list[tuple[float, int]] = []  # A heap of end times and tickets.
        now, ticket_id = 0.0, 0
        while now < seconds:
            now += STEP_SECONDS
            while running and running[0][0] <= now:
                _, ended = heapq.heappop(running)
                decisions = gate.finish(ended, CompletionStatus.SUCCEEDED, SERVICE_SECONDS, now)
                self.start(decisions, running, now)
            while gate.report(now).queued < QUEUE_CALLS:
                ticket_id += 1
                ticket = Ticket(ticket_id, "summary", 1, 1, f"a{ticket_id}", now + 10, depth)
                decisions = gate.submit(ticket, now)
                self.start(decisions, running, now)
                if not gate.report(now).level.admits(1, f"a{ticket_id}"):
                    break
        return gate.report(now).level.fraction(1)

    @staticmethod
    def start(decisions, running, now) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                # Between half and one and a half times the mean, so that the ends spread evenly.
                seconds = SERVICE_SECONDS * (0.5 + decision.ticket_id * GOLDEN_RATIO_FRACTION % 1.0)
                heapq.heappush(running, (now + seconds, decision.ticket_id))

    def test_short_queue_of_child_calls_is_shed_within_a_second(self):
        self.assertLess(self.shed_fraction_after(1.0, depth=1), 1.0)

    def test_the_same_queue_of_top_calls_is_no_overload(self):
        self.assertEqual(self.shed_fraction_after(1.0, depth=0), 1.0)
