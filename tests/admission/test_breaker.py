"""Replays of an upstream that refuses every call at once although it calls itself healthy."""

import random
import unittest
from itertools import count

from bamboojunction.core.admission.breaker import PROBE_INTERVAL_SECONDS, REFUSALS_TO_OPEN
from bamboojunction.core.admission.edge import EdgeShedder
from bamboojunction.core.admission.gate import AdmissionController, CompletionStatus, Refuse, Ticket
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran
from bamboojunction.core.routing.router import AttemptResult, Router, RouteRequest

CALLS_PER_SECOND = 100
SERVICE_SECONDS = 0.03
REFUSAL_SECONDS = 0.002


class Gate:
    """A gate and its upstream in simulated time; ``refuses`` tells when the upstream refuses."""

    def __init__(self, refuses=lambda now: False, slots: int = 20):
        self.admission = AdmissionController(slots)
        self.refuses = refuses
        self.sent_at: list[float] = []
        self._ends: list[tuple[float, int, CompletionStatus]] = []
        self._ids = count(1)

    def advance(self, now: float) -> None:
        """End the calls whose time is over."""
        for end in sorted(end for end in self._ends if end[0] <= now):
            self._ends.remove(end)
            ended_at, ticket_id, status = end
            self.admission.finish(ticket_id, status, SERVICE_SECONDS, ended_at)

    def call(self, now: float, rank: int = 1) -> NotRun | None:
        """Offer a call and return the refusal of the gate or of the upstream, or None."""
        self.advance(now)
        ticket = Ticket(next(self._ids), "k", rank, 1, f"action-{random.random()}", now + 1.0)
        for decision in self.admission.submit(ticket, now):
            if isinstance(decision, Refuse):
                return decision.outcome
            self.sent_at.append(now)
            if self.refuses(now):
                self._ends.append((now + REFUSAL_SECONDS, decision.ticket_id, OVERLOADED))
                return NotRun(NotRunReason.UPSTREAM_REFUSED)
            self._ends.append((now + SERVICE_SECONDS, decision.ticket_id, SUCCEEDED))
        return None

    def report(self, now: float) -> LoadReport:
        self.advance(now)
        return self.admission.report(now)


OVERLOADED, SUCCEEDED = CompletionStatus.OVERLOADED, CompletionStatus.SUCCEEDED


def times(start: float, end: float, per_second: int = CALLS_PER_SECOND):
    return [start + number / per_second for number in range(int((end - start) * per_second))]


class BreakerTests(unittest.TestCase):
    def setUp(self):
        random.seed(1)

    def test_refusing_upstream_gets_only_probes_and_is_back_soon_after(self):
        gate = Gate(lambda now: 2.0 <= now < 10.0)
        served_at = [now for now in times(0.0, 14.0) if gate.call(now) is None]
        while_refusing = [now for now in gate.sent_at if 2.0 <= now < 10.0]
        # The breaker is open 0.5 s after the first refusal at the latest.
        before_open = 0.5 * CALLS_PER_SECOND
        self.assertLessEqual(len(while_refusing), before_open + 8.0 / PROBE_INTERVAL_SECONDS)
        self.assertLessEqual(
            len([now for now in while_refusing if now >= 2.5]), 7.5 / PROBE_INTERVAL_SECONDS + 1
        )
        self.assertLess(min(now for now in served_at if now >= 10.0), 10.5)
        self.assertGreater(len([now for now in served_at if now >= 10.5]), 3.4 * CALLS_PER_SECOND)

    def test_calls_that_wait_when_the_breaker_opens_are_refused_at_once(self):
        gate = Gate(slots=REFUSALS_TO_OPEN)
        admission = gate.admission
        started, waiting = [], []
        for number in range(REFUSALS_TO_OPEN + 3):
            ticket = Ticket(number, "k", 1, 1, str(number), 9.0)
            (started if admission.submit(ticket, 1.0) else waiting).append(number)
        decisions = [admission.finish(number, OVERLOADED, 0.0, 1.3) for number in started]
        refused = [decision for decision in decisions[-1] if isinstance(decision, Refuse)]
        restarted = sum(len(ended) for ended in decisions[:-1])
        self.assertEqual(len(refused), len(waiting) - restarted)
        self.assertEqual(len(started), REFUSALS_TO_OPEN)

    def test_full_upstream_that_refuses_some_calls_is_not_closed(self):
        # One call in three is run; the limit of the gate, not the breaker, answers this load.
        numbers = count()
        gate = Gate(lambda now: next(numbers) % 3 > 0)
        for now in times(0.0, 5.0):
            gate.call(now)
            self.assertFalse(gate.report(now).level.is_closed)

    def play_service(self, gates: dict[str, Gate], seconds: float) -> list[float]:
        """Route calls to the gates of a service and return the times of refusals."""
        router = Router("lac", rng=random.Random(1))
        router.update_instances(
            "s", [Announcement(name, "1", "s", "lac", "", name, 0.0) for name in gates]
        )
        refused = []
        for now in times(0.0, seconds):
            instance = router.choose(RouteRequest("s", "k", 1, "a", now + 1.0), now).instance
            router.record_sent(instance, "k", now)
            refusal = gates[instance].call(now)
            if refusal is not None:
                refused.append(now)
            report = gates[instance].report(now)
            elapsed = 0.001 if refusal else SERVICE_SECONDS
            result = AttemptResult(
                instance, "k", refusal or Ran(200), report, 0.0 if refusal else elapsed, elapsed
            )
            router.record_result(result, now)
        return refused

    def test_other_instances_take_the_calls_of_a_closed_one(self):
        gates = {"a": Gate(lambda now: now >= 1.0), "b": Gate(), "c": Gate()}
        refused = self.play_service(gates, 6.0)
        # One call each 0.5 s finds out whether the closed instance admits calls again.
        self.assertLessEqual(len([now for now in refused if now >= 1.5]), 4.5 / 0.5 + 1)

    def test_other_instances_take_the_calls_of_one_that_refuses_a_part(self):
        numbers = count()
        partly = Gate(lambda now: now >= 1.0 and next(numbers) % 4 > 0)
        refused = self.play_service({"a": partly, "b": Gate(), "c": Gate()}, 6.0)
        # A third of the calls would go there, and three in four of them be refused.
        even_share = 0.75 * CALLS_PER_SECOND * 4.5 / 3
        self.assertLess(len([now for now in refused if now >= 1.5]), 0.2 * even_share)

    def test_service_whose_instances_all_refuse_a_part_stays_in_use(self):
        numbers = count()
        gates = {name: Gate(lambda now: next(numbers) % 4 > 0) for name in "abc"}
        refused = self.play_service(gates, 6.0)
        self.assertGreater(6.0 * CALLS_PER_SECOND - len(refused), 0.2 * 6.0 * CALLS_PER_SECOND)

    def test_new_actions_are_refused_on_entry_only_while_all_instances_are_closed(self):
        edge = EdgeShedder()
        gates = {"a": Gate(lambda now: True), "b": Gate(lambda now: now < 5.0)}
        for now in times(0.0, 3.0):
            for gate in gates.values():
                gate.call(now)
        for name, gate in gates.items():
            edge.record_report("s", name, gate.report(3.0), 3.0)
        refusals = [edge.check(("s",), 1, f"action-{number}", 3.0) for number in range(500)]
        admitted = refusals.count(None)
        # A few find out when the service admits calls again.
        self.assertTrue(1 <= admitted <= 30, admitted)
        for now in times(5.0, 5.5):
            gates["b"].call(now)
        edge.record_report("s", "b", gates["b"].report(5.5), 5.5)
        edge.record_report("s", "a", gates["a"].report(5.5), 5.5)
        refusals = [edge.check(("s",), 1, f"action-{number}", 5.5) for number in range(500)]
        self.assertEqual(refusals.count(None), 500)

    def test_refusals_on_entry_name_a_longer_wait_the_less_is_admitted(self):
        edge = EdgeShedder()
        gate = Gate(lambda now: True)
        for now in times(0.0, 3.0):
            gate.call(now)
        edge.record_report("s", "a", gate.report(3.0), 3.0)
        refusals = [edge.check(("s",), 1, f"action-{number}", 3.0) for number in range(200)]
        waits = [refusal.retry_after for refusal in refusals if refusal is not None]
        self.assertGreaterEqual(min(waits), 1.0)
        self.assertLessEqual(max(waits), 3.0)


class LateRefusalTests(unittest.TestCase):
    def test_call_that_cannot_start_is_refused_before_its_caller_gives_up(self):
        admission = AdmissionController(1)
        admission.submit(Ticket(1, "k", 1, 1, "a", 9.0), 0.0)
        self.assertEqual(admission.submit(Ticket(2, "k", 1, 1, "b", 0.5), 0.0), [])
        now, refused_at = 0.0, None
        while refused_at is None and now < 1.0:
            now = admission.next_tick(now + 0.000_001)
            if any(isinstance(decision, Refuse) for decision in admission.tick(now)):
                refused_at = now
        self.assertLess(refused_at, 0.5)
        self.assertGreater(refused_at, 0.45)
