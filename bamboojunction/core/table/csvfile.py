"""Parsing of the table from the CSV export of a spreadsheet."""

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
    row_from_cells,
)
from bamboojunction.core.table.problems import TableProblem
from bamboojunction.core.table.rows import Row, Table
from bamboojunction.core.table.validation import find_cross_row_problems

TEXT_MAX_CHARACTERS = 400_000
ROWS_MAX = 1_000
DELIMITERS = (",", ";", "\t")
# Custom columns of the operators have this prefix. They are kept and otherwise ignored.
CUSTOM_COLUMN_PREFIX = "x-"
COMMENT_PREFIX = "#"

RowsCheck = Callable[[dict[str, Row]], Iterator[TableProblem]]


@dataclass(slots=True, frozen=True)
class CsvRecord:
    """The cells of one CSV record and the number of the line on which it starts."""

    line: int
    cells: list[str]


def decode_text(content: bytes) -> Result[str, TableProblem]:
    """Decode a file as UTF-16 if it starts with a UTF-16 byte order mark, else as UTF-8."""
    encoding = "utf-8-sig"
    if content.startswith((codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)):
        encoding = "utf-16"
    try:
        return Ok(content.decode(encoding))
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b"\n") + 1
        value = repr(content[error.start : error.end])
        return Err(
            TableProblem(line, "", value, "text in UTF-8, or in UTF-16 with a byte order mark")
        )


def parse_table(
    text: str, version: int, edit_id: str, *, strict: bool = False
) -> Result[Table, list[TableProblem]]:
    """Return the table that a CSV text contains, or every problem found in it.

    With ``strict``, the rules that concern several rows are checked too, and an unknown
    column is a problem unless its name starts with ``x-``. A text from a peer was validated when
    the edit was accepted, possibly by another release, so its unknown columns are kept.
    """
    if len(text) > TEXT_MAX_CHARACTERS:
        expected = f"at most {TEXT_MAX_CHARACTERS} characters"
        return Err([TableProblem(0, "", str(len(text)), expected)])
    records = _parse_records(text)
    if records.is_err():
        return Err([records.err()])
    if not records.ok():
        return Err([TableProblem(1, "", "", "a header line with the names of the columns")])
    header, *rest = records.ok()
    names = [name.strip().lower() for name in header.cells]
    problems = _find_header_problems(header.line, names, strict)
    if problems:
        return Err(problems)
    check_rows = find_cross_row_problems if strict else _no_problems
    return _parse_rows(names, rest, Table(version=version, edit_id=edit_id), check_rows)


def _parse_records(text: str) -> Result[list[CsvRecord], TableProblem]:
    text = text.removeprefix("\ufeff")
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=_detect_delimiter(text), strict=True
    )
    records: list[CsvRecord] = []
    start_line = 1
    try:
        for cells in reader:
            records.append(CsvRecord(start_line, cells))
            start_line = reader.line_num + 1
    except csv.Error as error:
        expected = f"cells as a spreadsheet exports them ({error})"
        return Err(TableProblem(start_line, "", "", expected))
    return Ok([record for record in records if _is_data_record(record)])


def _is_data_record(record: CsvRecord) -> bool:
    is_blank = not any(cell.strip() for cell in record.cells)
    return not is_blank and not record.cells[0].lstrip().startswith(COMMENT_PREFIX)


def _detect_delimiter(text: str) -> str:
    lines = (line for line in text.splitlines() if line.strip())
    header = next((line for line in lines if not line.startswith(COMMENT_PREFIX)), "")
    return max(DELIMITERS, key=header.count)


def _find_header_problems(line: int, names: list[str], strict: bool) -> list[TableProblem]:
    missing = [name for name in REQUIRED_COLUMN_NAMES if name not in names]
    repeated = [name for name, count in Counter(names).items() if count > 1 and name]
    unknown = [
        name
        for name in names
        if name and name not in COLUMN_NAMES and not name.startswith(CUSTOM_COLUMN_PREFIX)
    ]
    allowed = (
        f"one of {', '.join(COLUMN_NAMES)}, or a name that starts with '{CUSTOM_COLUMN_PREFIX}'"
    )
    return [
        *(
            TableProblem(line, name, "", "a column with this name in the header")
            for name in missing
        ),
        *(TableProblem(line, name, name, "each column once") for name in repeated),
        *(TableProblem(line, name, name, allowed) for name in unknown if strict),
    ]


def _parse_rows(
    names: list[str], records: list[CsvRecord], empty_table: Table, check_rows: RowsCheck
) -> Result[Table, list[TableProblem]]:
    if not records or len(records) > ROWS_MAX:
        return Err([TableProblem(0, "", f"{len(records)} rows", f"1 to {ROWS_MAX} rows")])
    problems: list[TableProblem] = []
    by_kind: dict[str, Row] = {}
    line_by_kind: dict[str, int] = {}
    for record in records:
        match _parse_record(names, record):
            case Err(found):
                problems.extend(found)
            case Ok(row) if row.kind in by_kind:
                expected = f"each kind once (first on line {line_by_kind[row.kind]})"
                problems.append(TableProblem(record.line, "kind", row.kind, expected, row.kind))
            case Ok(row):
                by_kind[row.kind] = row
                line_by_kind[row.kind] = record.line
    problems.extend(_add_line_numbers(check_rows(by_kind), line_by_kind))
    if problems:
        return Err(sorted(problems, key=lambda problem: problem.line))
    return Ok(replace(empty_table, by_kind=by_kind))


def _parse_record(names: list[str], record: CsvRecord) -> Result[Row, list[TableProblem]]:
    surplus = [cell for cell in record.cells[len(names) :] if cell.strip()]
    if surplus:
        expected = f"{len(names)} cells, as in the header"
        return Err([TableProblem(record.line, "", " ".join(surplus), expected)])
    cells = {name: cell.strip() for name, cell in zip(names, record.cells, strict=False) if name}
    kind = cells.get("kind", "")
    return row_from_cells(cells).map_err(
        lambda found: [
            TableProblem(record.line, problem.column, problem.value, problem.expected, kind)
            for problem in found
        ]
    )


def _no_problems(by_kind: dict[str, Row]) -> Iterator[TableProblem]:
    return iter(())


def _add_line_numbers(
    problems: Iterator[TableProblem], line_by_kind: dict[str, int]
) -> Iterator[TableProblem]:
    return (replace(problem, line=line_by_kind[problem.kind]) for problem in problems)
