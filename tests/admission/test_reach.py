"""Each kind is mapped to all services that its call chains lead to."""

import unittest

from bamboojunction.core.admission.reach import KINDS_MAX, Reach, chain_rank
from bamboojunction.core.load import AdmissionLevel, LoadReport, RankShare, ServiceLevel


class ReachTests(unittest.TestCase):
    def test_parent_reaches_what_its_child_calls_reach(self):
        reach = Reach()
        level = AdmissionLevel((RankShare(1, 0.5),))
        report = LoadReport(below=(ServiceLevel("stock", level),))
        reach.learn("route", "dispatch", report, "menu")
        reach.learn("menu", "catalogue", None, None)
        self.assertEqual(reach.services("route"), ("dispatch", "stock"))
        self.assertEqual(set(reach.services("menu")), {"catalogue", "dispatch", "stock"})
        self.assertEqual(reach.services("other"), ())

    def test_chains_below_their_entry_are_as_urgent_as_each_other(self):
        self.assertEqual([chain_rank(rank) for rank in (0, 1, 2, 9)], [0, 1, 1, 1])

    def test_memory_is_bounded(self):
        reach = Reach()
        for number in range(KINDS_MAX + 10):
            reach.learn(f"kind-{number}", "s", None, None)
        self.assertEqual(reach.services("kind-0"), ())
        self.assertEqual(reach.services(f"kind-{KINDS_MAX + 9}"), ("s",))
