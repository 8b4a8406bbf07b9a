"""The rank queue gives each rank its share and orders the calls within a rank."""

import unittest
from collections import Counter

from bamboojunction.core.admission.queue import RankQueue
from bamboojunction.core.admission.tickets import Ticket

CALL_SECONDS = 0.1


def ticket(ticket_id, rank=1, weight=10, deadline=100.0, depth=0, kind="kind"):
    return Ticket(ticket_id, kind, rank, weight, f"action-{ticket_id}", deadline, depth)


def cost(_):
    return CALL_SECONDS


class RankQueueTests(unittest.TestCase):
    def take_with_backlog(self, weights, calls):
        queue = RankQueue()
        ids = iter(range(100_000))
        for rank, weight in enumerate(weights):
            for _ in range(calls):
                queue.push(ticket(next(ids), rank, weight))
        taken = Counter()
        for _ in range(calls):
            entry = queue.pop(cost)
            queue.record_end(entry)
            taken[entry.rank] += 1
        return taken

    def test_every_backlogged_rank_gets_its_weight_share(self):
        taken = self.take_with_backlog((40, 30, 15, 10, 5), 2000)
        for rank, weight in enumerate((40, 30, 15, 10, 5)):
            self.assertAlmostEqual(taken[rank], 20 * weight, delta=20)

    def test_urgent_goes_first_while_no_rank_is_behind(self):
        queue = RankQueue()
        for number in range(3):
            queue.push(ticket(number, rank=3, weight=10))
        queue.push(ticket(9, rank=0, weight=40))
        self.assertEqual(queue.pop(cost).ticket_id, 9)

    def test_waiting_ranks_gain_no_credit_for_the_share_of_a_rank_that_only_runs_calls(self):
        # The calls of rank 0 start at once, so none is left waiting. If the waiting ranks gained
        # credit for all of the slot time that it takes, they would block its next calls.
        queue = RankQueue()
        for number in range(500):
            queue.push(ticket(1000 + number, rank=3, weight=10))
        taken = Counter()
        for number in range(300):
            if number % 2:
                queue.push(ticket(number, rank=0, weight=40))
            entry = queue.pop(cost)
            queue.record_end(entry)
            taken[entry.rank] += 1
            self.assertLessEqual(queue.waiting_count(0), 1)
        self.assertGreaterEqual(taken[0], 149)

    def test_child_calls_go_before_root_calls_and_earlier_deadlines_first(self):
        queue = RankQueue()
        for entry in (ticket(1, deadline=5), ticket(2, deadline=3), ticket(3, deadline=9, depth=4)):
            queue.push(entry)
        self.assertEqual([queue.pop(cost).ticket_id for _ in range(3)], [3, 2, 1])

    def test_cancelled_and_parked_calls_are_counted_right(self):
        queue = RankQueue()
        queue.push(ticket(1))
        queue.push(ticket(2))
        self.assertTrue(queue.cancel(1))
        self.assertFalse(queue.cancel(1))
        taken = queue.pop(cost)
        queue.refund(taken, CALL_SECONDS)
        queue.suspend(taken)
        self.assertEqual((len(queue), queue.waiting_count(1)), (1, 1))
        self.assertIsNone(queue.pop(cost))
        queue.resume("kind")
        self.assertEqual(queue.pop(cost).ticket_id, 2)
        self.assertEqual((len(queue), queue.waiting_count(1)), (0, 0))
