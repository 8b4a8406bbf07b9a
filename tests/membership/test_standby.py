"""Instances that stand by for the store watchers of their data centre."""

import unittest

from bamboojunction.core.membership.standby import FAILED_CHECKS_MIN, STANDBYS, WatcherRole

RING = ("a", "b", "c", "d", "e")
WATCHERS = 2


def role_of(instance: str, *lost: str) -> WatcherRole:
    role = WatcherRole(instance, WATCHERS)
    role.update_instances(RING)
    for _ in range(FAILED_CHECKS_MIN):
        role.record_check([name for name in lost if name in role.predecessors()])
    return role


class WatcherRoleTests(unittest.TestCase):
    def test_first_instances_of_the_ring_watch_and_the_next_ones_check_them(self):
        watchers = [name for name in RING if role_of(name).is_watcher()]
        self.assertEqual(watchers, ["a", "b"])
        standbys = {name: tuple(role_of(name).predecessors()) for name in RING}
        self.assertEqual(standbys, {"a": (), "b": (), "c": RING[:2], "d": RING[:3], "e": ()})
        self.assertEqual(STANDBYS, 2)

    def test_standbys_take_the_place_of_as_many_watchers_as_are_lost(self):
        for lost, expected in ((("a",), "c"), (("a", "b"), "cd"), (("a", "b", "c"), "d")):
            with self.subTest(lost=lost):
                watchers = [name for name in "cde" if role_of(name, *lost).is_watcher()]
                self.assertLessEqual(set(expected), set(watchers))

    def test_one_failed_check_is_no_loss_and_a_later_success_ends_it(self):
        role = WatcherRole("c", WATCHERS)
        role.update_instances(RING)
        for unreachable, expected in ((["a"], False), (["a"], True), ([], False)):
            role.record_check(unreachable)
            self.assertIs(role.is_watcher(), expected)

    def test_lost_watcher_that_left_the_ring_does_not_count_twice(self):
        role = role_of("d", "a")
        self.assertFalse(role.is_watcher())
        role.update_instances(RING[1:])
        self.assertFalse(role.is_watcher())
