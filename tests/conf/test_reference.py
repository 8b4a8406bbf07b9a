"""The reference page of the settings is equal to the schema."""

import unittest
from pathlib import Path

from bamboojunction.conf.reference import render_reference

PAGE = Path(__file__).parents[2] / "docs" / "ref" / "settings.md"


class ReferenceTests(unittest.TestCase):
    def test_page_equals_schema(self):
        self.assertEqual(PAGE.read_text(), render_reference())

    def test_every_number_has_a_unit(self):
        entries = render_reference().split("### ")[1:]
        numbers = [entry for entry in entries if "number from" in entry]
        self.assertTrue(numbers)
        self.assertTrue(all("- Unit: " in entry for entry in numbers))
