"""The retry allowance of one action, shared by the calls below it."""


class AllowancePool:
    """Hold the allowance that one running call may split among its child calls."""

    __slots__ = ("left",)

    def __init__(self, left: int):
        self.left = left

    def lend(self) -> int:
        """Take the larger half of what is left for one child call."""
        share = (self.left + 1) // 2
        self.left -= share
        return share

    def give_back(self, unspent: int) -> None:
        """Return what a child call did not spend."""
        self.left += unspent
