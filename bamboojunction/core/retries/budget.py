"""The budget that keeps a router's retries for one service a small part of its successes."""

import random
from collections import deque

RETRIES_PER_SUCCESS = 0.1
RETRY_LIFE_SECONDS = 3.0
RETRIES_MAX = 1_000


class RetryBudget:
    """Earn a retry with some of the successes and spend one on each retry.

    The budget starts empty and what is not spent expires, so that however many routers there are,
    they have next to nothing to spend when a service fails altogether. Successes earn whole
    retries by chance: a router with little traffic earns few, but their sum over the fleet is the
    stated part.
    """

    __slots__ = ("_expiries", "_random")

    def __init__(self, rng: random.Random):
        self._random = rng
        self._expiries: deque[float] = deque(maxlen=RETRIES_MAX)

    def succeeded(self, now: float) -> None:
        """Earn a retry by chance."""
        self._expire(now)
        if self._random.random() < RETRIES_PER_SUCCESS:
            self._expiries.append(now + RETRY_LIFE_SECONDS)

    def spend(self, now: float) -> bool:
        """Spend a retry and return whether there was one."""
        self._expire(now)
        if not self._expiries:
            return False
        self._expiries.popleft()
        return True

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
