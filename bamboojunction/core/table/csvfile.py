"""Reading of the table from comma-separated text."""

import csv
import io
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.core.table.rows import Effect, Row, Table

COLUMNS = ("kind", "rank", "weight", "effect", "deadline_ms", "retries", "slots_max", "services")


@dataclass(slots=True, frozen=True)
class TableProblem:
    """Name the cell that is wrong and what is allowed there; lines count from 1."""

    line: int
    column: str
    value: str
    expected: str


def parse_table(text: str, version: int, edit_id: str) -> Result[Table, list[TableProblem]]:
    """Read a whole table, or return every problem found."""
    reader = csv.DictReader(io.StringIO(text))
    problems: list[TableProblem] = []
    by_kind: dict[str, Row] = {}
    for line, cells in enumerate(reader, start=2):
        try:
            row = _read_row(cells)
        except (KeyError, ValueError) as error:
            problems.append(TableProblem(line, "", str(cells), str(error)))
            continue
        by_kind[row.kind] = row
    if problems:
        return Err(problems)
    return Ok(Table(version=version, edit_id=edit_id, by_kind=by_kind))


def _read_row(cells: dict[str, str]) -> Row:
    return Row(
        kind=cells["kind"],
        rank=int(cells["rank"]),
        weight=int(cells["weight"]),
        effect=Effect(cells["effect"]),
        deadline_ms=int(cells["deadline_ms"]),
        retries=int(cells["retries"]),
        slots_max=int(cells["slots_max"]),
        services=tuple(cells["services"].split()),
    )
