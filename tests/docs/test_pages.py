"""Tests that the reference pages are complete and that links between pages resolve."""

import re
import unittest
from pathlib import Path

from bamboojunction.callers import headers
from bamboojunction.checks import addresses, limits
from bamboojunction.core.outcomes import NotRunReason, UnknownReason
from bamboojunction.management.commands.call import CallCommand
from bamboojunction.telemetry.metrics import DROPPED_SAMPLES_METRIC

PROJECT_ROOT = Path(__file__).parents[2]
LINK_PATTERN = re.compile(r"\]\(([^)#]+)\)")
MESSAGE_ID_PATTERN = re.compile(r'"((?:addresses|limits)\.[EW]\d{3})"')


def read_page(name: str) -> str:
    return (PROJECT_ROOT / "docs" / "ref" / name).read_text()


class ReferenceTests(unittest.TestCase):
    def test_every_reason_has_a_row_under_its_outcome(self):
        not_run, unknown = read_page("outcomes.md").split("## `unknown`")
        for page, reasons in ((not_run, NotRunReason), (unknown, UnknownReason)):
            missing = [reason.value for reason in reasons if f"| `{reason.value}` |" not in page]
            self.assertEqual(missing, [])

    def test_every_header_has_a_row(self):
        page = read_page("headers.md")
        names = [value for name, value in vars(headers).items() if name.isupper()]
        names.remove(headers.NODE_HEADER_PREFIX)
        self.assertEqual([name for name in names if f"| `{name}` |" not in page], [])

    def test_every_check_message_has_a_row(self):
        page = read_page("commands.md")
        for module in (addresses, limits):
            for message_id in MESSAGE_ID_PATTERN.findall(Path(module.__file__).read_text()):
                self.assertIn(f"| `{message_id}` |", page)

    def test_metric_of_omitted_timings_has_a_row(self):
        self.assertIn(f"| `{DROPPED_SAMPLES_METRIC}` |", read_page("metrics.md"))

    def test_numeric_options_of_bamboo_call_state_a_range_or_unit(self):
        description_by_option = {option.name: option.description for option in CallCommand.options}
        self.assertRegex(description_by_option["count"], r"\d")
        self.assertRegex(description_by_option["rate"], "a second")
        self.assertRegex(description_by_option["deadline-ms"], "milliseconds")


class LinkTests(unittest.TestCase):
    def test_links_between_pages_resolve(self):
        pages = [*PROJECT_ROOT.glob("*.md"), *PROJECT_ROOT.glob("docs/**/*.md")]
        broken_links = [
            f"{page.relative_to(PROJECT_ROOT)}: {target}"
            for page in pages
            for target in LINK_PATTERN.findall(page.read_text())
            if "://" not in target and not (page.parent / target).exists()
        ]
        self.assertEqual(broken_links, [])
