"""The announcements that a node reads name each address once, by the latest start."""

import unittest

from bamboojunction.core.membership.view import Announcement
from bamboojunction.mesh.registry import without_superseded


def entry(instance, address, started_at):
    return Announcement(instance, "inc", "menu", "lac", "nord", address, started_at)


class SupersededTests(unittest.TestCase):
    def test_latest_start_at_an_address_wins(self):
        old, new = entry("a", "10.0.0.1:1", 100.0), entry("b", "10.0.0.1:1", 200.0)
        other = entry("c", "10.0.0.2:1", 50.0)
        found = without_superseded({item.instance: item for item in (new, old, other)})
        self.assertEqual(found, {"b": new, "c": other})
