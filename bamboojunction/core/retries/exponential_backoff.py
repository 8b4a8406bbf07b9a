"""Exponential backoff between attempts to reach a peer."""

import random

BACKOFF_MULTIPLIER = 2.0
# Random share of a delay, so that nodes that failed together do not retry at the same time.
JITTER_SHARE = 0.25


class ExponentialBackoff:
    """Delays in seconds that double from the shortest to the longest one, with jitter."""

    __slots__ = ("_base_delay", "_longest", "_random", "_shortest")

    def __init__(self, shortest: float, longest: float, rng: random.Random):
        self._shortest = shortest
        self._longest = longest
        self._random = rng
        self._base_delay = shortest

    def next_delay(self) -> float:
        """Return the delay after one more failure, in seconds."""
        delay = self._base_delay
        self._base_delay = min(self._longest, delay * BACKOFF_MULTIPLIER)
        return delay * self._random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    def reset(self) -> None:
        """Start again with the shortest delay, after a success."""
        self._base_delay = self._shortest
