"""The reference page of the settings matches the schema."""

import re
import unittest
from dataclasses import fields
from pathlib import Path
from typing import get_type_hints

from bamboojunction.conf.reference import render_reference
from bamboojunction.conf.settings import Settings

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "ref" / "settings.md"


class ReferenceTests(unittest.TestCase):
    def test_page_equals_schema(self):
        self.assertEqual(PAGE.read_text(), render_reference())

    def test_every_number_has_a_unit(self):
        entries = render_reference().split("### ")[1:]
        numbers = [entry for entry in entries if "number from" in entry]
        self.assertTrue(numbers)
        self.assertTrue(all("- Unit: " in entry for entry in numbers))

    def test_every_setting_is_used(self):
        sources = (ROOT / "bamboojunction").rglob("*.py")
        text = "\n".join(
            path.read_text() for path in sources if path.parent.name not in ("conf", "checks")
        )
        names = [
            field.name for section in get_type_hints(Settings).values() for field in fields(section)
        ]
        unused = [name for name in names if not re.search(rf"\.{name}\b", text)]
        self.assertEqual(unused, [])
