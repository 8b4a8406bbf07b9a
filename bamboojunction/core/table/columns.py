"""The columns of the table: how each cell is read, and what is allowed in it."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.core.table.rows import Effect, Row

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_EXPECTED = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
RANK_MAX = 9
WEIGHT_MAX = 1_000
DEADLINE_MIN_MS = 10
DEADLINE_MAX_MS = 120_000
RETRIES_MAX = 10
SLOTS_MAX = 10_000
SERVICES_MAX = 64
# An integer in a spreadsheet's plain export has no separators and no more digits than this.
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,9}")

CellValue = str | int | Effect | tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Column:
    """Describe a column; a column with a ``default`` may be missing or left empty."""

    name: str
    read: Callable[[str], Result[CellValue, str]]
    default: str | None = None


@dataclass(slots=True, frozen=True)
class CellProblem:
    """Name a cell that is wrong and what is allowed there."""

    column: str
    value: str
    expected: str


def read_row(cells: dict[str, str]) -> Result[Row, list[CellProblem]]:
    """Read the known cells of a row and keep the unknown ones."""
    results = {column.name: _read_cell(column, cells) for column in COLUMNS}
    problems = [result.err() for result in results.values() if result.is_err()]
    if problems:
        return Err(problems)
    values = {name: result.ok() for name, result in results.items()}
    unknown = ((name, cell) for name, cell in cells.items() if name not in COLUMN_NAMES)
    return Ok(Row(**values, extra=tuple(sorted((name, cell) for name, cell in unknown if cell))))


def cells_of(row: Row) -> dict[str, str]:
    """Return the text of each cell, which ``read_row`` reads back as the same row."""
    known = {name: _cell_text(getattr(row, name)) for name in COLUMN_NAMES}
    return {**known, **dict(row.extra)}


def _read_cell(column: Column, cells: dict[str, str]) -> Result[CellValue, CellProblem]:
    text = cells.get(column.name, "").strip()
    if not text and column.default is None:
        return Err(CellProblem(column.name, text, "a value"))
    result = column.read(text or column.default or "")
    return result.map_err(lambda expected: CellProblem(column.name, text, expected))


def _cell_text(value: CellValue) -> str:
    match value:
        case tuple():
            return " ".join(value)
        case Effect():
            return value.value
        case _:
            return str(value)


def _read_name(text: str) -> Result[str, str]:
    return Ok(text) if NAME_PATTERN.fullmatch(text) else Err(NAME_EXPECTED)


def _read_effect(text: str) -> Result[Effect, str]:
    try:
        return Ok(Effect(text.lower()))
    except ValueError:
        return Err(" or ".join(repr(effect.value) for effect in Effect))


def _read_services(text: str) -> Result[tuple[str, ...], str]:
    names = tuple(name for name in re.split(r"[\s,;|]+", text) if name)
    bad_names = [name for name in names if not NAME_PATTERN.fullmatch(name)]
    if bad_names:
        return Err(f"service names separated by spaces, each {NAME_EXPECTED}")
    if len(set(names)) < len(names):
        return Err("each service once")
    if len(names) > SERVICES_MAX:
        return Err(f"at most {SERVICES_MAX} services")
    return Ok(names)


def _integer(low: int, high: int) -> Callable[[str], Result[int, str]]:
    def read(text: str) -> Result[int, str]:
        if INTEGER_PATTERN.fullmatch(text) and low <= int(text) <= high:
            return Ok(int(text))
        return Err(f"a whole number from {low} to {high}")

    return read


COLUMNS = (
    Column("kind", _read_name),
    Column("rank", _integer(0, RANK_MAX)),
    Column("weight", _integer(1, WEIGHT_MAX)),
    Column("effect", _read_effect),
    Column("deadline_ms", _integer(DEADLINE_MIN_MS, DEADLINE_MAX_MS)),
    Column("retries", _integer(0, RETRIES_MAX), default="0"),
    Column("slots_max", _integer(0, SLOTS_MAX), default="0"),
    Column("services", _read_services, default=""),
)
COLUMN_NAMES = tuple(column.name for column in COLUMNS)
REQUIRED_COLUMN_NAMES = tuple(column.name for column in COLUMNS if column.default is None)
