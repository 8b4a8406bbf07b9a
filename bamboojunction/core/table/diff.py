"""The differences between two tables, by row."""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboojunction.core.table.columns import COLUMN_NAMES, cells_of
from bamboojunction.core.table.rows import Row, Table


@dataclass(slots=True, frozen=True)
class RowAdded:
    """Report a kind that only the newer table has."""

    row: Row


@dataclass(slots=True, frozen=True)
class RowRemoved:
    """Report a kind that only the older table has."""

    row: Row


@dataclass(slots=True, frozen=True)
class RowChanged:
    """Report a kind whose cells differ."""

    before: Row
    after: Row


RowChange = RowAdded | RowRemoved | RowChanged


def diff_tables(before: Table, after: Table) -> list[RowChange]:
    """Return the rows that differ, in the order of their kinds."""
    kinds = sorted(before.by_kind.keys() | after.by_kind.keys())
    changes = (_diff_row(before.by_kind.get(kind), after.by_kind.get(kind)) for kind in kinds)
    return [change for change in changes if change is not None]


def describe(change: RowChange) -> str:
    """Return one line that shows a change."""
    match change:
        case RowAdded(row):
            return f"+ {row.kind}: {_cells_text(cells_of(row))}"
        case RowRemoved(row):
            return f"- {row.kind}: {_cells_text(cells_of(row))}"
        case RowChanged(before, after):
            return f"~ {after.kind}: {_changed_cells_text(cells_of(before), cells_of(after))}"


def kind_of(change: RowChange) -> str:
    """Return the kind that a change concerns."""
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


def _cells_text(cells: dict[str, str]) -> str:
    return " ".join(f"{name}={cell!r}" for name, cell in cells.items() if name != "kind")


def _changed_cells_text(before: dict[str, str], after: dict[str, str]) -> str:
    names = _ordered(before.keys() | after.keys())
    pairs = ((name, before.get(name, ""), after.get(name, "")) for name in names)
    return " ".join(f"{name}: {old!r} -> {new!r}" for name, old, new in pairs if old != new)


def _ordered(names: Iterable[str]) -> list[str]:
    known = [name for name in COLUMN_NAMES if name in names]
    return known + sorted(name for name in names if name not in COLUMN_NAMES)
