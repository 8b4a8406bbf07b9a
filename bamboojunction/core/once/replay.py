"""Replay protection: detection of duplicate attempts in constant memory per home."""

# Number of the latest serial numbers that the window tracks; lower ones count as seen.
REPLAY_WINDOW_SERIALS = 4096

_WINDOW_MASK = (1 << REPLAY_WINDOW_SERIALS) - 1


class ReplayWindow:
    """A window that accepts each serial number of one home incarnation at most once.

    This is the anti-replay sliding window of IPsec: one bit for each of the latest serial numbers,
    while every number below the window counts as seen.
    """

    __slots__ = ("_highest", "_seen_bits")

    def __init__(self):
        self._highest = 0
        self._seen_bits = 0

    def accept(self, serial: int) -> bool:
        """Mark a serial number as seen and return whether it was new."""
        if self.has_seen(serial):
            return False
        ahead = serial - self._highest
        if ahead > 0:
            self._seen_bits = (
                (self._seen_bits << ahead) & _WINDOW_MASK if ahead < REPLAY_WINDOW_SERIALS else 0
            )
            self._highest = serial
            ahead = 0
        self._seen_bits |= 1 << -ahead
        return True

    def has_seen(self, serial: int) -> bool:
        """Return whether a serial number was seen or is below the window."""
        behind = self._highest - serial
        if behind < 0:
            return False
        if behind >= REPLAY_WINDOW_SERIALS:
            return True
        return bool(self._seen_bits >> behind & 1)
