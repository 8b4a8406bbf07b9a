"""Render the page of the fault matrix: ``python -m tests.matrix.render`` writes it.

The page is made from the ``covers`` decorators on the tests. Each cell lists the tests that cover
it, refers to the reason why it cannot occur, or says that no test covers it.
"""

import unittest
from collections import defaultdict
from pathlib import Path

from tests.matrix.cells import CELLS_ATTRIBUTE, Fault, Step
from tests.matrix.reasons import REASON_BY_IMPOSSIBLE_CELL

PAGE_PATH = Path(__file__).parent.parent.parent / "docs" / "internals" / "fault-matrix.md"
PROJECT_ROOT = PAGE_PATH.parent.parent.parent
NOT_COVERED = "not covered"
HEADING = """# The fault matrix

Each row is a kind of fault, each column a step at which a fault can occur. Numbers refer to the
tests below that inject the fault at the step; letters refer to the reason why the fault cannot
occur there. `make matrix` renders the page from the `covers` decorators on the tests. A test fails
when the page differs from them, so the page cannot list a test that does not exist. The tests run
in `make test`.

"""


def collect_tests_by_cell() -> dict[tuple[Fault, Step], list[str]]:
    """Return the ids of the tests that cover each cell, by cell."""
    tests_by_cell = defaultdict(list)
    loader = unittest.TestLoader()
    suite = loader.discover(
        str(PROJECT_ROOT / "tests"), pattern="test_*.py", top_level_dir=str(PROJECT_ROOT)
    )
    for test in _iterate_tests(suite):
        method = getattr(type(test), test._testMethodName, None)
        for cell in getattr(method, CELLS_ATTRIBUTE, ()):
            tests_by_cell[cell].append(test.id())
    return tests_by_cell


def render_page() -> str:
    """Return the text of the page, in Markdown."""
    tests_by_cell = collect_tests_by_cell()
    test_ids = sorted({test_id for cell_ids in tests_by_cell.values() for test_id in cell_ids})
    number_by_test_id = {test_id: number for number, test_id in enumerate(test_ids, start=1)}
    reasons = sorted(set(REASON_BY_IMPOSSIBLE_CELL.values()))
    letter_by_reason = {reason: chr(ord("a") + index) for index, reason in enumerate(reasons)}
    rows = [
        _render_row(fault, tests_by_cell, number_by_test_id, letter_by_reason) for fault in Fault
    ]
    covered = sum(1 for cell in tests_by_cell)
    impossible = len(REASON_BY_IMPOSSIBLE_CELL)
    total = len(Fault) * len(Step)
    lines = [
        HEADING
        + f"Of {total} cells {covered} are covered by {len(test_ids)} tests, {impossible} cannot"
        f" occur and {total - covered - impossible} are not covered yet.\n",
        "| fault | " + " | ".join(step.value for step in Step) + " |",
        "|---|" + "---|" * len(Step),
        *rows,
        "\n## Tests\n",
        *(f"{number}. `{test_id}`" for test_id, number in number_by_test_id.items()),
        "\n## Reasons\n",
        *(f"- {letter}: {reason}" for reason, letter in letter_by_reason.items()),
    ]
    return "\n".join(lines) + "\n"


def _render_row(fault: Fault, tests_by_cell, number_by_test_id, letter_by_reason) -> str:
    cells = []
    for step in Step:
        test_ids = tests_by_cell.get((fault, step))
        reason = REASON_BY_IMPOSSIBLE_CELL.get((fault, step))
        if test_ids:
            cells.append(", ".join(str(number_by_test_id[test_id]) for test_id in sorted(test_ids)))
        else:
            cells.append(letter_by_reason[reason] if reason else NOT_COVERED)
    return f"| {fault.value} | " + " | ".join(cells) + " |"


def _iterate_tests(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _iterate_tests(item)
        else:
            yield item


if __name__ == "__main__":
    PAGE_PATH.write_text(render_page())
