"""The rows that changed between two versions, as they travel between nodes."""

from dataclasses import dataclass, replace
from enum import Enum, auto

from result import Err, Ok, Result

from bamboojunction.core.table.columns import cells_of, read_row
from bamboojunction.core.table.render import content_hash
from bamboojunction.core.table.rows import Row, Table


@dataclass(slots=True, frozen=True)
class Delta:
    """Turn one version into a later one; ``content_hash`` proves the result."""

    base_version: int
    version: int
    edit_id: str
    changed: tuple[dict[str, str], ...]
    removed: tuple[str, ...]
    content_hash: int


class DeltaFailure(Enum):
    """Say why a delta did not apply."""

    OLD = auto()
    OTHER_BASE = auto()
    MALFORMED = auto()
    HASH_MISMATCH = auto()


def delta_between(before: Table, after: Table) -> Delta:
    """Return the delta that turns one table into a later one."""
    changed = (
        cells_of(row) for kind, row in after.by_kind.items() if before.by_kind.get(kind) != row
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
    """Return the later table, or say why the delta does not lead to it."""
    if delta.version <= table.version:
        return Err(DeltaFailure.OLD)
    if delta.base_version != table.version:
        return Err(DeltaFailure.OTHER_BASE)
    rows: list[Row] = []
    for cells in delta.changed:
        row = read_row(cells)
        if row.is_err():
            return Err(DeltaFailure.MALFORMED)
        rows.append(row.ok())
    kept = {kind: row for kind, row in table.by_kind.items() if kind not in delta.removed}
    by_kind = {**kept, **{row.kind: row for row in rows}}
    later = replace(table, version=delta.version, edit_id=delta.edit_id, by_kind=by_kind)
    if content_hash(later) != delta.content_hash:
        return Err(DeltaFailure.HASH_MISMATCH)
    return Ok(later)
