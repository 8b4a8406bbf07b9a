"""Reports that were made before a departure must not bring an upstream back."""

import unittest

from bamboojunction.core.membership.departures import (
    INCARNATIONS_MAX,
    DepartureLog,
    UpstreamDeparture,
)


class DepartureLogTests(unittest.TestCase):
    def setUp(self):
        self.log = DepartureLog()

    def test_reports_of_a_departed_incarnation_are_covered_and_those_of_a_later_one_are_not(self):
        self.log.record(UpstreamDeparture("i-1", 100))
        self.assertTrue(self.log.has_left("i-1", 100, 9))
        self.assertTrue(self.log.has_left("i-1", 90, 99))
        self.assertFalse(self.log.has_left("i-1", 200, 1))
        self.assertFalse(self.log.has_left("i-2", 100, 1))

    def test_only_reports_before_the_drain_are_covered_by_it(self):
        self.log.record(UpstreamDeparture("i-1", 100, drained_at_sequence=5))
        self.assertTrue(self.log.has_left("i-1", 100, 4))
        self.assertFalse(self.log.has_left("i-1", 100, 6))

    def test_first_report_supplies_an_unknown_start(self):
        self.log.record(UpstreamDeparture("i-1", None))
        self.assertTrue(self.log.has_left("i-1", 100, 1))
        self.assertFalse(self.log.has_left("i-1", 101, 1))

    def test_departure_without_a_start_ends_the_incarnation_that_drained(self):
        self.log.record(UpstreamDeparture("i-1", 100, drained_at_sequence=5))
        self.log.record(UpstreamDeparture("i-1", None))
        self.assertTrue(self.log.has_left("i-1", 100, 99))
        self.assertFalse(self.log.has_left("i-1", 200, 1))

    def test_restored_departures_never_take_back_a_later_one(self):
        self.log.record(UpstreamDeparture("i-1", 200))
        self.log.restore([UpstreamDeparture("i-1", 100, 7), UpstreamDeparture("i-1", 200, 3)])
        self.assertEqual(self.log.departures(), (UpstreamDeparture("i-1", 200),))

    def test_number_of_departures_is_bounded(self):
        for number in range(2 * INCARNATIONS_MAX):
            self.log.record(UpstreamDeparture(f"i-{number}", number))
        remembered = self.log.departures()
        self.assertEqual(len(remembered), INCARNATIONS_MAX)
        self.assertEqual(remembered[-1].upstream_id, f"i-{2 * INCARNATIONS_MAX - 1}")
