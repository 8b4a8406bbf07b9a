"""The home of action keys: serialises the attempts of each key."""

from dataclasses import dataclass, field

from bamboojunction.core.once.keys import ActionKey, HomeId
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Tell the driver to send this attempt of the key to one gate."""

    attempt: int


@dataclass(slots=True, frozen=True)
class JoinAttempt:
    """Tell the driver to wait for the attempt that is under way."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Give the recorded outcome."""

    outcome: Outcome


HomeDecision = StartAttempt | JoinAttempt | Answered


@dataclass(slots=True)
class _KeyRecord:
    attempt: int = 0
    running: bool = False
    outcome: Outcome | None = field(default=None)


class Home:
    """Own the keys that name this incarnation."""

    __slots__ = ("_by_key", "home_id")

    def __init__(self, instance: str, incarnation: str):
        self.home_id = HomeId(instance, incarnation, 0)
        self._by_key: dict[ActionKey, _KeyRecord] = {}

    def begin(self, key: ActionKey, now: float) -> HomeDecision:
        """Decide what a copy of a keyed call does."""
        if key.home.incarnation != self.home_id.incarnation:
            return Answered(Unknown(UnknownReason.LOST_HOME))
        record = self._by_key.setdefault(key, _KeyRecord())
        if record.running:
            return JoinAttempt()
        match record.outcome:
            case Ran() | Unknown():
                return Answered(record.outcome)
        record.attempt += 1
        record.running = True
        return StartAttempt(record.attempt)

    def settle(self, key: ActionKey, attempt: int, outcome: Outcome, now: float) -> None:
        """Record how an attempt ended."""
        record = self._by_key[key]
        if record.attempt != attempt:
            return
        record.running = False
        record.outcome = outcome


def key_required(home_id: HomeId) -> NotRun:
    """Refuse a call of an at-most-once kind that carries no key."""
    return NotRun(NotRunReason.KEY_REQUIRED)
