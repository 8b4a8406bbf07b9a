"""The bound on the memory for bodies that a node holds at once.

Load pattern: many large uploads, or upstreams that send bytes without end, on a machine whose
process is killed when it exceeds its memory.
"""

# Bodies up to this size are always accepted: the number of connections already bounds them, and
# the reports of upstreams must get through while large bodies fill the budget.
UNCOUNTED_BYTES_MAX = 16_384


class MemoryBudget:
    """A number of bytes that may be held at once, from which holders reserve what they receive."""

    __slots__ = ("_held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of reserved bytes."""
        return self._held_bytes

    def hold(self) -> "BodyReservation":
        """Return an empty reservation for one body."""
        return BodyReservation(self)

    def _take(self, byte_count: int) -> bool:
        if self._held_bytes + byte_count > self.limit_bytes:
            return False
        self._held_bytes += byte_count
        return True

    def _return(self, byte_count: int) -> None:
        self._held_bytes -= byte_count


class BodyReservation:
    """The reserved bytes of one body, which grow as the body arrives."""

    __slots__ = ("_budget", "_reserved_bytes", "_size")

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._size = 0
        self._reserved_bytes = 0

    def grow(self, byte_count: int) -> bool:
        """Reserve bytes that arrived, and return False if the budget has no room for them."""
        self._size += byte_count
        if self._size <= UNCOUNTED_BYTES_MAX:
            return True
        missing = self._size - self._reserved_bytes
        if not self._budget._take(missing):
            return False
        self._reserved_bytes = self._size
        return True

    def release(self) -> None:
        """Return all reserved bytes; further calls have no effect."""
        self._budget._return(self._reserved_bytes)
        self._size = self._reserved_bytes = 0
