"""The router ejects unhealthy upstreams, probes them and readmits them with a slow start."""

import random
import unittest
from collections import Counter

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.routing.ejection import BACKOFF_MAX_SECONDS, SLOW_START_SECONDS
from bamboojunction.core.routing.router import RouteChoice, Router
from tests.routing.builders import (
    SERVICE,
    announcement,
    attempt,
    attempt_result,
    record_answer,
    report,
    request,
)

FAULTY_INSTANCE = f"{SERVICE}-0"
UNREACHABLE = NotRun(NotRunReason.UNREACHABLE)
LOST = Unknown(UnknownReason.LOST_LINK)
FAILED = Ran(500)


def new_router(count: int, seed: int = 1) -> Router:
    router = Router("near", "region", random.Random(seed))
    router.update_instances(SERVICE, [announcement(number) for number in range(count)])
    for number in range(count):
        record_answer(router, f"{SERVICE}-{number}", 0.0, report())
    return router


def send_calls(
    router: Router, outcomes: dict[str, Outcome], start: float, seconds: float, rate: int
):
    """Send ``rate`` calls per second, answered at once, and return the count by instance."""
    counts: Counter = Counter()
    for number in range(int(seconds * rate)):
        now = start + number / rate
        chosen = router.choose(request(), now)
        router.record_sent(chosen.instance, "read", now)
        outcome = outcomes.get(chosen.instance)
        load = None if outcome in (UNREACHABLE, LOST) else report()
        router.record_result(attempt_result(chosen.instance, outcome, load), now)
        counts[chosen.instance] += 1
    return counts


class EjectionTests(unittest.TestCase):
    def test_refused_connections_eject_after_two_calls(self):
        for outcome in (UNREACHABLE, LOST):
            counts = send_calls(new_router(3), {FAULTY_INSTANCE: outcome}, 0.1, 0.4, 100)
            self.assertLessEqual(counts[FAULTY_INSTANCE], 2)

    def test_an_unresponsive_upstream_is_ejected_within_a_second(self):
        router = new_router(3)
        last_sent = 0.0
        for number in range(300):
            now = 0.1 + number / 100
            chosen = router.choose(request(), now)
            router.record_sent(chosen.instance, "read", now)
            if chosen.instance == FAULTY_INSTANCE:
                last_sent = now
            else:
                router.record_result(attempt_result(chosen.instance, None, report()), now)
            if now > 1.1:
                break
        self.assertLess(last_sent - 0.1, 1.0)

    def test_an_answer_readmits_an_unresponsive_upstream_at_once(self):
        router = new_router(2)
        for _ in range(4):
            router.record_sent(FAULTY_INSTANCE, "read", 0.0)
        for _ in range(10):
            self.assertEqual(f"{SERVICE}-1", router.choose(request(), 2.0).instance)
        for _ in range(4):
            router.record_result(attempt_result(FAULTY_INSTANCE, None, report()), 2.0)
        instances = {attempt(router, 2.0) for _ in range(20)}
        self.assertIn(FAULTY_INSTANCE, instances)

    def test_probes_back_off_but_never_stop(self):
        router = new_router(3)
        send_calls(router, {FAULTY_INSTANCE: UNREACHABLE}, 0.1, 60.0, 50)
        counts = send_calls(
            router, {FAULTY_INSTANCE: UNREACHABLE}, 60.1, 4 * BACKOFF_MAX_SECONDS, 50
        )
        self.assertIn(counts[FAULTY_INSTANCE], range(2, 6))

    def test_many_lost_attempts_at_once_count_as_one_ejection(self):
        router = new_router(3)
        for _ in range(50):
            router.record_sent(FAULTY_INSTANCE, "read", 0.1)
        for _ in range(50):
            router.record_result(attempt_result(FAULTY_INSTANCE, LOST), 0.2)
        counts = send_calls(router, {}, 0.75, 0.1, 100)
        self.assertGreater(counts[FAULTY_INSTANCE], 0)

    def test_non_idempotent_calls_leave_probes_to_others(self):
        router = new_router(3)
        send_calls(router, {FAULTY_INSTANCE: UNREACHABLE}, 0.1, 0.2, 100)
        for _ in range(20):
            self.assertNotEqual(FAULTY_INSTANCE, attempt(router, 1.0, idempotent=False))
        self.assertEqual(FAULTY_INSTANCE, attempt(router, 1.0, idempotent=True))

    def test_non_idempotent_calls_probe_when_no_other_call_does(self):
        router = new_router(3)
        send_calls(router, {FAULTY_INSTANCE: UNREACHABLE}, 0.1, 0.2, 100)
        instances = [attempt(router, 8.0, idempotent=False) for _ in range(5)]
        self.assertIn(FAULTY_INSTANCE, instances)


class ReadmissionTests(unittest.TestCase):
    def test_readmission_uses_slow_start(self):
        router = new_router(2)
        send_calls(router, {FAULTY_INSTANCE: UNREACHABLE}, 0.1, 0.3, 100)
        early = send_calls(router, {}, 1.0, 0.5, 400)[FAULTY_INSTANCE]
        send_calls(router, {}, 1.5, SLOW_START_SECONDS, 100)
        late = send_calls(router, {}, 1.5 + SLOW_START_SECONDS, 0.5, 400)[FAULTY_INSTANCE]
        self.assertLess(early, late / 2)

    def test_a_new_incarnation_starts_with_fresh_health(self):
        router = new_router(2)
        send_calls(router, {FAULTY_INSTANCE: UNREACHABLE}, 0.1, 0.3, 100)
        router.update_instances(SERVICE, [announcement(0, incarnation="2"), announcement(1)])
        self.assertIn(FAULTY_INSTANCE, {attempt(router, 0.45) for _ in range(10)})


class NeverEjectAllTests(unittest.TestCase):
    def test_calls_go_on_when_every_upstream_looks_dead(self):
        router = new_router(3)
        outcomes = {f"{SERVICE}-{number}": LOST for number in range(3)}
        counts = send_calls(router, outcomes, 0.1, 5.0, 50)
        self.assertEqual(250, sum(counts.values()))
        self.assertEqual(3, len(counts))

    def test_failures_of_all_eject_at_most_half(self):
        router = new_router(4)
        outcomes = {f"{SERVICE}-{number}": FAILED for number in range(4)}
        send_calls(router, outcomes, 0.1, 0.4, 1000)
        counts = send_calls(router, outcomes, 0.5, 0.3, 1000)
        self.assertGreaterEqual(len(counts), 2)

    def test_an_upstream_that_alone_fails_is_ejected(self):
        router = new_router(4)
        send_calls(router, {FAULTY_INSTANCE: FAILED}, 0.1, 1.0, 400)
        counts = send_calls(router, {FAULTY_INSTANCE: FAILED}, 1.1, 1.0, 400)
        self.assertLess(counts[FAULTY_INSTANCE], 20)


class DrainingTests(unittest.TestCase):
    def test_a_draining_report_takes_an_upstream_out_at_once(self):
        router = new_router(2)
        router.record_sent(FAULTY_INSTANCE, "read", 0.1)
        router.record_result(attempt_result(FAULTY_INSTANCE, None, report(draining=True)), 0.1)
        for second in range(30):
            self.assertNotEqual(FAULTY_INSTANCE, attempt(router, 0.1 + second))

    def test_a_draining_refusal_takes_an_upstream_out_at_once(self):
        router = new_router(2)
        router.record_sent(FAULTY_INSTANCE, "read", 0.1)
        router.record_result(attempt_result(FAULTY_INSTANCE, NotRun(NotRunReason.DRAINING)), 0.1)
        self.assertNotEqual(FAULTY_INSTANCE, attempt(router, 0.1))

    def test_nothing_is_sent_when_all_drain(self):
        router = new_router(1)
        router.record_sent(FAULTY_INSTANCE, "read", 0.1)
        router.record_result(attempt_result(FAULTY_INSTANCE, NotRun(NotRunReason.DRAINING)), 0.1)
        self.assertNotIsInstance(router.choose(request(), 0.2), RouteChoice)
