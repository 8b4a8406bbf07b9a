"""A retry budget, which limits retries to a fraction of the successful calls."""

import random
from collections import deque

RETRIES_PER_SUCCESS = 0.1
RETRY_TTL_SECONDS = 3.0
UNSPENT_RETRIES_MAX = 1_000


class RetryBudget:
    """The retry budget of one router for one service.

    The budget starts empty and unspent retries expire, so that during a full outage of a service
    its routers have almost no retries to spend, however many routers there are. Each success earns
    a whole retry with probability ``RETRIES_PER_SUCCESS``: a router with little traffic earns few,
    but the sum over the fleet matches that ratio.
    """

    __slots__ = ("_expiries", "_random")

    def __init__(self, rng: random.Random):
        self._random = rng
        self._expiries: deque[float] = deque(maxlen=UNSPENT_RETRIES_MAX)

    def record_success(self, now: float) -> None:
        """Earn a retry with probability ``RETRIES_PER_SUCCESS``."""
        self._expire(now)
        if self._random.random() < RETRIES_PER_SUCCESS:
            self._expiries.append(now + RETRY_TTL_SECONDS)

    def spend(self, now: float) -> bool:
        """Spend a retry, and return False when none is left."""
        self._expire(now)
        if not self._expiries:
            return False
        self._expiries.popleft()
        return True

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
