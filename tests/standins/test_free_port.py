"""Tests that the stand-ins do not hand out a port twice."""

import unittest
from unittest import mock

from bamboo_standins import process_fleet


class FreePortTests(unittest.TestCase):
    # A node of a soak test got one port for two purposes and ended at each start.
    def test_port_that_was_handed_out_and_is_not_in_use_yet(self):
        with mock.patch.object(process_fleet, "_PORT_RANDOM") as ports:
            ports.randrange.side_effect = [20_001, 20_001, 20_001, 20_002]
            first, second = (process_fleet.free_port("127.0.0.9") for _ in range(2))
        self.assertEqual((first, second), (20_001, 20_002))
