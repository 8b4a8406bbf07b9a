"""Unit tests of the view, the ring, the failure detector and the removal policy."""

import random
import unittest
from dataclasses import replace

from bamboojunction.core.membership.failure_detector import FailureDetector
from bamboojunction.core.membership.gossip import GossipProtocol
from bamboojunction.core.membership.messages import SilenceReport, StateSummary
from bamboojunction.core.membership.removal import ISOLATED_AFTER_SECONDS, SILENCE_TIMEOUT_SECONDS
from bamboojunction.core.membership.ring import (
    MONITORS_PER_INSTANCE,
    PLATFORM_WATCHERS_PER_RING,
    Ring,
)
from bamboojunction.core.membership.view import (
    Announcement,
    InstanceState,
    MembershipView,
    superseding,
    with_state,
)
from bamboojunction.core.table.holder import CurrentTable


def announcement(number: int, data_centre: str = "north", **changes) -> Announcement:
    entry = Announcement(
        instance=f"upstream-{number}",
        incarnation=f"incarnation-{number}",
        service="bayfinder",
        data_centre=data_centre,
        region="region",
        address=f"10.0.0.{number}:7000",
        started_at=float(number),
    )
    return replace(entry, **changes)


def view_of(*entries: Announcement) -> MembershipView:
    view = MembershipView()
    for entry in entries:
        view.merge(entry)
    return view


class ViewTests(unittest.TestCase):
    def test_views_with_the_same_entries_agree_whatever_their_order(self):
        entries = [announcement(number) for number in range(1, 30)]
        shuffled = random.Random(1).sample(entries, len(entries))
        self.assertEqual(view_of(*entries).total_hash(), view_of(*shuffled).total_hash())

    def test_gone_and_forgotten_instances_are_not_part_of_the_hash(self):
        first, second = announcement(1), announcement(2)
        view = view_of(first, second, with_state(second, InstanceState.GONE))
        self.assertEqual(view.total_hash(), view_of(first).total_hash())
        view.forget(second.instance)
        self.assertEqual(view.total_hash(), view_of(first).total_hash())

    def test_later_incarnation_wins_also_over_a_higher_sequence(self):
        old = announcement(1, sequence=9)
        new = superseding(announcement(1, incarnation="z", started_at=0.0), old)
        view = view_of(new, old)
        self.assertEqual(view.by_instance[old.instance], new)

    def test_changed_services_are_named_once(self):
        view = view_of(announcement(1), announcement(2, service="payments"))
        self.assertEqual(view.pop_changed_services(), {"bayfinder", "payments"})
        view.merge(announcement(1))
        self.assertEqual(view.pop_changed_services(), set())


class RingTests(unittest.TestCase):
    def test_monitors_of_and_monitored_by_agree(self):
        view = view_of(*(announcement(number) for number in range(1, 12)))
        ring = Ring(view, "north")
        for monitor in view.by_instance:
            for monitored in ring.monitored_by(monitor):
                self.assertIn(monitor, ring.monitors_of(monitored))
                self.assertEqual(len(ring.monitors_of(monitored)), MONITORS_PER_INSTANCE)

    def test_other_data_centres_and_gone_instances_are_not_on_the_ring(self):
        gone = with_state(announcement(3), InstanceState.GONE)
        view = view_of(announcement(1), announcement(2, "south"), gone)
        self.assertEqual(Ring(view, "north").instances(), ["upstream-1"])

    def test_a_few_instances_watch_the_platform(self):
        view = view_of(*(announcement(number) for number in range(1, 40)))
        ring = Ring(view, "north")
        watchers = [name for name in view.by_instance if ring.watches_platform(name)]
        self.assertEqual(len(watchers), PLATFORM_WATCHERS_PER_RING)


class FailureDetectorTests(unittest.TestCase):
    def test_silence_counts_from_the_first_unanswered_probe(self):
        detector = FailureDetector()
        detector.record_probe("a", 1.0)
        self.assertEqual(detector.silent_seconds("a", 50.0), 0.0)
        detector.record_probe("a", 3.0)
        self.assertEqual(detector.silent_seconds("a", 5.0), 4.0)
        detector.record_message("a", 6.0)
        self.assertEqual(detector.silent_seconds("a", 9.0), 0.0)


class RemovalTests(unittest.TestCase):
    def setUp(self):
        self.entries = [announcement(number) for number in range(1, 5)]
        own, self.dead, *self.others = self.entries
        self.gossip = GossipProtocol(
            own, view_of(*self.entries), CurrentTable(), [], random.Random(1), str, str
        )
        self.now = 0.0

    def run_for(self, seconds: float, answering, reporting=()) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.gossip.tick(self.now)
            for peer in answering:
                self.gossip.handle_message(
                    peer.instance, StateSummary(0, 0, is_answer=True), self.now
                )
            report = SilenceReport(self.dead.instance, self.dead.incarnation)
            for peer in reporting:
                self.gossip.handle_message(peer.instance, report, self.now)

    def is_gone(self) -> bool:
        return self.gossip.view.by_instance[self.dead.instance].is_gone

    def test_one_monitor_alone_removes_no_instance(self):
        self.run_for(10 * SILENCE_TIMEOUT_SECONDS, self.others)
        self.assertFalse(self.is_gone())

    def test_two_monitors_remove_an_instance(self):
        self.run_for(2 * SILENCE_TIMEOUT_SECONDS, self.others, self.others[:1])
        self.assertTrue(self.is_gone())

    def test_reports_about_an_instance_that_answers_do_not_remove_it(self):
        self.run_for(10 * SILENCE_TIMEOUT_SECONDS, self.entries[1:], self.others)
        self.assertFalse(self.is_gone())

    def test_isolated_node_removes_no_instance(self):
        self.run_for(10 * SILENCE_TIMEOUT_SECONDS + ISOLATED_AFTER_SECONDS, [])
        states = {entry.is_gone for entry in self.gossip.view.by_instance.values()}
        self.assertEqual(states, {False})

    def test_pause_of_this_process_does_not_make_peers_silent(self):
        self.run_for(5.0, self.entries[1:])
        self.now += 300.0
        self.run_for(3.0, [], self.others)
        self.assertFalse(self.is_gone())

    def test_refuted_removal_doubles_the_silence_timeout(self):
        self.run_for(2 * SILENCE_TIMEOUT_SECONDS, self.others, self.others)
        gone = self.gossip.view.by_instance[self.dead.instance]
        back = superseding(self.dead, gone)
        self.gossip.merge_announcements([back], self.now)
        self.run_for(1.5 * SILENCE_TIMEOUT_SECONDS, self.others, self.others)
        self.assertFalse(self.is_gone())
        self.run_for(2 * SILENCE_TIMEOUT_SECONDS, self.others, self.others)
        self.assertTrue(self.is_gone())
