"""The page of events names exactly the events that the code writes."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAME = r"[a-z]+\.[a-z_]+"


class EventPageTests(unittest.TestCase):
    def test_page_names_every_event_and_no_other(self):
        source = (ROOT / "bamboojunction/telemetry/events.py").read_text()
        written = set(re.findall(rf'"({NAME})"', source))
        page = (ROOT / "docs/ref/events.md").read_text()
        cells = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
        named = {name for cell in cells for name in re.findall(rf"`({NAME})`", cell)}
        self.assertEqual(written, named)
