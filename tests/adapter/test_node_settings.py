"""Decoding of the platform's settings file."""

import unittest

from bamboojunction.platform.node_settings import parse_node_settings

SETTINGS_FILE = b"""
self:
  node: "sidecar-lac-1"
  zone: "lac"
  region: "nord"
  ip: "10.1.0.8"
  app_addr: "10.1.0.8:8301"
  service: "menu"
  bootstrap: false
  limits:
    max_fds: 4100
    memory_mb: 300
network:
  listen:
    outbound: "10.1.0.8:8304"
    ready: "10.1.0.8:8302"
    control: "10.1.0.8:8306"
  port_range:
    - 7620
    - 7635
provider:
  beat_ms: 1500
  provider:
    address: "10.200.1.7:8309"
    writes_per_s: 400
    reads_per_s: 2000
    history_s: 30
terms:
  new_field: true
  bounds:
    grace_s: 6
    budget_ratio: 0.2
    budget_window_s: 10
    budget_slack: 48
"""


class NodeSettingsTests(unittest.TestCase):
    def test_file_is_decoded(self):
        settings = parse_node_settings(SETTINGS_FILE).unwrap()
        self.assertEqual((settings.instance, settings.data_centre), ("sidecar-lac-1", "lac"))
        self.assertEqual(settings.link_address, "10.1.0.8:7620")
        self.assertEqual(settings.upstream_address, "10.1.0.8:8301")
        self.assertEqual((settings.retry_ratio, settings.retry_slack), (0.2, 48))
        self.assertEqual(settings.stop_seconds, 6)
        self.assertEqual(settings.store_history_seconds, 30)

    def test_missing_field_is_named(self):
        problem = parse_node_settings(SETTINGS_FILE.replace(b"app_addr", b"app")).unwrap_err()
        self.assertIn("app_addr", problem)
