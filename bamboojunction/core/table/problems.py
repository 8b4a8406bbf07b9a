"""The problems that validation finds in a table, each with the position of its cell."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TableProblem:
    """An invalid cell, line or table and a description of what is allowed there.

    Lines count from 1; line 0 stands for the table as a whole. ``kind`` identifies the row if it is
    known, else it is empty.
    """

    line: int
    column: str
    value: str
    expected: str
    kind: str = ""

    def __str__(self) -> str:
        position = f"line {self.line}" if self.line else "table"
        row = f" (kind {self.kind})" if self.kind else ""
        column = f", column {self.column}" if self.column else ""
        return f"{position}{row}{column}: {self.value!r} is not allowed; allowed: {self.expected}"
