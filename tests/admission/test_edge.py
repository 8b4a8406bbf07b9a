"""The edge refuses actions that a service in their call chain would shed.

It admits them again when the service stops shedding or no longer reports.
"""

import unittest

from bamboojunction.core.admission.edge import INSTANCES_PER_SOURCE_MAX, EdgeShedder
from bamboojunction.core.load_reports import (
    AdmissionLevel,
    LoadReport,
    RankFraction,
    ServiceAdmissionLevel,
)

SHED_ALMOST_ALL = AdmissionLevel((RankFraction(4, 0.0001),))


class EdgeShedderTests(unittest.TestCase):
    def refused(self, edge, now, services=("payments",), rank=4):
        return [
            number
            for number in range(100)
            if edge.check(services, rank, f"action-{number}", now) is not None
        ]

    def test_level_of_a_gate_refuses_its_rank_only(self):
        edge = EdgeShedder()
        edge.record_report("payments", "payments-1", LoadReport(level=SHED_ALMOST_ALL), 0.0)
        self.assertEqual(len(self.refused(edge, 0.0)), 100)
        self.assertEqual(self.refused(edge, 0.0, rank=1), [])
        self.assertEqual(self.refused(edge, 0.0, services=("bayfinder",)), [])

    def test_level_of_a_service_below_is_relayed_in_answers(self):
        parent_node, entry_node = EdgeShedder(), EdgeShedder()
        parent_node.record_report(
            "payments", "payments-1", LoadReport(level=SHED_ALMOST_ALL), 0.0, depth=1
        )
        below = parent_node.levels_to_relay(("bayfinder", "payments"), 0.0)
        entry_node.record_report("bayfinder", "bayfinder-1", LoadReport(below=below), 0.0)
        self.assertEqual(len(self.refused(entry_node, 0.0, ("bayfinder", "payments"))), 100)

    def test_only_the_instances_that_reported_last_count(self):
        edge = EdgeShedder()
        for number in range(10 * INSTANCES_PER_SOURCE_MAX):
            edge.record_report(
                "payments", f"payments-{number}", LoadReport(level=SHED_ALMOST_ALL), 0.0
            )
        for number in range(INSTANCES_PER_SOURCE_MAX):
            edge.record_report("payments", f"payments-{number}", LoadReport(), 0.1)
        self.assertEqual(self.refused(edge, 0.1), [])
        edge.record_report(
            "payments",
            f"payments-{INSTANCES_PER_SOURCE_MAX}",
            LoadReport(level=SHED_ALMOST_ALL),
            0.1,
        )
        self.assertLess(len(self.refused(edge, 0.1)), 100 / INSTANCES_PER_SOURCE_MAX + 10)

    def test_levels_from_answers_to_root_calls_are_not_relayed(self):
        edge = EdgeShedder()
        report = LoadReport(below=(ServiceAdmissionLevel("payments", SHED_ALMOST_ALL),))
        edge.record_report("bayfinder", "bayfinder-2", report, 0.0)
        self.assertEqual(edge.levels_to_relay(("payments",), 0.0), ())

    def test_report_that_no_longer_lists_a_service_ends_its_shedding_at_once(self):
        edge = EdgeShedder()
        report = LoadReport(below=(ServiceAdmissionLevel("payments", SHED_ALMOST_ALL),))
        edge.record_report("bayfinder", "bayfinder-1", report, 0.0)
        edge.record_report("bayfinder", "bayfinder-1", LoadReport(), 0.1)
        self.assertEqual(self.refused(edge, 0.1), [])

    def test_admitted_fraction_grows_with_the_age_of_the_level(self):
        edge = EdgeShedder()
        quarter = AdmissionLevel((RankFraction(4, 0.25),))
        edge.record_report("payments", "payments-1", LoadReport(level=quarter), 0.0)
        self.assertAlmostEqual(edge.fraction("payments", 4, 1.0), 0.5)
        self.assertEqual(self.refused(edge, 2.0), [])

    def test_level_holds_until_the_next_answers_are_due(self):
        edge = EdgeShedder()
        quarter = AdmissionLevel((RankFraction(4, 0.25),))
        # An answer each 0.4 s, in turn from two instances.
        for number in range(10):
            report = LoadReport(level=quarter)
            edge.record_report("payments", f"payments-{number % 2}", report, 0.4 * number)
        last = 0.4 * 9
        self.assertAlmostEqual(edge.fraction("payments", 4, last + 0.4), 0.25)
        self.assertGreater(edge.fraction("payments", 4, last + 2.4), 0.4)

    def test_level_of_a_service_that_never_shed_may_be_relayed_and_left_out(self):
        edge = EdgeShedder()
        edge.record_report("other", "other-1", LoadReport(level=SHED_ALMOST_ALL), 0.0)
        empty = ServiceAdmissionLevel("payments", AdmissionLevel())
        edge.record_report("bayfinder", "bayfinder-1", LoadReport(below=(empty,)), 0.0)
        edge.record_report("bayfinder", "bayfinder-1", LoadReport(), 0.1)
        self.assertEqual(self.refused(edge, 0.1), [])

    def test_same_actions_are_admitted_by_every_node(self):
        level = AdmissionLevel((RankFraction(4, 0.5),))
        edges = [EdgeShedder() for _ in range(2)]
        for edge, instance in zip(edges, ("payments-1", "payments-2"), strict=True):
            edge.record_report("payments", instance, LoadReport(level=level), 0.0)
        first, second = (self.refused(edge, 0.0) for edge in edges)
        self.assertEqual(first, second)
        self.assertTrue(0 < len(first) < 100)
