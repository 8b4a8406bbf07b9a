"""Pauses between calls to something that does not answer."""

import random

GROWTH = 2.0
# Random part of a pause, so that nodes that failed together do not come back together.
SPREAD = 0.25


class GrowingPause:
    """Return pauses in seconds that double from the least to the longest one."""

    __slots__ = ("_longest", "_next", "_random", "_shortest")

    def __init__(self, shortest: float, longest: float, generator: random.Random):
        self._shortest = shortest
        self._longest = longest
        self._random = generator
        self._next = shortest

    def next(self) -> float:
        """Return the pause after one more failure."""
        pause = self._next
        self._next = min(self._longest, pause * GROWTH)
        return pause * self._random.uniform(1 - SPREAD, 1 + SPREAD)

    def reset(self) -> None:
        """Begin again with the shortest pause, after a success."""
        self._next = self._shortest
