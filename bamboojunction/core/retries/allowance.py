"""The retry allowance of one action, shared by the calls below it."""

from bamboojunction.core.table.rows import Row


def mint(row: Row, asked: int | None) -> int:
    """Return the allowance of a new action; a caller may lower the row's, never raise it."""
    if asked is None:
        return row.retries
    return max(0, min(row.retries, asked))


class AllowancePool:
    """Hold the allowance that one running call may split among its child calls.

    What is lent and what is left never exceed what the pool began with, whatever child calls hand
    back.
    """

    __slots__ = ("_lent", "left")

    def __init__(self, left: int):
        self.left = max(0, left)
        self._lent = 0

    def lend(self) -> int:
        """Take the larger half of what is left for one child call."""
        share = (self.left + 1) // 2
        self.left -= share
        self._lent += share
        return share

    def spend(self) -> bool:
        """Spend one retry and return whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True

    def give_back(self, unspent: int, lent: int | None = None) -> None:
        """Return what a child call did not spend of what it was lent."""
        at_most = self._lent if lent is None else min(lent, self._lent)
        returned = max(0, min(unspent, at_most))
        self._lent -= returned if lent is None else at_most
        self.left += returned
