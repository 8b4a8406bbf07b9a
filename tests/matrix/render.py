"""Render the fault matrix from the marks on the tests by ``python -m tests.matrix.render``.

A cell names the tests that prove it, gives the reason why the fault cannot meet the step, or says
that nothing proves it yet.
"""

import unittest
from collections import defaultdict
from pathlib import Path

from tests.matrix.cells import CELLS_ATTRIBUTE, Fault, Step
from tests.matrix.reasons import REASONS_BY_CELL

PAGE = Path(__file__).parent.parent.parent / "docs" / "internals" / "fault-matrix.md"
ROOT = PAGE.parent.parent.parent
NOT_PROVED = "not proved"
HEADING = """# The fault matrix

Each row is a fault of the brief, each column a step that it can meet. Numbers name the tests below
that put the fault at the step; letters name the reason why the fault cannot meet the step. The page
is rendered from marks on the tests by `make matrix`; a test fails when it differs from them, so it
cannot name a test that does not exist. The tests run in `make test`.

"""


def marked_tests() -> dict[tuple[Fault, Step], list[str]]:
    """Return the names of the tests that prove each cell."""
    tests_by_cell = defaultdict(list)
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / "tests"), pattern="test_*.py", top_level_dir=str(ROOT))
    for test in _flatten(suite):
        method = getattr(type(test), test._testMethodName, None)
        for cell in getattr(method, CELLS_ATTRIBUTE, ()):
            tests_by_cell[cell].append(test.id())
    return tests_by_cell


def render() -> str:
    """Return the page."""
    tests_by_cell = marked_tests()
    names = sorted({name for cell_names in tests_by_cell.values() for name in cell_names})
    numbers = {name: number for number, name in enumerate(names, start=1)}
    reasons = sorted(set(REASONS_BY_CELL.values()))
    letters = {reason: chr(ord("a") + index) for index, reason in enumerate(reasons)}
    rows = [_row(fault, tests_by_cell, numbers, letters) for fault in Fault]
    proved = sum(1 for cell in tests_by_cell)
    impossible = len(REASONS_BY_CELL)
    total = len(Fault) * len(Step)
    lines = [
        HEADING + f"Of {total} cells {proved} are proved by {len(names)} tests, {impossible} cannot"
        f" occur and {total - proved - impossible} are not proved yet.\n",
        "| fault | " + " | ".join(step.value for step in Step) + " |",
        "|---|" + "---|" * len(Step),
        *rows,
        "\n## Tests\n",
        *(f"{number}. `{name}`" for name, number in numbers.items()),
        "\n## Reasons\n",
        *(f"- {letter}: {reason}" for reason, letter in letters.items()),
    ]
    return "\n".join(lines) + "\n"


def _row(fault: Fault, tests_by_cell, numbers, letters) -> str:
    cells = []
    for step in Step:
        names = tests_by_cell.get((fault, step))
        reason = REASONS_BY_CELL.get((fault, step))
        if names:
            cells.append(", ".join(str(numbers[name]) for name in sorted(names)))
        else:
            cells.append(letters[reason] if reason else NOT_PROVED)
    return f"| {fault.value} | " + " | ".join(cells) + " |"


def _flatten(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


if __name__ == "__main__":
    PAGE.write_text(render())
