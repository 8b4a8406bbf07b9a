"""Each kind is mapped to all services that its call chains lead to."""

import unittest

from bamboojunction.core.admission.dependencies import (
    KINDS_MAX,
    ServiceDependencies,
    child_call_rank,
)
from bamboojunction.core.load_reports import (
    AdmissionLevel,
    LoadReport,
    RankFraction,
    ServiceAdmissionLevel,
)


class ServiceDependenciesTests(unittest.TestCase):
    def test_parent_reaches_what_its_child_calls_reach(self):
        dependencies = ServiceDependencies()
        level = AdmissionLevel((RankFraction(1, 0.5),))
        report = LoadReport(below=(ServiceAdmissionLevel("stock", level),))
        dependencies.record_answer("route", "dispatch", report, "menu")
        dependencies.record_answer("menu", "catalogue", None, None)
        self.assertEqual(dependencies.services("route"), ("dispatch", "stock"))
        self.assertEqual(set(dependencies.services("menu")), {"catalogue", "dispatch", "stock"})
        self.assertEqual(dependencies.services("other"), ())

    def test_child_calls_have_rank_1_or_a_more_urgent_one(self):
        self.assertEqual([child_call_rank(rank) for rank in (0, 1, 2, 9)], [0, 1, 1, 1])

    def test_number_of_kinds_is_bounded(self):
        dependencies = ServiceDependencies()
        for number in range(KINDS_MAX + 10):
            dependencies.record_answer(f"kind-{number}", "s", None, None)
        self.assertEqual(dependencies.services("kind-0"), ())
        self.assertEqual(dependencies.services(f"kind-{KINDS_MAX + 9}"), ("s",))
