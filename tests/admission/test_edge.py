"""The edge refuses what a service that the call reaches would shed, and reopens by itself."""

import unittest

from bamboojunction.core.admission.edge import SOURCES_MAX, EdgeLevels
from bamboojunction.core.load import AdmissionLevel, LoadReport, RankShare, ServiceLevel

SHUT = AdmissionLevel((RankShare(4, 0.0001),))


class EdgeLevelsTests(unittest.TestCase):
    def refused(self, edge, now, services=("payments",), rank=4):
        return [
            number
            for number in range(100)
            if edge.refusal(services, rank, f"action-{number}", now) is not None
        ]

    def test_level_of_a_gate_refuses_its_rank_only(self):
        edge = EdgeLevels()
        edge.learn("payments", "payments-1", LoadReport(level=SHUT), 0.0)
        self.assertEqual(len(self.refused(edge, 0.0)), 100)
        self.assertEqual(self.refused(edge, 0.0, rank=1), [])
        self.assertEqual(self.refused(edge, 0.0, services=("bayfinder",)), [])

    def test_level_of_a_service_below_travels_up_through_answers(self):
        beside_parent, entry = EdgeLevels(), EdgeLevels()
        beside_parent.learn("payments", "payments-1", LoadReport(level=SHUT), 0.0, depth=1)
        below = beside_parent.export(("bayfinder", "payments"), 0.0)
        entry.learn("bayfinder", "bayfinder-1", LoadReport(below=below), 0.0)
        self.assertEqual(len(self.refused(entry, 0.0, ("bayfinder", "payments"))), 100)

    def test_latest_sources_of_a_large_service_count(self):
        edge = EdgeLevels()
        for number in range(10 * SOURCES_MAX):
            edge.learn("payments", f"payments-{number}", LoadReport(level=SHUT), 0.0)
        for number in range(SOURCES_MAX):
            edge.learn("payments", f"payments-{number}", LoadReport(), 0.1)
        self.assertEqual(self.refused(edge, 0.1), [])
        edge.learn("payments", f"payments-{SOURCES_MAX}", LoadReport(level=SHUT), 0.1)
        self.assertLess(len(self.refused(edge, 0.1)), 100 / SOURCES_MAX + 10)

    def test_levels_from_answers_to_callers_are_not_passed_on(self):
        edge = EdgeLevels()
        report = LoadReport(below=(ServiceLevel("payments", SHUT),))
        edge.learn("bayfinder", "bayfinder-2", report, 0.0)
        self.assertEqual(edge.export(("payments",), 0.0), ())

    def test_answer_that_no_longer_names_a_service_reopens_it_at_once(self):
        edge = EdgeLevels()
        report = LoadReport(below=(ServiceLevel("payments", SHUT),))
        edge.learn("bayfinder", "bayfinder-1", report, 0.0)
        edge.learn("bayfinder", "bayfinder-1", LoadReport(), 0.1)
        self.assertEqual(self.refused(edge, 0.1), [])

    def test_unconfirmed_level_opens_with_its_age(self):
        edge = EdgeLevels()
        half = AdmissionLevel((RankShare(4, 0.25),))
        edge.learn("payments", "payments-1", LoadReport(level=half), 0.0)
        self.assertAlmostEqual(edge.fraction("payments", 4, 1.0), 0.5)
        self.assertEqual(self.refused(edge, 2.0), [])

    def test_same_actions_are_admitted_by_every_node(self):
        level = AdmissionLevel((RankShare(4, 0.5),))
        edges = [EdgeLevels() for _ in range(2)]
        for edge, instance in zip(edges, ("payments-1", "payments-2"), strict=True):
            edge.learn("payments", instance, LoadReport(level=level), 0.0)
        first, second = (self.refused(edge, 0.0) for edge in edges)
        self.assertEqual(first, second)
        self.assertTrue(0 < len(first) < 100)
