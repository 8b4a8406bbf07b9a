"""Wire names of the platform occur only in its adapter package."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "bamboojunction"
WIRE_NAMES = re.compile(
    r"bamboojunction-(request|deadline|server|expect|not|caller|instance)"
    r"|cold_left_ms|\bbeat_addr|vhosts|path_prefix|app_addr|store_revision|goal_ms",
    re.IGNORECASE,
)


class NameTests(unittest.TestCase):
    def test_no_wire_name_stands_outside_the_adapter(self):
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "platform" and WIRE_NAMES.search(path.read_text())
        ]
        self.assertEqual(found, [])
