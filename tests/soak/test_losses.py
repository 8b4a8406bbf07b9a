"""Tests that the checker reports requests that end without an answer, or without one in time."""

from bamboo_bench.soak.invariants import EndKind, RunEnd
from bamboo_bench.soak.invariants.bounds import CLOSED_MAX, OVERDUE_MANY
from bamboo_bench.soak.invariants.timeline import STORE, Change, Reload, Stop
from tests.soak.base import CALLING_NODE, END_OF_TEST, NODE, OTHER_NODE, CheckerTestCase


class ClosedConnectionTests(CheckerTestCase):
    def close_many(self, count: int = CLOSED_MAX + 1, **values) -> None:
        for number in range(count):
            self.send(str(number), machine=CALLING_NODE)
            self.run_once(str(number))
            self.end(str(number), 102.0, EndKind.CLOSED, **values)

    def test_kept_connections_that_nodes_in_touch_close(self):
        self.close_many()
        self.assertEqual(self.finish(), ["closed"])

    def test_as_many_as_are_allowed(self):
        self.close_many(CLOSED_MAX)
        self.assertEqual(self.finish(), [])

    def test_new_connections(self):
        self.close_many(is_kept=False)
        self.assertEqual(self.finish(), [])

    def test_requests_that_were_not_passed_on(self):
        for number in range(CLOSED_MAX + 1):
            self.send(str(number), machine=CALLING_NODE)
            self.close(str(number))
        self.assertEqual(self.finish(), [])

    def test_node_or_store_that_was_disturbed_lately(self):
        for name in (CALLING_NODE, STORE):
            self.create_checker()
            disturbance = self.timeline.begin(name, 50.0)
            self.close_many()
            disturbance.ended_at = 97.5
            with self.subTest(name=name, ended=97.5):
                self.assertEqual(self.finish(), [])
            disturbance.ended_at = 96.5
            with self.subTest(name=name, ended=96.5):
                self.assertEqual(self.finish(), ["closed"])

    def test_upstreams_that_broke_off_or_were_cut_off(self):
        for number in range(CLOSED_MAX + 1):
            self.send(str(number), machine=CALLING_NODE)
            self.run_once(str(number)).finish(101.5, RunEnd.BROKEN_OFF)
            self.close(str(number))
        self.assertEqual(self.finish(), [])
        self.create_checker()
        self.timeline.begin(OTHER_NODE, 101.0)
        self.close_many()
        self.assertEqual(self.finish(), [])


class PlannedWorkTests(CheckerTestCase):
    def setUp(self):
        super().setUp()
        self.send("a")

    def test_cut_around_each_sort_of_planned_work(self):
        self.run_once()
        self.close("a")
        self.assertEqual(self.finish(), [])
        for work in (Stop(NODE, 101.5), Reload(NODE, 101.5), Change(99.0, 99.5)):
            self.timeline.planned_work[:] = [work]
            with self.subTest(work=work):
                self.assertEqual(self.finish(), ["lost"])

    def test_cut_beyond_the_bounds_of_planned_work(self):
        self.run_once()
        self.close("a")
        # After the grace time, after the signal took effect, and after a configuration did.
        early = (Stop(NODE, 94.9), Reload(NODE, 97.9), Change(90.0, 98.9))
        other = (Stop(CALLING_NODE, 101.5), Reload(CALLING_NODE, 101.5))
        for work in early + other + (Reload(NODE, 102.1), Change(102.1, 102.2)):
            self.timeline.planned_work[:] = [work]
            with self.subTest(work=work):
                self.assertEqual(self.finish(), [])

    def test_cut_of_a_request_that_was_not_passed_on(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        self.close("a", at=100.15)
        self.assertEqual(self.finish(), [])
        self.close("a", at=100.25)
        self.assertEqual(self.finish(), ["lost"])

    def test_answer_that_ends_early(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        self.run_once()
        self.end("a", 102.0, EndKind.BROKEN, 200, has_stamp=True)
        self.assertEqual(self.finish(), ["lost"])

    def test_failure_of_the_nodes_own_while_the_upstream_works(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        run = self.run_once()
        self.end("a", 102.0, EndKind.WHOLE, 502)
        self.assertEqual(self.finish(), ["lost"])
        run.finish(101.5, RunEnd.ANSWERED)
        self.assertEqual(self.finish(), [])

    def test_upstream_that_broke_off(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        self.run_once().finish(101.5, RunEnd.BROKEN_OFF)
        self.close("a")
        self.assertEqual(self.finish(), [])

    def test_deadline_or_timeout_that_was_reached(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        for name in ("deadline", "timeout_at"):
            self.send("a", **{name: 102.0})
            self.run_once()
            self.close("a", at=102.0)
            self.assertEqual(self.finish(), [])
            self.close("a", at=101.9)
            self.assertEqual(self.finish(), ["lost"])

    def test_upstream_at_work_in_the_last_sixth_of_the_grace_time(self):
        self.timeline.planned_work.append(Stop(NODE, 97.0))
        run = self.run_once()
        self.close("a", at=102.5)
        self.assertEqual(self.finish(), [])
        run.finish(101.9, RunEnd.ANSWERED)
        self.assertEqual(self.finish(), ["lost"])
        # The request was sent too late after the signal to be excused.
        self.timeline.planned_work[:] = [Stop(NODE, 96.9)]
        run.finish(200.0, RunEnd.ANSWERED)
        self.assertEqual(self.finish(), ["lost"])

    def test_unplanned_disturbance_of_a_machine_that_the_request_may_have_passed(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        self.run_once()
        self.close("a")
        for name, expected in ((NODE, []), (OTHER_NODE, []), (CALLING_NODE, ["lost"])):
            disturbance = self.timeline.begin(name, 90.0)
            disturbance.ended_at = 97.5
            with self.subTest(name=name):
                self.assertEqual(self.finish(), expected)
            disturbance.ended_at = 96.5
            with self.subTest(name=name, ended=96.5):
                self.assertEqual(self.finish(), ["lost"])

    def test_disturbance_of_the_store_excuses_nothing(self):
        self.timeline.planned_work.append(Stop(NODE, 99.0))
        self.timeline.begin(STORE, 90.0)
        self.run_once()
        self.close("a")
        self.assertEqual(self.finish(), ["lost"])

    def test_cuts_beside_a_configuration_that_are_as_frequent_at_other_times(self):
        self.timeline.planned_work.append(Change(99.0, 99.5))
        self.run_once()
        self.close("a")
        self.send("b", sent_at=200.0)
        self.run_once("b", now=200.1)
        self.close("b", at=201.0)
        self.assertEqual(self.finish(), [])
        for number in range(3):
            self.send(f"c{number}", sent_at=200.0)
            self.end(f"c{number}", 201.0, EndKind.WHOLE, 200)
        self.assertEqual(self.finish(), ["lost"])

    def test_cut_beside_a_configuration_of_a_request_that_has_used_most_of_its_time(self):
        self.timeline.planned_work.append(Change(99.0, 106.0))
        self.run_once()
        self.close("a", at=106.9)
        self.assertEqual(self.finish(), ["lost"])
        self.close("a", at=107.1)
        self.assertEqual(self.finish(), [])


class CutWhereAllIsPlannedTests(CheckerTestCase):
    def setUp(self):
        self.create_checker(is_planned_work=True)
        self.send("a")

    def test_request_that_did_not_run(self):
        self.end("a", 102.0, EndKind.WHOLE, 502)
        self.assertEqual(self.finish(), [])

    def test_cut_or_failure_at_any_node(self):
        self.run_once().finish(101.5, RunEnd.ANSWERED)
        for kind, status in ((EndKind.CLOSED, None), (EndKind.BROKEN, 200), (EndKind.WHOLE, 502)):
            self.end("a", 102.0, kind, status)
            with self.subTest(kind=kind):
                self.assertEqual(self.finish(), ["lost"])

    def test_deadline_that_was_reached(self):
        self.run_once()
        self.end("a", 110.0, EndKind.WHOLE, 502)
        self.assertEqual(self.finish(), [])

    def test_last_sixth_of_the_grace_time(self):
        self.run_once()
        self.end("a", 102.5, EndKind.WHOLE, 502)
        self.timeline.planned_work.append(Stop(NODE, 97.0))
        self.assertEqual(self.finish(), [])
        self.timeline.planned_work[:] = [Stop(NODE, 96.9)]
        self.assertEqual(self.finish(), ["lost"])
        self.timeline.planned_work[:] = [Stop(NODE, 98.0)]
        self.assertEqual(self.finish(), ["lost"])


class OverdueTests(CheckerTestCase):
    def answer(self, count: int, seconds_after_timeout: float) -> None:
        for number in range(count):
            request_id = f"{seconds_after_timeout}-{number}"
            request = self.send(request_id)
            self.end(request_id, request.timeout_at + seconds_after_timeout, EndKind.WHOLE, 504)

    def test_more_than_half_are_not_answered_in_time(self):
        self.answer(100, -1.0)
        self.answer(3, 0.4)
        self.answer(3, 0.6)
        self.assertEqual(self.finish(END_OF_TEST), [])
        self.send("never")
        self.assertEqual(self.finish(END_OF_TEST), ["overdue"])

    def test_many_and_more_than_a_quarter(self):
        self.answer(3 * OVERDUE_MANY, 0.4)
        self.answer(OVERDUE_MANY, 0.6)
        self.assertEqual(self.finish(END_OF_TEST), [])
        self.send("never")
        self.assertEqual(self.finish(END_OF_TEST), ["overdue"])

    def test_connection_that_closes_after_the_timeout_is_no_answer(self):
        self.send("a")
        self.close("a", at=110.2)
        self.assertEqual(self.finish(END_OF_TEST), ["overdue"])

    def test_requests_that_ended_before_the_timeout(self):
        self.send("a")
        self.end("a", 100.0, EndKind.UNCONNECTED)
        self.assertEqual(self.finish(END_OF_TEST), [])

    def test_node_that_was_not_in_touch(self):
        self.answer(1, 0.6)
        self.timeline.begin(NODE, 110.4)
        self.assertEqual(self.finish(END_OF_TEST), [])
