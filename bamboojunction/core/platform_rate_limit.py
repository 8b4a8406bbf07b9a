"""Client-side rate limits and backoff for a node's calls to the platform."""

import random
from dataclasses import dataclass

# The platform handles several hundred writes and two thousand reads per second; the whole fleet
# stays below half of that.
FLEET_WRITES_PER_SECOND = 150.0
FLEET_READS_PER_SECOND = 900.0
NODE_CALLS_PER_SECOND_MAX = 5.0
# Fleet size assumed by a node that has not discovered any other node yet.
DEFAULT_FLEET_SIZE = 950
WRITE_BURST_CALLS = 3.0
READ_BURST_CALLS = 6.0
BACKOFF_BASE_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 30.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that gains ``rate`` tokens per second and holds at most ``burst``."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def take(self, now: float) -> float:
        """Take one token and return how many seconds to wait before the call.

        The balance may go negative, so that concurrent callers wait one after the other.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate) - 1.0
        self.updated_at = now
        return max(0.0, -self.tokens / self.rate)


class PlatformRateLimiter:
    """One node's equal share of the fleet's rate limits."""

    __slots__ = ("_reads", "_writes")

    def __init__(self, now: float):
        self._reads = TokenBucket(1.0, READ_BURST_CALLS, READ_BURST_CALLS, now)
        self._writes = TokenBucket(1.0, WRITE_BURST_CALLS, WRITE_BURST_CALLS, now)
        self.set_fleet_size(DEFAULT_FLEET_SIZE)

    def set_fleet_size(self, fleet_size: int) -> None:
        """Set the rates to one node's share in a fleet of ``fleet_size`` nodes."""
        self._reads.rate = _node_rate(FLEET_READS_PER_SECOND, fleet_size)
        self._writes.rate = _node_rate(FLEET_WRITES_PER_SECOND, fleet_size)

    def reserve_read(self, now: float) -> float:
        """Return how many seconds to wait before a read; a long-polling watch counts as one."""
        return self._reads.take(now)

    def reserve_write(self, now: float) -> float:
        """Return how many seconds to wait before a write."""
        return self._writes.take(now)


class Backoff:
    """Exponential backoff with jitter, so that nodes do not retry at the same time.

    A delay lies between half the base delay and an upper bound that doubles with each
    failure up to ``BACKOFF_MAX_SECONDS``.
    """

    __slots__ = ("_failures", "_random")

    def __init__(self, rng: random.Random):
        self._random = rng
        self._failures = 0

    def next_delay(self) -> float:
        """Record a failure and return how many seconds to wait before the next call."""
        upper_bound = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._random.uniform(BACKOFF_BASE_SECONDS / 2, upper_bound)

    def reset(self) -> None:
        """Reset the backoff after a success."""
        self._failures = 0


def _node_rate(fleet_rate: float, fleet_size: int) -> float:
    return min(NODE_CALLS_PER_SECOND_MAX, fleet_rate / max(1, fleet_size))
