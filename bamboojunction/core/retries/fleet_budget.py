"""The budget of one node for repeats, so that all nodes together stay within a fleet's bound."""

import random
from collections import deque
from dataclasses import dataclass

# The parts of the fleet's bound that nodes use; the rest covers what a node cannot know, such as
# calls that a repeated run makes, and repeats that were saved up before the window.
USED_SHARE = 0.6
SLACK_USED_SHARE = 0.4
# What is not spent expires after this part of the window.
LIFE_SHARE = 0.5
REPEATS_MAX = 1_000


@dataclass(slots=True, frozen=True)
class RepeatBounds:
    """Hold the fleet's bound: ``ratio`` of requests and ``slack`` more in ``window`` seconds."""

    ratio: float
    slack: float
    window: float


class FleetRepeatBudget:
    """Earn repeats with requests, and a node's part of the slack with time.

    Whole repeats are earned by chance, so that many nodes with little traffic earn together what
    the bound allows, and no node holds a part that it cannot spend.
    """

    __slots__ = ("_bounds", "_expiries", "_random", "_updated_at", "nodes")

    def __init__(self, bounds: RepeatBounds, now: float, rng: random.Random | None = None):
        self._bounds = bounds
        self._random = rng or random.Random()
        self._updated_at = now
        self._expiries: deque[float] = deque(maxlen=REPEATS_MAX)
        self.nodes = 1

    def requested(self, now: float) -> None:
        """Earn a repeat by chance with a request."""
        self._earn(USED_SHARE * self._bounds.ratio, now)

    def spend(self, now: float) -> bool:
        """Spend a repeat and return whether there was one."""
        life = self._bounds.window * LIFE_SHARE
        elapsed = min(life, max(0.0, now - self._updated_at))
        self._updated_at = now
        slack = SLACK_USED_SHARE * self._bounds.slack / max(1, self.nodes)
        self._earn(slack * elapsed / self._bounds.window, now)
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        if not self._expiries:
            return False
        self._expiries.popleft()
        return True

    def left(self) -> int:
        """Return how many repeats were earned and not spent yet."""
        return len(self._expiries)

    def _earn(self, repeats: float, now: float) -> None:
        until = now + self._bounds.window * LIFE_SHARE
        whole = int(repeats + self._random.random())
        self._expiries.extend([until] * whole)
