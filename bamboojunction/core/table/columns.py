"""The columns of the table, with the parser and the permitted values of each."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.core.table.rows import Effect, Row

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_DESCRIPTION = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
RANK_MAX = 9
WEIGHT_MAX = 1_000
DEADLINE_MIN_MS = 10
DEADLINE_MAX_MS = 120_000
RETRIES_MAX = 10
SLOTS_MAX = 10_000
SERVICES_MAX = 64
# Spreadsheets export integers without thousands separators; nine digits suffice for all limits.
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,9}")

CellValue = str | int | Effect | tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Column:
    """A column of the table.

    ``parse`` returns the value of a cell, or a description of the values that are allowed. A column
    with a ``default`` may be missing or have empty cells.
    """

    name: str
    parse: Callable[[str], Result[CellValue, str]]
    default: str | None = None


@dataclass(slots=True, frozen=True)
class CellProblem:
    """An invalid cell and a description of the values that are allowed in it."""

    column: str
    value: str
    expected: str


def row_from_cells(cells: dict[str, str]) -> Result[Row, list[CellProblem]]:
    """Return the row that the cells describe, or every problem found in them.

    Non-empty cells of unknown columns are kept in ``Row.extra``.
    """
    results = {column.name: _parse_cell(column, cells) for column in COLUMNS}
    problems = [result.err() for result in results.values() if result.is_err()]
    if problems:
        return Err(problems)
    values = {name: result.ok() for name, result in results.items()}
    unknown = ((name, cell) for name, cell in cells.items() if name not in COLUMN_NAMES)
    return Ok(Row(**values, extra=tuple(sorted((name, cell) for name, cell in unknown if cell))))


def cells_from_row(row: Row) -> dict[str, str]:
    """Return the text of each cell, from which ``row_from_cells`` builds an equal row."""
    known = {name: _format_cell(getattr(row, name)) for name in COLUMN_NAMES}
    return {**known, **dict(row.extra)}


def _parse_cell(column: Column, cells: dict[str, str]) -> Result[CellValue, CellProblem]:
    text = cells.get(column.name, "").strip()
    if not text and column.default is None:
        return Err(CellProblem(column.name, text, "a value"))
    result = column.parse(text or column.default or "")
    return result.map_err(lambda expected: CellProblem(column.name, text, expected))


def _format_cell(value: CellValue) -> str:
    match value:
        case tuple():
            return " ".join(value)
        case Effect():
            return value.value
        case _:
            return str(value)


def _parse_name(text: str) -> Result[str, str]:
    return Ok(text) if NAME_PATTERN.fullmatch(text) else Err(NAME_DESCRIPTION)


def _parse_effect(text: str) -> Result[Effect, str]:
    try:
        return Ok(Effect(text.lower()))
    except ValueError:
        return Err(" or ".join(repr(effect.value) for effect in Effect))


def _parse_services(text: str) -> Result[tuple[str, ...], str]:
    names = tuple(name for name in re.split(r"[\s,;|]+", text) if name)
    invalid_names = [name for name in names if not NAME_PATTERN.fullmatch(name)]
    if invalid_names:
        return Err(f"service names separated by spaces, each {NAME_DESCRIPTION}")
    if len(set(names)) < len(names):
        return Err("each service once")
    if len(names) > SERVICES_MAX:
        return Err(f"at most {SERVICES_MAX} services")
    return Ok(names)


def _integer_parser(minimum: int, maximum: int) -> Callable[[str], Result[int, str]]:
    def parse(text: str) -> Result[int, str]:
        if INTEGER_PATTERN.fullmatch(text) and minimum <= int(text) <= maximum:
            return Ok(int(text))
        return Err(f"a whole number from {minimum} to {maximum}")

    return parse


COLUMNS = (
    Column("kind", _parse_name),
    Column("rank", _integer_parser(0, RANK_MAX)),
    Column("weight", _integer_parser(1, WEIGHT_MAX)),
    Column("effect", _parse_effect),
    Column("deadline_ms", _integer_parser(DEADLINE_MIN_MS, DEADLINE_MAX_MS)),
    Column("retries", _integer_parser(0, RETRIES_MAX), default="0"),
    Column("slots_max", _integer_parser(0, SLOTS_MAX), default="0"),
    Column("services", _parse_services, default=""),
)
COLUMN_NAMES = tuple(column.name for column in COLUMNS)
REQUIRED_COLUMN_NAMES = tuple(column.name for column in COLUMNS if column.default is None)
