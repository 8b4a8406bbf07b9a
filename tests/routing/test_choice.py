"""The router chooses the upstream with the earliest expected completion of a call."""

import random
import unittest
from collections import Counter

from bamboojunction.core.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bamboojunction.core.routing.router import RouteChoice, Router
from bamboojunction.core.routing.spill import should_spill_over
from tests.routing.builders import (
    SERVICE,
    announcement,
    attempt_result,
    record_answer,
    report,
    request,
)


def new_router(data_centres: list[str]) -> Router:
    router = Router("near", "region", random.Random(1))
    router.update_instances(
        SERVICE, [announcement(n, data_centre) for n, data_centre in enumerate(data_centres)]
    )
    return router


def chosen_counts(router: Router, count: int, now: float, **fields) -> Counter:
    return Counter(router.choose(request(**fields), now).instance for _ in range(count))


class LeastExpectedCompletionTests(unittest.TestCase):
    def test_chooses_the_upstream_that_runs_this_kind_fastest(self):
        router = new_router(["near", "near"])
        for kind, seconds in (("read", (0.1, 0.4)), ("write", (0.4, 0.1))):
            for number, time in enumerate(seconds):
                record_answer(
                    router, f"{SERVICE}-{number}", 0.0, report(), kind=kind, service_seconds=time
                )
        self.assertEqual({f"{SERVICE}-0"}, set(chosen_counts(router, 20, 0.0, kind="read")))
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0, kind="write")))

    def test_counts_work_per_slot_not_work(self):
        router = new_router(["near", "near"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(in_flight=8, limit=8))
        record_answer(router, f"{SERVICE}-1", 0.0, report(in_flight=10, limit=80))
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0)))

    def test_own_attempts_since_the_report_count(self):
        router = new_router(["near", "near"])
        for number in range(2):
            record_answer(router, f"{SERVICE}-{number}", 0.0, report(limit=10))
        counts = Counter()
        for _ in range(20):
            instance = router.choose(request(), 0.0).instance
            router.record_sent(instance, "read", 0.0)
            counts[instance] += 1
        self.assertEqual([10, 10], sorted(counts.values()))

    def test_reports_decay_with_age(self):
        router = new_router(["near", "near"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(queued=30))
        record_answer(router, f"{SERVICE}-1", 0.0, report(queued=20))
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0)))
        record_answer(router, f"{SERVICE}-1", 60.0, report(queued=20))
        self.assertEqual({f"{SERVICE}-0"}, set(chosen_counts(router, 20, 60.0)))

    def test_a_slow_measurement_does_not_exclude_an_upstream_permanently(self):
        router = new_router(["near", "near"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(), service_seconds=2.0)
        for second in range(200):
            record_answer(
                router, f"{SERVICE}-1", float(second), report(in_flight=9), service_seconds=0.1
            )
        self.assertIn(f"{SERVICE}-0", chosen_counts(router, 5, 200.0))

    def test_unknown_upstreams_take_one_call_until_they_answer(self):
        router = new_router(["near", "near", "near"])
        record_answer(router, f"{SERVICE}-0", 0.0, report())
        counts = Counter()
        for _ in range(100):
            instance = router.choose(request(), 0.0).instance
            router.record_sent(instance, "read", 0.0)
            counts[instance] += 1
        self.assertEqual(1, counts[f"{SERVICE}-1"])
        self.assertEqual(1, counts[f"{SERVICE}-2"])

    def test_fast_failures_do_not_attract_calls(self):
        router = new_router(["near", "near"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(), service_seconds=0.1)
        record_answer(router, f"{SERVICE}-1", 0.0, report(), service_seconds=0.2)
        refusal = NotRun(NotRunReason.SHED)
        router.record_sent(f"{SERVICE}-1", "read", 0.0)
        router.record_result(
            attempt_result(f"{SERVICE}-1", refusal, report(), service_seconds=0.0), 0.0
        )
        self.assertEqual({f"{SERVICE}-0"}, set(chosen_counts(router, 20, 0.0)))

    def test_a_timeout_raises_the_estimate(self):
        router = new_router(["near", "near"])
        for number in range(2):
            record_answer(router, f"{SERVICE}-{number}", 0.0, report(), service_seconds=0.1)
        router.record_sent(f"{SERVICE}-0", "read", 0.0)
        timeout = Unknown(UnknownReason.DEADLINE)
        router.record_result(attempt_result(f"{SERVICE}-0", timeout, service_seconds=1.0), 0.0)
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0)))

    def test_tried_instances_are_left_out_while_there_are_others(self):
        router = new_router(["near", "near"])
        first = frozenset({f"{SERVICE}-0"})
        self.assertEqual(
            {f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0, tried_instances=first))
        )
        both = first | {f"{SERVICE}-1"}
        self.assertIsInstance(router.choose(request(tried_instances=both), 0.0), RouteChoice)

    def test_a_service_without_upstreams_is_refused(self):
        refusal = new_router([]).choose(request(), 0.0)
        self.assertEqual(NotRunReason.NO_UPSTREAM, refusal.reason)
        self.assertGreater(refusal.retry_after, 0)


class SpilloverTests(unittest.TestCase):
    def test_calls_stay_in_their_data_centre_while_it_is_not_overloaded(self):
        router = new_router(["near", "far"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(in_flight=5), service_seconds=0.05)
        record_answer(router, f"{SERVICE}-1", 0.0, report(in_flight=3), service_seconds=0.05)
        self.assertEqual({f"{SERVICE}-0"}, set(chosen_counts(router, 20, 0.0)))

    def test_calls_go_to_a_remote_data_centre_that_is_expected_to_be_much_faster(self):
        router = new_router(["near", "far"])
        record_answer(router, f"{SERVICE}-0", 0.0, report(queued=40), service_seconds=0.05)
        record_answer(router, f"{SERVICE}-1", 0.0, report(in_flight=1), service_seconds=0.05)
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 20, 0.0)))

    def test_calls_go_to_a_remote_data_centre_if_there_is_no_local_upstream(self):
        self.assertEqual({f"{SERVICE}-0"}, set(chosen_counts(new_router(["far"]), 5, 0.0)))


class MembershipTests(unittest.TestCase):
    def test_a_late_end_of_a_removed_instance_is_ignored(self):
        router = new_router(["near", "near"])
        router.record_sent(f"{SERVICE}-0", "read", 0.0)
        router.update_instances(SERVICE, [announcement(1)])
        router.record_result(attempt_result(f"{SERVICE}-0"), 0.1)
        self.assertEqual({f"{SERVICE}-1"}, set(chosen_counts(router, 5, 0.1)))

    def test_every_instance_is_reached_after_many_changes(self):
        router = new_router(["near"] * 9)
        for round_number in range(20):
            kept = [announcement(n) for n in range(9) if (n + round_number) % 3]
            router.update_instances(SERVICE, kept)
        router.update_instances(SERVICE, [announcement(n) for n in range(9)])
        self.assertEqual(9, len(chosen_counts(router, 400, 0.0)))


class LatencyGoalTests(unittest.TestCase):
    def test_call_stays_local_up_to_half_of_its_latency_goal(self):
        self.assertTrue(should_spill_over(0.3, 0.1))
        self.assertFalse(should_spill_over(0.3, 0.1, goal_seconds=1.0))
        self.assertTrue(should_spill_over(0.6, 0.1, goal_seconds=1.0))
        self.assertFalse(should_spill_over(0.6, 0.5, goal_seconds=1.0))
