"""The table in force at a node."""

from collections import deque

from result import Result

from bamboojunction.core.table.deltas import Delta, DeltaFailure, apply_delta, delta_between
from bamboojunction.core.table.rows import Row, Table, row_for

# Peers that are this many versions behind get deltas; others get the whole table.
RECENT_VERSIONS = 8


class TableHolder:
    """Hold the highest version seen; never go back to an older one.

    Versions are the platform's object versions, so their order is the order of the edits, whatever
    the way by which a version arrives.
    """

    __slots__ = ("_delta_by_base", "_recent", "table")

    def __init__(self):
        self.table = Table()
        self._delta_by_base: dict[int, Delta] = {}
        self._recent: deque[Table] = deque([self.table], maxlen=RECENT_VERSIONS)

    def offer(self, table: Table) -> bool:
        """Put a table in force if it is newer and return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self._recent.append(table)
        self._delta_by_base.clear()
        return True

    def offer_delta(self, delta: Delta) -> Result[Table, DeltaFailure]:
        """Put the result of a delta in force if it fits the version held."""
        return apply_delta(self.table, delta).map(self._take)

    def delta_from(self, version: int) -> Delta | None:
        """Return the delta from an older version, or None if the whole table has to travel."""
        if version in self._delta_by_base:
            return self._delta_by_base[version]
        base = next((table for table in self._recent if table.version == version), None)
        if base is None or base.version >= self.table.version:
            return None
        delta = delta_between(base, self.table)
        self._delta_by_base[version] = delta
        return delta

    def row(self, kind: str) -> Row:
        """Return the row in force for a kind."""
        return row_for(self.table, kind)

    def _take(self, table: Table) -> Table:
        self.offer(table)
        return table
