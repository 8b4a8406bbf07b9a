"""What is wrong with a table, said so that the operator finds the cell."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TableProblem:
    """Name the cell that is wrong and what is allowed there.

    Lines count from 1, the header's line; line 0 means the table as a whole. ``kind`` names the row
    when it is known.
    """

    line: int
    column: str
    value: str
    expected: str
    kind: str = ""

    def __str__(self) -> str:
        place = f"line {self.line}" if self.line else "table"
        row = f" (kind {self.kind})" if self.kind else ""
        column = f", column {self.column}" if self.column else ""
        return f"{place}{row}{column}: {self.value!r} is not allowed; allowed: {self.expected}"
