"""The state of the local upstream follows its reports.

Reports can arrive late or out of order, also from an earlier incarnation, and must be ignored then.
"""

import unittest

from bamboojunction.core.membership.departures import UpstreamDeparture
from bamboojunction.core.membership.incarnations import REPORTS_TO_SUCCEED
from bamboojunction.platform.heartbeats import Departure, Heartbeat
from bamboojunction.platform_node.local_upstream import LocalUpstream, UpstreamChange


def heartbeat(instance_id="i-1", started_at=100, sequence=1, draining=False, service="menu"):
    return Heartbeat(
        instance_id, service, "10.0.0.1:80", 8, draining, started_at, sequence, cold_seconds=0.0
    )


class LocalUpstreamTests(unittest.TestCase):
    def setUp(self):
        self.local_upstream = LocalUpstream("menu")

    def test_first_heartbeat_starts_and_draining_ends(self):
        self.assertIs(self.local_upstream.apply(heartbeat()), UpstreamChange.STARTED)
        self.assertIs(self.local_upstream.apply(heartbeat(sequence=2)), UpstreamChange.NONE)
        self.assertIs(
            self.local_upstream.apply(heartbeat(sequence=3, draining=True)), UpstreamChange.DRAINING
        )
        self.assertFalse(self.local_upstream.is_serving)

    def test_late_heartbeat_of_the_same_incarnation_changes_nothing(self):
        self.local_upstream.apply(heartbeat(sequence=5))
        self.assertIs(
            self.local_upstream.apply(heartbeat(sequence=4, draining=True)), UpstreamChange.NONE
        )
        self.assertTrue(self.local_upstream.is_serving)

    def test_late_heartbeat_after_draining_changes_nothing(self):
        self.local_upstream.apply(heartbeat(sequence=5, draining=True))
        self.assertIs(self.local_upstream.apply(heartbeat(sequence=4)), UpstreamChange.NONE)
        self.assertFalse(self.local_upstream.is_serving)

    def test_late_heartbeat_of_an_earlier_incarnation_changes_nothing(self):
        self.local_upstream.apply(heartbeat("i-2", started_at=200))
        self.assertIs(
            self.local_upstream.apply(heartbeat("i-1", started_at=100, sequence=9)),
            UpstreamChange.NONE,
        )
        self.assertEqual(self.local_upstream.instance_id, "i-2")

    def test_reports_count_after_a_restart_during_which_the_clock_jumped_back(self):
        """Reports of an upstream were acknowledged and ignored, that it drains as well."""
        self.local_upstream.apply(heartbeat(started_at=200, sequence=9))
        early = heartbeat(started_at=198, sequence=1, draining=True)
        self.assertIs(self.local_upstream.apply(early), UpstreamChange.DRAINING)
        self.assertFalse(self.local_upstream.is_serving)

    def test_upstream_that_reports_alone_is_current_whatever_its_start(self):
        self.local_upstream.apply(heartbeat("i-2", started_at=200, sequence=9))
        changes = [
            self.local_upstream.apply(heartbeat("i-1", started_at=198, sequence=number))
            for number in range(1, REPORTS_TO_SUCCEED + 1)
        ]
        self.assertEqual(
            changes, [UpstreamChange.NONE] * (REPORTS_TO_SUCCEED - 1) + [UpstreamChange.STARTED]
        )
        self.assertEqual(self.local_upstream.instance_id, "i-1")
        # A late report of the incarnation that was replaced, with the later start.
        self.local_upstream.apply(heartbeat("i-2", started_at=200, sequence=10))
        self.assertEqual(self.local_upstream.instance_id, "i-1")

    def test_late_reports_between_those_of_the_current_incarnation_change_nothing(self):
        for number in range(1, 2 * REPORTS_TO_SUCCEED):
            self.local_upstream.apply(heartbeat("i-2", started_at=200, sequence=number))
            self.local_upstream.apply(heartbeat("i-1", started_at=100, sequence=number))
        self.assertEqual(self.local_upstream.instance_id, "i-2")

    def test_upstream_goes_on_after_a_late_report_that_an_earlier_incarnation_drained(self):
        self.local_upstream.apply(heartbeat(started_at=200, sequence=1))
        self.local_upstream.apply(heartbeat(started_at=100, sequence=9, draining=True))
        change = self.local_upstream.apply(heartbeat(started_at=200, sequence=2))
        self.assertIs(change, UpstreamChange.STARTED)

    def test_restart_under_the_same_id_is_a_new_incarnation(self):
        self.local_upstream.apply(heartbeat(sequence=9))
        change = self.local_upstream.apply(heartbeat(started_at=200, sequence=1))
        self.assertIs(change, UpstreamChange.STARTED)

    def test_departed_upstream_ignores_later_heartbeats(self):
        self.local_upstream.apply(heartbeat(sequence=1))
        self.assertIs(self.local_upstream.apply(Departure("i-1")), UpstreamChange.GONE)
        self.assertIs(self.local_upstream.apply(heartbeat(sequence=2)), UpstreamChange.NONE)
        self.assertFalse(self.local_upstream.is_serving)

    def test_departure_before_the_first_heartbeat_is_remembered(self):
        self.local_upstream.apply(Departure("i-1"))
        self.local_upstream.apply(heartbeat(sequence=2))
        self.assertFalse(self.local_upstream.is_serving)

    def test_departure_of_an_earlier_incarnation_changes_nothing(self):
        self.local_upstream.apply(heartbeat("i-2", started_at=200))
        self.assertIs(self.local_upstream.apply(Departure("i-1")), UpstreamChange.NONE)
        self.assertTrue(self.local_upstream.is_serving)

    def test_heartbeat_of_another_service_changes_nothing(self):
        self.assertIs(self.local_upstream.apply(heartbeat(service="billing")), UpstreamChange.NONE)
        self.assertFalse(self.local_upstream.is_known)

    def test_incarnation_that_starts_draining_ends_the_earlier_one(self):
        self.local_upstream.apply(heartbeat())
        change = self.local_upstream.apply(heartbeat("i-2", started_at=200, draining=True))
        self.assertIs(change, UpstreamChange.DRAINING)
        self.assertFalse(self.local_upstream.is_serving)


class RestartedNodeTests(unittest.TestCase):
    """A node that starts again trusts no heartbeat before it knows the earlier departures."""

    def setUp(self):
        self.local_upstream = LocalUpstream("menu", are_departures_known=False)

    def test_heartbeat_takes_effect_once_the_departures_are_known(self):
        self.assertIs(self.local_upstream.apply(heartbeat(sequence=2)), UpstreamChange.NONE)
        self.assertIs(self.local_upstream.apply(heartbeat(sequence=1)), UpstreamChange.NONE)
        self.assertFalse(self.local_upstream.is_serving)
        self.local_upstream.restore_departures(())
        self.assertTrue(self.local_upstream.is_serving)
        self.assertEqual(self.local_upstream.latest_heartbeat.sequence, 2)

    def test_late_heartbeat_of_a_departed_upstream_changes_nothing(self):
        self.local_upstream.apply(heartbeat())
        self.local_upstream.restore_departures([UpstreamDeparture("i-1", 100)])
        self.assertFalse(self.local_upstream.is_serving)
        self.local_upstream.apply(heartbeat(sequence=3))
        self.assertFalse(self.local_upstream.is_serving)

    def test_departure_while_the_earlier_ones_are_unknown_takes_effect(self):
        self.local_upstream.apply(heartbeat())
        self.local_upstream.apply(Departure("i-1"))
        self.local_upstream.restore_departures(())
        self.assertFalse(self.local_upstream.is_serving)

    def test_departures_that_are_read_late_end_an_upstream_in_use(self):
        self.local_upstream.restore_departures(())
        self.local_upstream.apply(heartbeat())
        changes = []
        self.local_upstream.on_change = changes.append
        self.local_upstream.restore_departures([UpstreamDeparture("i-1", 100, 1)])
        self.assertEqual(changes, [UpstreamChange.GONE])
        self.assertFalse(self.local_upstream.is_serving)
