"""The table that is in force at a node."""

from collections import deque

from result import Result

from bamboojunction.core.table.deltas import Delta, DeltaFailure, apply_delta, delta_between
from bamboojunction.core.table.rows import Row, Table, row_for

# Peers that hold one of this many latest versions get a delta, others the whole table.
RECENT_VERSIONS_MAX = 8


class CurrentTable:
    """The table in force, which is only ever replaced by a higher version.

    Versions are those of the platform's object. They order the edits correctly whether a table
    arrives from the platform or from a peer.
    """

    __slots__ = ("_delta_by_base_version", "_recent_tables", "table")

    def __init__(self):
        self.table = Table()
        self._delta_by_base_version: dict[int, Delta] = {}
        self._recent_tables: deque[Table] = deque([self.table], maxlen=RECENT_VERSIONS_MAX)

    def replace_if_newer(self, table: Table) -> bool:
        """Put a table in force if its version is newer, and return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self._recent_tables.append(table)
        self._delta_by_base_version.clear()
        return True

    def replace_by_delta(self, delta: Delta) -> Result[Table, DeltaFailure]:
        """Apply a delta to the table in force, and put the result in force if that succeeds."""
        return apply_delta(self.table, delta).map(self._replace)

    def delta_from(self, version: int) -> Delta | None:
        """Return the delta from an older version, or None if that version is no longer kept."""
        if version in self._delta_by_base_version:
            return self._delta_by_base_version[version]
        base = next((table for table in self._recent_tables if table.version == version), None)
        if base is None or base.version >= self.table.version:
            return None
        delta = delta_between(base, self.table)
        self._delta_by_base_version[version] = delta
        return delta

    def row(self, kind: str) -> Row:
        """Return the row in force for a kind, or the default row."""
        return row_for(self.table, kind)

    def _replace(self, table: Table) -> Table:
        self.replace_if_newer(table)
        return table
