"""One node's retry budget, which keeps the retries of the whole fleet within a limit."""

import random
from collections import deque
from dataclasses import dataclass

# The shares of the fleet's limit that nodes spend. The rest covers what a node cannot observe: the
# calls that a retried request makes, and retries that were earned before the window.
RATIO_USED_SHARE = 0.6
SLACK_USED_SHARE = 0.4
# Unspent retries expire after this share of the window.
RETRY_TTL_SHARE = 0.5
UNSPENT_RETRIES_MAX = 1_000
# A node that sees fewer nodes than before divides the slack by the earlier number for this long:
# the others may only be out of sight and still spend their share.
SIZE_MEMORY_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class RetryLimit:
    """The fleet's limit on retries: ``ratio`` of requests plus ``slack`` per ``window`` seconds."""

    ratio: float
    slack: float
    window: float


class FleetSize:
    """The number of nodes that share the fleet's limit, the largest one of the recent past."""

    __slots__ = ("_largest", "_largest_until", "_latest")

    def __init__(self):
        self._latest = self._largest = 1
        self._largest_until = 0.0

    def record(self, count: int, now: float) -> None:
        """Record how many nodes are seen from now on."""
        if self._latest == self._largest:
            self._largest_until = now + SIZE_MEMORY_SECONDS
        self._latest = count
        self._largest = max(self._largest, count)

    def count(self, now: float) -> int:
        """Return the number of nodes to divide the slack by."""
        if now >= self._largest_until:
            self._largest = self._latest
        return self._largest


class FleetRetryBudget:
    """The retries that one node may spend for one service.

    A node earns retries with each request, and its share of the slack over time. Fractions are
    rounded at random to whole retries, so that many nodes with little traffic earn together what
    the limit allows, and no node holds a fraction that it cannot spend.
    """

    __slots__ = ("_expiries", "_random", "_retry_limit", "_updated_at", "node_count")

    def __init__(self, retry_limit: RetryLimit, now: float, rng: random.Random | None = None):
        self._retry_limit = retry_limit
        self._random = rng or random.Random()
        self._updated_at = now
        self._expiries: deque[float] = deque(maxlen=UNSPENT_RETRIES_MAX)
        self.node_count = 1

    def record_request(self, now: float) -> None:
        """Earn retries for a new request."""
        self._earn(RATIO_USED_SHARE * self._retry_limit.ratio, now)

    def spend(self, now: float) -> bool:
        """Spend a retry, and return False when none is left."""
        if not self.available(now):
            return False
        self.take(1)
        return True

    def available(self, now: float) -> int:
        """Return how many retries may be spent now."""
        ttl = self._retry_limit.window * RETRY_TTL_SHARE
        elapsed = min(ttl, max(0.0, now - self._updated_at))
        self._updated_at = now
        slack = SLACK_USED_SHARE * self._retry_limit.slack / max(1, self.node_count)
        self._earn(slack * elapsed / self._retry_limit.window, now)
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        return len(self._expiries)

    def take(self, retries: int) -> None:
        """Spend retries, at most those that are left."""
        for _ in range(min(retries, len(self._expiries))):
            self._expiries.popleft()

    def retries_left(self) -> int:
        """Return how many retries were earned and neither spent nor removed as expired."""
        return len(self._expiries)

    def _earn(self, retries: float, now: float) -> None:
        expires_at = now + self._retry_limit.window * RETRY_TTL_SHARE
        earned = int(retries + self._random.random())
        self._expiries.extend([expires_at] * earned)
