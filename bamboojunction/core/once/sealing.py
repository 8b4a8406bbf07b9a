"""The settlement of a key whose home is gone."""

from bamboojunction.core.once.gate_records import Knowledge, Testimony
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason


class Sealing:
    """Settle one key of a lost home from what the gates tell.

    ``bound`` names every gate incarnation that the home could have used for the key, or is None
    when that set is not known to be complete. One gate that ran the call is enough to tell its
    outcome. Only when every gate of the bound has sealed the key is it true that it was not run and
    never will be; anything short of that is unknown.
    """

    __slots__ = ("_bound", "_missing", "_outcome", "_sealed", "key")

    def __init__(self, key: ActionKey, bound: frozenset[str] | None, known: frozenset[str]):
        self.key = key
        self._bound = bound
        self._missing = set(known if bound is None else bound)
        self._sealed: set[str] = set()
        self._outcome: Outcome | None = None

    @property
    def seals(self) -> bool:
        """Return whether gates are asked to seal; without a bound that could settle nothing."""
        return self._bound is not None

    @property
    def to_ask(self) -> frozenset[str]:
        """Return the gate incarnations that have not been heard yet."""
        return frozenset(self._missing)

    def heard(self, gate: str, testimony: Testimony) -> None:
        """Take in what a gate told."""
        self._missing.discard(gate)
        match testimony.knowledge:
            case Knowledge.ENDED if not isinstance(testimony.outcome, NotRun):
                self._outcome = testimony.outcome
            case Knowledge.SEALED:
                self._sealed.add(gate)

    def unreachable(self, gate: str) -> None:
        """Record that a gate cannot be asked, or is a later incarnation than the one named."""
        self._missing.discard(gate)

    def outcome(self) -> Outcome | None:
        """Return the outcome, or None while a gate is still to be heard."""
        if self._outcome is not None:
            return self._outcome
        if self._missing:
            return None
        if self._bound is not None and self._sealed >= self._bound:
            return NotRun(NotRunReason.SETTLED)
        return Unknown(UnknownReason.LOST_HOME)
