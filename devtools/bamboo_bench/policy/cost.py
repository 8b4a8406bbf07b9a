"""Processor time of one decision of the gate against the length of its queue."""

import random
import time

from bamboojunction.core.admission.gate import Admission, ServiceEnd, Start, Ticket
from bamboojunction.core.admission.queue import RankQueue

QUEUE_LENGTHS = (0, 10, 100, 1_000, 10_000)
CALLS = 5_000
RANKS = 5
FAR_DEADLINE_SECONDS = 1_000_000.0


def gate_cost_microseconds(queue_length: int) -> float:
    """Return the microseconds to offer a call, start one and finish one."""
    rng = random.Random(1)
    gate = Admission(1)
    # The bound on a rank's queue is lifted, so that long queues can be measured.
    gate._queue_max = 2 * QUEUE_LENGTHS[-1]
    numbers = iter(range(10**9))

    def offer(now: float) -> list[int]:
        rank = rng.randrange(RANKS)
        number = next(numbers)
        deadline = FAR_DEADLINE_SECONDS + rng.random()
        ticket = Ticket(number, f"kind-{rank}", rank, 10, f"action-{number}", deadline)
        return [entry.ticket_id for entry in gate.offer(ticket, now) if isinstance(entry, Start)]

    running = offer(0.0)
    for _ in range(queue_length):
        offer(0.0)
    started = time.perf_counter()
    for _ in range(CALLS):
        # The clock stands still, as no interval of shedding may end within the measurement.
        running += offer(0.0)
        decisions = gate.finish(running.pop(), ServiceEnd.SUCCEEDED, 0.1, 0.0)
        running += [entry.ticket_id for entry in decisions if isinstance(entry, Start)]
    return (time.perf_counter() - started) / CALLS * 1e6


def queue_cost_microseconds(queue_length: int) -> float:
    """Return the microseconds to add a call to the rank queue and take one."""
    rng = random.Random(1)
    queue = RankQueue()
    tickets = [
        Ticket(number, "kind", rng.randrange(RANKS), 10, "action", rng.random())
        for number in range(queue_length + CALLS)
    ]
    for ticket in tickets[:queue_length]:
        queue.push(ticket)
    started = time.perf_counter()
    for ticket in tickets[queue_length:]:
        queue.push(ticket)
        queue.ended(queue.take(_usual_cost))
    return (time.perf_counter() - started) / CALLS * 1e6


def _usual_cost(ticket: Ticket) -> float:
    return 0.1


def gate_cost_lines() -> list[str]:
    """Return a line for each queue length."""
    return [
        f"gate  queue {length:>6}  offer+start+finish {gate_cost_microseconds(length):>7.1f} us"
        f"  queue add+take {queue_cost_microseconds(length):>7.1f} us"
        for length in QUEUE_LENGTHS
    ]
