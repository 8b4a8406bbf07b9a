"""Time of one admission decision, by the length of the queue."""

import random
import time

from bamboojunction.core.admission.gate import AdmissionController, CompletionStatus, Start, Ticket
from bamboojunction.core.admission.queue import RankQueue

QUEUE_LENGTHS = (0, 10, 100, 1_000, 10_000)
MEASURED_CALLS = 5_000
RANK_COUNT = 5
FAR_DEADLINE_SECONDS = 1_000_000.0


def admission_microseconds(queue_length: int) -> float:
    """Return the mean time in microseconds to offer, start and finish one call."""
    rng = random.Random(1)
    admission = AdmissionController(1)
    # Raise the limit on each rank's queue, which would refuse the longest queues measured.
    admission._queue_max_per_rank = 2 * QUEUE_LENGTHS[-1]
    ticket_ids = iter(range(10**9))

    def offer(now: float) -> list[int]:
        rank = rng.randrange(RANK_COUNT)
        ticket_id = next(ticket_ids)
        deadline = FAR_DEADLINE_SECONDS + rng.random()
        ticket = Ticket(ticket_id, f"kind-{rank}", rank, 10, f"action-{ticket_id}", deadline)
        return [
            decision.ticket_id
            for decision in admission.submit(ticket, now)
            if isinstance(decision, Start)
        ]

    running_ids = offer(0.0)
    for _ in range(queue_length):
        offer(0.0)
    started_at = time.perf_counter()
    for _ in range(MEASURED_CALLS):
        # The time stays at 0, so that no shedding interval ends during the measurement.
        running_ids += offer(0.0)
        decisions = admission.finish(running_ids.pop(), CompletionStatus.SUCCEEDED, 0.1, 0.0)
        running_ids += [decision.ticket_id for decision in decisions if isinstance(decision, Start)]
    return (time.perf_counter() - started_at) / MEASURED_CALLS * 1e6


def queue_microseconds(queue_length: int) -> float:
    """Return the mean time in microseconds to push a call on the rank queue and take one."""
    rng = random.Random(1)
    queue = RankQueue()
    tickets = [
        Ticket(ticket_id, "kind", rng.randrange(RANK_COUNT), 10, "action", rng.random())
        for ticket_id in range(queue_length + MEASURED_CALLS)
    ]
    for ticket in tickets[:queue_length]:
        queue.push(ticket)
    started_at = time.perf_counter()
    for ticket in tickets[queue_length:]:
        queue.push(ticket)
        queue.record_end(queue.pop(_constant_cost))
    return (time.perf_counter() - started_at) / MEASURED_CALLS * 1e6


def _constant_cost(ticket: Ticket) -> float:
    return 0.1


def admission_cost_lines() -> list[str]:
    """Measure each queue length and return a line of text for it."""
    return [
        f"gate  queue {length:>6}  offer+start+finish {admission_microseconds(length):>7.1f} us"
        f"  queue add+take {queue_microseconds(length):>7.1f} us"
        for length in QUEUE_LENGTHS
    ]
