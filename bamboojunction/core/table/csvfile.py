"""Reading of the table from a spreadsheet's export."""

import codecs
import csv
import io
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from bamboojunction.core.table.columns import (
    COLUMN_NAMES,
    REQUIRED_COLUMN_NAMES,
    read_row,
)
from bamboojunction.core.table.problems import TableProblem
from bamboojunction.core.table.rows import Row, Table
from bamboojunction.core.table.validation import cross_row_problems

TEXT_MAX_CHARACTERS = 400_000
ROWS_MAX = 1_000
DELIMITERS = (",", ";", "\t")
# Operators may keep columns of their own whose names start like this.
OWN_COLUMN_PREFIX = "x-"
COMMENT_PREFIX = "#"

Rules = Callable[[dict[str, Row]], Iterator[TableProblem]]


@dataclass(slots=True, frozen=True)
class Record:
    """Hold the cells of one row and the line on which it starts."""

    line: int
    cells: list[str]


def decode_text(content: bytes) -> Result[str, TableProblem]:
    """Decode a file by its byte order mark, or as UTF-8."""
    encoding = "utf-8-sig"
    if content.startswith((codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)):
        encoding = "utf-16"
    try:
        return Ok(content.decode(encoding))
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b"\n") + 1
        value = repr(content[error.start : error.end])
        return Err(TableProblem(line, "", value, "text in UTF-8, or UTF-16 with its mark"))


def parse_table(
    text: str, version: int, edit_id: str, *, for_operators: bool = False
) -> Result[Table, list[TableProblem]]:
    """Read a whole table, or return every problem found.

    A text ``for_operators`` also has to meet the rules that concern several rows, and an unknown
    column is a problem unless it starts with ``x-``. A text from a peer was checked before it was
    accepted, maybe by another release: its unknown columns are kept.
    """
    if len(text) > TEXT_MAX_CHARACTERS:
        expected = f"at most {TEXT_MAX_CHARACTERS} characters"
        return Err([TableProblem(0, "", str(len(text)), expected)])
    records = _read_records(text)
    if records.is_err():
        return Err([records.err()])
    if not records.ok():
        return Err([TableProblem(1, "", "", "a header line with the names of the columns")])
    header, *rest = records.ok()
    names = [name.strip().lower() for name in header.cells]
    problems = _header_problems(header.line, names, for_operators)
    if problems:
        return Err(problems)
    rules = cross_row_problems if for_operators else _no_problems
    return _read_rows(names, rest, Table(version=version, edit_id=edit_id), rules)


def _read_records(text: str) -> Result[list[Record], TableProblem]:
    text = text.removeprefix("\ufeff")
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=_delimiter(text), strict=True)
    records: list[Record] = []
    start = 1
    try:
        for cells in reader:
            records.append(Record(start, cells))
            start = reader.line_num + 1
    except csv.Error as error:
        expected = f"cells as a spreadsheet exports them ({error})"
        return Err(TableProblem(start, "", "", expected))
    return Ok([record for record in records if _is_data(record)])


def _is_data(record: Record) -> bool:
    is_blank = not any(cell.strip() for cell in record.cells)
    return not is_blank and not record.cells[0].lstrip().startswith(COMMENT_PREFIX)


def _delimiter(text: str) -> str:
    lines = (line for line in text.splitlines() if line.strip())
    header = next((line for line in lines if not line.startswith(COMMENT_PREFIX)), "")
    return max(DELIMITERS, key=header.count)


def _header_problems(line: int, names: list[str], for_operators: bool) -> list[TableProblem]:
    missing = [name for name in REQUIRED_COLUMN_NAMES if name not in names]
    repeated = [name for name, count in Counter(names).items() if count > 1 and name]
    unknown = [
        name
        for name in names
        if name and name not in COLUMN_NAMES and not name.startswith(OWN_COLUMN_PREFIX)
    ]
    allowed = f"one of {', '.join(COLUMN_NAMES)}, or a name that starts with '{OWN_COLUMN_PREFIX}'"
    return [
        *(TableProblem(line, name, "", "this column in the header") for name in missing),
        *(TableProblem(line, name, name, "each column once") for name in repeated),
        *(TableProblem(line, name, name, allowed) for name in unknown if for_operators),
    ]


def _read_rows(
    names: list[str], records: list[Record], empty: Table, rules: Rules
) -> Result[Table, list[TableProblem]]:
    if not records or len(records) > ROWS_MAX:
        return Err([TableProblem(0, "", f"{len(records)} rows", f"1 to {ROWS_MAX} rows")])
    problems: list[TableProblem] = []
    by_kind: dict[str, Row] = {}
    line_by_kind: dict[str, int] = {}
    for record in records:
        match _read_record(names, record):
            case Err(found):
                problems.extend(found)
            case Ok(row) if row.kind in by_kind:
                expected = f"each kind once (first on line {line_by_kind[row.kind]})"
                problems.append(TableProblem(record.line, "kind", row.kind, expected, row.kind))
            case Ok(row):
                by_kind[row.kind] = row
                line_by_kind[row.kind] = record.line
    problems.extend(_with_lines(rules(by_kind), line_by_kind))
    if problems:
        return Err(sorted(problems, key=lambda problem: problem.line))
    return Ok(replace(empty, by_kind=by_kind))


def _read_record(names: list[str], record: Record) -> Result[Row, list[TableProblem]]:
    surplus = [cell for cell in record.cells[len(names) :] if cell.strip()]
    if surplus:
        expected = f"{len(names)} cells, as in the header"
        return Err([TableProblem(record.line, "", " ".join(surplus), expected)])
    cells = {name: cell.strip() for name, cell in zip(names, record.cells, strict=False) if name}
    kind = cells.get("kind", "")
    return read_row(cells).map_err(
        lambda found: [
            TableProblem(record.line, problem.column, problem.value, problem.expected, kind)
            for problem in found
        ]
    )


def _no_problems(by_kind: dict[str, Row]) -> Iterator[TableProblem]:
    return iter(())


def _with_lines(
    problems: Iterator[TableProblem], line_by_kind: dict[str, int]
) -> Iterator[TableProblem]:
    return (replace(problem, line=line_by_kind[problem.kind]) for problem in problems)
