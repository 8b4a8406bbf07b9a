"""The share of the platform's rates that one node may use."""

import random
from dataclasses import dataclass

# The platform takes several hundred writes and two thousand reads a second; the fleet stays under
# half of that.
FLEET_WRITES_PER_SECOND = 150.0
FLEET_READS_PER_SECOND = 900.0
NODE_CALLS_PER_SECOND_MAX = 5.0
# A node that knows no other yet takes the share of a fleet of this size.
FLEET_SIZE_ASSUMED = 950
WRITE_BURST_CALLS = 3.0
READ_BURST_CALLS = 6.0
BACKOFF_FIRST_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 30.0


@dataclass(slots=True)
class TokenBucket:
    """Allow calls at a rate, with a burst after quiet times."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def take(self, now: float) -> float:
        """Take one token and return how many seconds to wait before the call."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate) - 1.0
        self.updated_at = now
        return max(0.0, -self.tokens / self.rate)


class CallBudget:
    """Divide the fleet's rates among its nodes."""

    __slots__ = ("_reads", "_writes")

    def __init__(self, now: float):
        self._reads = TokenBucket(1.0, READ_BURST_CALLS, READ_BURST_CALLS, now)
        self._writes = TokenBucket(1.0, WRITE_BURST_CALLS, WRITE_BURST_CALLS, now)
        self.resize(FLEET_SIZE_ASSUMED)

    def resize(self, fleet_size: int) -> None:
        """Take the share of one node in a fleet of a size."""
        self._reads.rate = _share(FLEET_READS_PER_SECOND, fleet_size)
        self._writes.rate = _share(FLEET_WRITES_PER_SECOND, fleet_size)

    def read(self, now: float) -> float:
        """Return how many seconds to wait before a read; a waiting watch counts as one."""
        return self._reads.take(now)

    def write(self, now: float) -> float:
        """Return how many seconds to wait before a write."""
        return self._writes.take(now)


class Backoff:
    """Spread the calls that follow failed ones."""

    __slots__ = ("_failures", "_random")

    def __init__(self, generator: random.Random):
        self._random = generator
        self._failures = 0

    def failed(self) -> float:
        """Return how many seconds to wait after another failure, with full jitter."""
        limit = min(BACKOFF_MAX_SECONDS, BACKOFF_FIRST_SECONDS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._random.uniform(BACKOFF_FIRST_SECONDS / 2, limit)

    def succeeded(self) -> None:
        """Start over."""
        self._failures = 0


def _share(fleet_rate: float, fleet_size: int) -> float:
    return min(NODE_CALLS_PER_SECOND_MAX, fleet_rate / max(1, fleet_size))
