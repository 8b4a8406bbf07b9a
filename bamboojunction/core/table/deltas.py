"""Deltas between two versions of the table, which nodes send instead of whole tables."""

from dataclasses import dataclass, replace
from enum import Enum, auto

from result import Err, Ok, Result

from bamboojunction.core.table.columns import cells_from_row, row_from_cells
from bamboojunction.core.table.render import content_hash
from bamboojunction.core.table.rows import Row, Table


@dataclass(slots=True, frozen=True)
class Delta:
    """The changes from one version of the table to a later one.

    ``content_hash`` is the hash of the resulting rows, against which the receiver checks them.
    """

    base_version: int
    version: int
    edit_id: str
    changed: tuple[dict[str, str], ...]
    removed: tuple[str, ...]
    content_hash: int


class DeltaFailure(Enum):
    """The reason why a delta could not be applied."""

    STALE = auto()
    BASE_MISMATCH = auto()
    MALFORMED = auto()
    HASH_MISMATCH = auto()


def delta_between(before: Table, after: Table) -> Delta:
    """Return the delta that turns one table into a later one."""
    changed = (
        cells_from_row(row)
        for kind, row in after.by_kind.items()
        if before.by_kind.get(kind) != row
    )
    removed = (kind for kind in before.by_kind if kind not in after.by_kind)
    return Delta(
        base_version=before.version,
        version=after.version,
        edit_id=after.edit_id,
        changed=tuple(changed),
        removed=tuple(removed),
        content_hash=content_hash(after),
    )


def apply_delta(table: Table, delta: Delta) -> Result[Table, DeltaFailure]:
    """Return the table that results from a delta, or the reason why it cannot be applied."""
    if delta.version <= table.version:
        return Err(DeltaFailure.STALE)
    if delta.base_version != table.version:
        return Err(DeltaFailure.BASE_MISMATCH)
    rows: list[Row] = []
    for cells in delta.changed:
        row = row_from_cells(cells)
        if row.is_err():
            return Err(DeltaFailure.MALFORMED)
        rows.append(row.ok())
    remaining = {kind: row for kind, row in table.by_kind.items() if kind not in delta.removed}
    by_kind = {**remaining, **{row.kind: row for row in rows}}
    result = replace(table, version=delta.version, edit_id=delta.edit_id, by_kind=by_kind)
    if content_hash(result) != delta.content_hash:
        return Err(DeltaFailure.HASH_MISMATCH)
    return Ok(result)
