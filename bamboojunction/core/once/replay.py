"""Detection of attempts that a gate has met before, in constant memory for each home."""

# The number of serials below the highest one that may still arrive out of order.
REPLAY_WINDOW = 4096

_MASK = (1 << REPLAY_WINDOW) - 1


class ReplayWindow:
    """Accept each serial of one home incarnation at most once.

    This is the sliding window that IPsec uses against replayed packets: a bit for each of the last
    serials, and everything below them counts as met.
    """

    __slots__ = ("_bits", "_highest")

    def __init__(self):
        self._highest = 0
        self._bits = 0

    def accept(self, serial: int) -> bool:
        """Mark a serial as met and return whether it was new."""
        if self.has_met(serial):
            return False
        ahead = serial - self._highest
        if ahead > 0:
            self._bits = (self._bits << ahead) & _MASK if ahead < REPLAY_WINDOW else 0
            self._highest = serial
            ahead = 0
        self._bits |= 1 << -ahead
        return True

    def has_met(self, serial: int) -> bool:
        """Return whether a serial was met or is too old to tell."""
        behind = self._highest - serial
        if behind < 0:
            return False
        if behind >= REPLAY_WINDOW:
            return True
        return bool(self._bits >> behind & 1)
