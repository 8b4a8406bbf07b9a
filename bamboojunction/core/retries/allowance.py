"""The retry allowance of one action, shared by all calls in its call chain."""

from bamboojunction.core.table.rows import Row


def initial_allowance(row: Row, requested: int | None) -> int:
    """Return the allowance of a new action, which a caller may lower but not raise.

    ``requested`` is the allowance that the caller asked for, or None.
    """
    if requested is None:
        return row.retries
    return max(0, min(row.retries, requested))


class AllowancePool:
    """The retry allowance that one running call may divide among its child calls.

    The sum of the allowance lent and the allowance left never exceeds the initial allowance,
    whatever the child calls return.
    """

    __slots__ = ("_lent", "left")

    def __init__(self, left: int):
        self.left = max(0, left)
        self._lent = 0

    def lend(self) -> int:
        """Lend one child call half of the allowance left, rounded up."""
        share = (self.left + 1) // 2
        self.left -= share
        self._lent += share
        return share

    def spend(self) -> bool:
        """Spend one retry, and return False when none is left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True

    def give_back(self, unspent: int, lent: int | None = None) -> None:
        """Take back the allowance that a child call did not spend.

        ``lent`` is what the child call was lent, or None when that is not known.
        """
        returnable = self._lent if lent is None else min(lent, self._lent)
        returned = max(0, min(unspent, returnable))
        self._lent -= returned if lent is None else returnable
        self.left += returned
