"""Time windows of action keys, which set how long a home answers for a key.

All times are in seconds on the monotonic clock of the home.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

WINDOW_SECONDS = 60.0
# Number of open windows, the newest included, while the set of gates does not change.
OPEN_WINDOWS = 5

# Minimum age of the newest window before a change of the set of gates replaces it.
WINDOW_MIN_SECONDS = 5.0

Record = TypeVar("Record")


@dataclass(slots=True)
class KeyWindow(Generic[Record]):
    """The records of the keys of one window, by nonce.

    ``gates`` names the gate incarnations that attempts of this window may use, and None allows any;
    it does not change once the window is open. A window that ``is_full`` takes no further keys.
    """

    number: int
    opened_at: float
    gates: frozenset[str] | None = None
    is_full: bool = False
    by_key: dict[str, Record] = field(default_factory=dict)


class KeyWindows(Generic[Record]):
    """The open windows of a home.

    A new window opens every ``window_seconds``, or earlier when the set of gates changes, and new
    keys name the newest window. A window is closed, and dropped with all its records, once
    ``retention_seconds`` have passed since the next one replaced it.
    """

    __slots__ = ("_by_number", "_newest", "retention_seconds", "window_seconds")

    def __init__(self, window_seconds: float = WINDOW_SECONDS, open_windows: int = OPEN_WINDOWS):
        self.window_seconds = window_seconds
        self.retention_seconds = window_seconds * (open_windows - 1)
        self._by_number: dict[int, KeyWindow[Record]] = {}
        self._newest: KeyWindow[Record] = KeyWindow(0, 0.0)

    @property
    def newest(self) -> KeyWindow[Record]:
        """Return the window that new keys name."""
        return self._newest

    def advance(self, now: float, gates: frozenset[str] | None) -> list[KeyWindow[Record]]:
        """Open a new window when one is due, close the expired ones and return those."""
        if not self._by_number:
            self._open(1, now, gates)
            return []
        age = now - self._newest.opened_at
        gates_changed = gates != self._newest.gates
        if age >= self.window_seconds or (gates_changed and age >= WINDOW_MIN_SECONDS):
            self._open(self._newest.number + 1, now, gates)
        return self._close_expired(now)

    def find(self, number: int) -> KeyWindow[Record] | None:
        """Return an open window, or None when it is closed or was never opened."""
        return self._by_number.get(number)

    def is_closed(self, number: int) -> bool:
        """Return whether the window was open before and is closed now."""
        return 0 < number <= self._newest.number and number not in self._by_number

    def _open(self, number: int, now: float, gates: frozenset[str] | None) -> None:
        self._newest = KeyWindow(number, now, gates)
        self._by_number[number] = self._newest

    def _close_expired(self, now: float) -> list[KeyWindow[Record]]:
        numbers = sorted(self._by_number)
        replaced_at = {
            number: self._by_number[number + 1].opened_at
            for number in numbers
            if number + 1 in self._by_number
        }
        expired = [
            number
            for number, replaced in replaced_at.items()
            if now - replaced >= self.retention_seconds
        ]
        return [self._by_number.pop(number) for number in expired]
