"""The budget of one node for repeats, so that all nodes together stay within a fleet's bound."""

from dataclasses import dataclass

# The part of the fleet's bound that nodes use; the rest covers what a node cannot know, such as
# calls that a repeated run makes.
USED_SHARE = 0.8
SLACK_USED_SHARE = 0.4


@dataclass(slots=True, frozen=True)
class RepeatBounds:
    """Hold the fleet's bound: ``ratio`` of requests and ``slack`` more in ``window`` seconds."""

    ratio: float
    slack: float
    window: float


class FleetRepeatBudget:
    """Earn repeats with requests, and a node's part of the slack with time."""

    __slots__ = ("_bounds", "_tokens", "_updated_at", "nodes")

    def __init__(self, bounds: RepeatBounds, now: float):
        self._bounds = bounds
        self._updated_at = now
        self.nodes = 1
        self._tokens = 0.0

    @property
    def slack(self) -> float:
        """Return this node's part of the slack."""
        return SLACK_USED_SHARE * self._bounds.slack / max(1, self.nodes)

    def requested(self, now: float) -> None:
        """Earn a part of a repeat with a request."""
        self._earn(now)
        self._tokens += USED_SHARE * self._bounds.ratio

    def spend(self, now: float) -> bool:
        """Spend a repeat and return whether there was one."""
        self._earn(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def left(self) -> float:
        """Return how many repeats may be spent now."""
        return self._tokens

    def _earn(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        earned = self._tokens + elapsed * self.slack / self._bounds.window
        # What is saved up may be spent within one window together with what that window earns.
        self._tokens = min(earned, max(1.0, self.slack))
