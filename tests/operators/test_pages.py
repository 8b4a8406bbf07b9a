"""The health and state pages render a node's state as JSON."""

import json
import unittest
from dataclasses import replace

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement, InstanceState
from bamboojunction.operators.health import HealthStatus, build_health, render_health
from bamboojunction.operators.state import NodeState, render_state

UPSTREAM = Announcement(
    instance="payments-1",
    incarnation="a1",
    service="payments",
    data_centre="seq-brisbane",
    region="south-east",
    address="127.0.0.1:7101",
    started_at=5.0,
    state=InstanceState.DRAINING,
)
STATE = NodeState(
    instance="payments-1",
    incarnation="a1",
    service="payments",
    data_centre="seq-brisbane",
    draining=False,
    table_version=17,
    load=LoadReport(queued=3, in_flight=2, limit=2),
    upstreams=[UPSTREAM],
)


class PageTests(unittest.TestCase):
    def test_health_shows_whether_the_node_is_draining(self):
        self.assertIs(build_health(STATE).status, HealthStatus.SERVING)
        draining = replace(STATE, draining=True)
        self.assertIs(build_health(draining).status, HealthStatus.DRAINING)

    def test_health_page_has_exactly_its_four_fields(self):
        page = json.loads(render_health(build_health(STATE)))
        expected = {
            "status": "serving",
            "instance": "payments-1",
            "table_version": 17,
            "known_upstreams": 1,
        }
        self.assertEqual(page, expected)

    def test_state_page_shows_load_and_upstreams(self):
        page = json.loads(render_state(STATE))
        self.assertEqual((page["load"]["queued"], page["load"]["limit"]), (3, 2))
        self.assertEqual(page["upstreams"][0]["state"], "draining")
