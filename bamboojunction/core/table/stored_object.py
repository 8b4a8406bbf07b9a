"""The platform object that stores the table, its schema version and a bounded edit history."""

from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_from_row, row_from_cells
from bamboojunction.core.table.diff import RowAdded, RowChange, RowChanged, RowRemoved, changed_kind
from bamboojunction.core.table.rows import Row, Table

TABLE_COLLECTION = "tables"
TABLE_OBJECT_NAME = "table"
SCHEMA_VERSION = 1
HISTORY_MAX_ENTRIES = 200
# Each edit sends the whole history to every node that watches the platform.
HISTORY_MAX_BYTES = 20_000


@dataclass(slots=True, frozen=True)
class Edit:
    """The author and the time of an edit; ``edited_at`` is an ISO 8601 timestamp."""

    edit_id: str
    edited_by: str
    edited_at: str
    note: str = ""


class HistoryEntry(msgspec.Struct, frozen=True):
    """One edit in the stored history."""

    edit_id: str
    edited_by: str = ""
    edited_at: str = ""
    note: str = ""
    replaced_version: int = 0
    changes: list["RowHistory"] = []


class RowHistory(msgspec.Struct, frozen=True):
    """The cells of one row that an edit changed.

    An empty ``before`` means that the row was added, an empty ``after`` that it was removed.
    """

    kind: str
    before: dict[str, str] = {}
    after: dict[str, str] = {}


class TableObject(msgspec.Struct, frozen=True):
    """The fields of the stored object's value that this release reads."""

    schema: int
    edit_id: str
    rows: list[dict[str, str]]
    history: list[HistoryEntry] = []


def read_table_object(value: dict, version: int) -> Result[Table, str]:
    """Return the table of an object's value, or the first problem found.

    A value with one invalid row is rejected as a whole.
    """
    parsed = read_object(value)
    if parsed.is_err():
        return parsed
    rows = [row_from_cells(cells) for cells in parsed.ok().rows]
    problems = [problem for row in rows if row.is_err() for problem in row.err()]
    if problems:
        first = problems[0]
        return Err(f"{first.column}: {first.value!r} is not allowed; allowed: {first.expected}")
    by_kind = {row.ok().kind: row.ok() for row in rows}
    return Ok(Table(version=version, edit_id=parsed.ok().edit_id, by_kind=by_kind))


def read_object(value: dict) -> Result[TableObject, str]:
    """Return the known fields of an object's value, or the validation error."""
    try:
        return Ok(msgspec.convert(value, TableObject))
    except msgspec.ValidationError as error:
        return Err(str(error))


def build_object_value(
    table: Table, edit: Edit, replaced_version: int, replaced: dict, changes: list[RowChange]
) -> dict:
    """Return the value to store in place of ``replaced``.

    Fields of ``replaced`` that this release does not know are kept, so that an older release does
    not delete what a newer one wrote.
    """
    history = read_object(replaced).map_or([], lambda found: found.history)
    entry = HistoryEntry(
        edit_id=edit.edit_id,
        edited_by=edit.edited_by,
        edited_at=edit.edited_at,
        note=edit.note,
        replaced_version=replaced_version,
        changes=[_row_history(change) for change in changes],
    )
    return {
        **replaced,
        "schema": max(SCHEMA_VERSION, int(replaced.get("schema", 0))),
        "edit_id": edit.edit_id,
        "rows": [cells_from_row(table.by_kind[kind]) for kind in sorted(table.by_kind)],
        "history": msgspec.to_builtins(_truncate_history([*history, entry])),
    }


def with_unknown_cells(table: Table, replaced: Table) -> Table:
    """Return ``table`` with the cells of ``replaced`` whose columns only a newer release knows.

    Columns that ``table`` has itself and the operators' custom columns (``x-``) are not copied.
    """
    by_kind = {
        kind: _with_unknown_cells(row, replaced.by_kind.get(kind))
        for kind, row in table.by_kind.items()
    }
    return replace(table, by_kind=by_kind)


def _with_unknown_cells(row: Row, replaced: Row | None) -> Row:
    if replaced is None or not replaced.extra:
        return row
    kept = ((name, cell) for name, cell in replaced.extra if not name.startswith("x-"))
    return replace(row, extra=tuple(sorted({**dict(kept), **dict(row.extra)}.items())))


def _row_history(change: RowChange) -> RowHistory:
    match change:
        case RowAdded(row):
            return RowHistory(row.kind, after=_history_cells(row))
        case RowRemoved(row):
            return RowHistory(row.kind, before=_history_cells(row))
        case RowChanged(before, after):
            old, new = _history_cells(before), _history_cells(after)
            names = [name for name in old | new if old.get(name) != new.get(name)]
            return RowHistory(
                changed_kind(change),
                before={name: old.get(name, "") for name in names},
                after={name: new.get(name, "") for name in names},
            )


def _history_cells(row: Row) -> dict[str, str]:
    cells = cells_from_row(row)
    return {name: cell for name, cell in cells.items() if name != COLUMN_NAMES[0]}


def _truncate_history(history: list[HistoryEntry]) -> list[HistoryEntry]:
    kept: list[HistoryEntry] = []
    size = 0
    for entry in reversed(history[-HISTORY_MAX_ENTRIES:]):
        size += len(msgspec.json.encode(entry))
        if kept and size > HISTORY_MAX_BYTES:
            break
        kept.append(entry)
    return kept[::-1]
