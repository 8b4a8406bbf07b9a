"""The differences between two tables, by row."""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_from_row
from bamboojunction.core.table.rows import Row, Table


@dataclass(slots=True, frozen=True)
class RowAdded:
    """A row that only the newer table has."""

    row: Row


@dataclass(slots=True, frozen=True)
class RowRemoved:
    """A row that only the older table has."""

    row: Row


@dataclass(slots=True, frozen=True)
class RowChanged:
    """A row that both tables have, with different cells."""

    before: Row
    after: Row


RowChange = RowAdded | RowRemoved | RowChanged


def diff_tables(before: Table, after: Table) -> list[RowChange]:
    """Return the changes from ``before`` to ``after``, sorted by kind."""
    kinds = sorted(before.by_kind.keys() | after.by_kind.keys())
    changes = (_diff_row(before.by_kind.get(kind), after.by_kind.get(kind)) for kind in kinds)
    return [change for change in changes if change is not None]


def format_change(change: RowChange) -> str:
    """Return a change as one line of text, as in a diff."""
    match change:
        case RowAdded(row):
            return f"+ {row.kind}: {_format_cells(cells_from_row(row))}"
        case RowRemoved(row):
            return f"- {row.kind}: {_format_cells(cells_from_row(row))}"
        case RowChanged(before, after):
            return f"~ {after.kind}: {_format_diff(cells_from_row(before), cells_from_row(after))}"


def changed_kind(change: RowChange) -> str:
    """Return the kind of the row that changed."""
    match change:
        case RowAdded(row) | RowRemoved(row):
            return row.kind
        case RowChanged(_, after):
            return after.kind


def _diff_row(before: Row | None, after: Row | None) -> RowChange | None:
    if before == after:
        return None
    if before is None:
        return RowAdded(after)
    if after is None:
        return RowRemoved(before)
    return RowChanged(before, after)


def _format_cells(cells: dict[str, str]) -> str:
    return " ".join(f"{name}={cell!r}" for name, cell in cells.items() if name != "kind")


def _format_diff(before: dict[str, str], after: dict[str, str]) -> str:
    names = _in_column_order(before.keys() | after.keys())
    pairs = ((name, before.get(name, ""), after.get(name, "")) for name in names)
    return " ".join(f"{name}: {old!r} -> {new!r}" for name, old, new in pairs if old != new)


def _in_column_order(names: Iterable[str]) -> list[str]:
    known = [name for name in COLUMN_NAMES if name in names]
    return known + sorted(name for name in names if name not in COLUMN_NAMES)
