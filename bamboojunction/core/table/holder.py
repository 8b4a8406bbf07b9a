"""The table in force at a node."""

from bamboojunction.core.table.rows import Row, Table, row_for


class TableHolder:
    """Hold the highest version seen; never go back to an older one."""

    __slots__ = ("table",)

    def __init__(self):
        self.table = Table()

    def offer(self, table: Table) -> bool:
        """Put a table in force if it is newer and return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        return True

    def row(self, kind: str) -> Row:
        """Return the row in force for a kind."""
        return row_for(self.table, kind)
