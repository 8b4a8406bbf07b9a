"""Exponential backoff between attempts to reach a peer."""

import random

BACKOFF_MULTIPLIER = 2.0
# Random share of a pause, so that nodes that failed together do not retry at the same time.
JITTER_SHARE = 0.25


class ExponentialBackoff:
    """Pauses in seconds that double from the shortest to the longest one, with jitter."""

    __slots__ = ("_longest", "_next_pause", "_random", "_shortest")

    def __init__(self, shortest: float, longest: float, rng: random.Random):
        self._shortest = shortest
        self._longest = longest
        self._random = rng
        self._next_pause = shortest

    def next_delay(self) -> float:
        """Return the pause after one more failure, in seconds."""
        pause = self._next_pause
        self._next_pause = min(self._longest, pause * BACKOFF_MULTIPLIER)
        return pause * self._random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    def reset(self) -> None:
        """Start again with the shortest pause, after a success."""
        self._next_pause = self._shortest
