"""One node's budget of repeated requests, which keeps the whole fleet within a limit."""

import random
from collections import deque
from dataclasses import dataclass

# The shares of the fleet's limit that nodes spend. The rest covers what a node cannot observe: the
# calls that a repeated request makes, and repeats that were earned before the window.
RATIO_USED_SHARE = 0.6
SLACK_USED_SHARE = 0.4
# Unspent repeats expire after this share of the window.
REPEAT_TTL_SHARE = 0.5
UNSPENT_REPEATS_MAX = 1_000


@dataclass(slots=True, frozen=True)
class RetryLimit:
    """The fleet's limit on repeats: ``ratio`` of requests plus ``slack`` per ``window`` seconds."""

    ratio: float
    slack: float
    window: float


class FleetRetryBudget:
    """The repeats that one node may spend for one service.

    A node earns repeats with each request, and its share of the slack over time. Fractions are
    rounded at random to whole repeats, so that many nodes with little traffic earn together what
    the limit allows, and no node holds a fraction that it cannot spend.
    """

    __slots__ = ("_expiries", "_random", "_retry_limit", "_updated_at", "node_count")

    def __init__(self, retry_limit: RetryLimit, now: float, rng: random.Random | None = None):
        self._retry_limit = retry_limit
        self._random = rng or random.Random()
        self._updated_at = now
        self._expiries: deque[float] = deque(maxlen=UNSPENT_REPEATS_MAX)
        self.node_count = 1

    def record_request(self, now: float) -> None:
        """Earn repeats for a new request."""
        self._earn(RATIO_USED_SHARE * self._retry_limit.ratio, now)

    def spend(self, now: float) -> bool:
        """Spend a repeat, and return False when none is left."""
        ttl = self._retry_limit.window * REPEAT_TTL_SHARE
        elapsed = min(ttl, max(0.0, now - self._updated_at))
        self._updated_at = now
        slack = SLACK_USED_SHARE * self._retry_limit.slack / max(1, self.node_count)
        self._earn(slack * elapsed / self._retry_limit.window, now)
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        if not self._expiries:
            return False
        self._expiries.popleft()
        return True

    def retries_left(self) -> int:
        """Return how many repeats were earned and are not spent."""
        return len(self._expiries)

    def _earn(self, retries: float, now: float) -> None:
        expires_at = now + self._retry_limit.window * REPEAT_TTL_SHARE
        earned = int(retries + self._random.random())
        self._expiries.extend([expires_at] * earned)
