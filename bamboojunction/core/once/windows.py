"""Windows of action keys: how long a home answers for a key, on its own monotonic clock."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

WINDOW_SECONDS = 60.0
WINDOWS_OPEN = 5

# The shortest life of a window that is replaced because the set of gates changed.
WINDOW_MIN_SECONDS = 5.0

Record = TypeVar("Record")


@dataclass(slots=True)
class Window(Generic[Record]):
    """Hold the records of the keys of one window.

    ``gates`` names the gate incarnations that attempts of this window may use; it never changes
    once the window is open. None sets no bound. A window that ``is_full`` takes no further keys.
    """

    number: int
    opened_at: float
    gates: frozenset[str] | None = None
    is_full: bool = False
    by_key: dict[str, Record] = field(default_factory=dict)


class Windows(Generic[Record]):
    """Open a new window at intervals and close the ones that have become too old.

    The last window is the one that new keys name. A window is closed once ``open_seconds`` have
    passed since the next one replaced it; a closed window is forgotten with all its records.
    """

    __slots__ = ("_by_number", "_last", "open_seconds", "window_seconds")

    def __init__(self, window_seconds: float = WINDOW_SECONDS, windows_open: int = WINDOWS_OPEN):
        self.window_seconds = window_seconds
        self.open_seconds = window_seconds * (windows_open - 1)
        self._by_number: dict[int, Window[Record]] = {}
        self._last: Window[Record] = Window(0, 0.0)

    @property
    def last(self) -> Window[Record]:
        """Return the window that new keys name."""
        return self._last

    def advance(self, now: float, gates: frozenset[str] | None) -> list[Window[Record]]:
        """Open a window when one is due and return the windows that this closed."""
        if not self._by_number:
            self._open(1, now, gates)
            return []
        age = now - self._last.opened_at
        changed = gates != self._last.gates
        if age >= self.window_seconds or (changed and age >= WINDOW_MIN_SECONDS):
            self._open(self._last.number + 1, now, gates)
        return self._close_old(now)

    def find(self, number: int) -> Window[Record] | None:
        """Return an open window, or None when it is closed or was never opened."""
        return self._by_number.get(number)

    def is_closed(self, number: int) -> bool:
        """Return whether the window was once open and is no more."""
        return 0 < number <= self._last.number and number not in self._by_number

    def _open(self, number: int, now: float, gates: frozenset[str] | None) -> None:
        self._last = Window(number, now, gates)
        self._by_number[number] = self._last

    def _close_old(self, now: float) -> list[Window[Record]]:
        numbers = sorted(self._by_number)
        replaced_at = {
            number: self._by_number[number + 1].opened_at
            for number in numbers
            if number + 1 in self._by_number
        }
        closed = [n for n, at in replaced_at.items() if now - at >= self.open_seconds]
        return [self._by_number.pop(number) for number in closed]
