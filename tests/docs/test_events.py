"""Tests that the reference page of log events lists exactly the events that the code logs."""

import re
import unittest
from pathlib import Path

PROJECT_ROOT = Path(__file__).parents[2]
EVENT_NAME_PATTERN = r"[a-z]+\.[a-z_]+"


class EventPageTests(unittest.TestCase):
    def test_page_lists_exactly_the_logged_events(self):
        source = (PROJECT_ROOT / "bamboojunction/telemetry/events.py").read_text()
        logged_names = set(re.findall(rf'"({EVENT_NAME_PATTERN})"', source))
        page = (PROJECT_ROOT / "docs/ref/events.md").read_text()
        cells = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
        documented_names = {
            name for cell in cells for name in re.findall(rf"`({EVENT_NAME_PATTERN})`", cell)
        }
        self.assertEqual(logged_names, documented_names)
