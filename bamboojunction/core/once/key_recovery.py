"""Determination of the outcome of a key whose home is gone."""

from bamboojunction.core.once.gate_records import KeyReport, KeyStatus
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason


class KeyRecovery:
    """The outcome of one key of a lost home, derived from the answers of gates.

    ``all_gates`` names every gate incarnation that the home could have used for the key, or is None
    when no complete set is known; ``known_gates`` are asked in that case. The answer of one gate
    that ran the call gives its outcome. The key is not run, now and later, only when every one of
    ``all_gates`` has sealed it; otherwise its outcome is unknown.
    """

    __slots__ = ("_all_gates", "_outcome", "_pending", "_sealed_gates", "key")

    def __init__(
        self, key: ActionKey, all_gates: frozenset[str] | None, known_gates: frozenset[str]
    ):
        self.key = key
        self._all_gates = all_gates
        self._pending = set(known_gates if all_gates is None else all_gates)
        self._sealed_gates: set[str] = set()
        self._outcome: Outcome | None = None

    @property
    def uses_seals(self) -> bool:
        """Return whether gates are asked to seal the key.

        Without a complete set of gates, seals could not prove that the key did not run.
        """
        return self._all_gates is not None

    @property
    def pending_gates(self) -> frozenset[str]:
        """Return the gate incarnations that have not answered yet."""
        return frozenset(self._pending)

    def record_report(self, gate: str, report: KeyReport) -> None:
        """Record the answer of a gate."""
        self._pending.discard(gate)
        match report.status:
            case KeyStatus.ENDED if not isinstance(report.outcome, NotRun):
                self._outcome = report.outcome
            case KeyStatus.SEALED:
                self._sealed_gates.add(gate)

    def record_unreachable(self, gate: str) -> None:
        """Record that a gate cannot be asked, or that a later incarnation has replaced it."""
        self._pending.discard(gate)

    def outcome(self) -> Outcome | None:
        """Return the outcome, or None while it depends on gates that have not answered yet."""
        if self._outcome is not None:
            return self._outcome
        if self._pending:
            return None
        if self._all_gates is not None and self._sealed_gates >= self._all_gates:
            return NotRun(NotRunReason.SETTLED_NOT_RUN)
        return Unknown(UnknownReason.LOST_HOME)
