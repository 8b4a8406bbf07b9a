"""Scenarios to search: those of the correct protocol, and those with a seeded fault to detect."""

from dataclasses import dataclass, field, replace

from bamboo_bench.once.model import Copy, FaultBudget, GateState, HomeState, ProtocolModel
from bamboojunction.core.once.gate_records import GateRecords, KeyReport, KeyStatus
from bamboojunction.core.once.home import Home, KeyState
from bamboojunction.core.once.keys import ActionKey, HomeId
from bamboojunction.core.once.replay import ReplayWindow
from bamboojunction.core.outcomes import NotRun

TWO_GATES = frozenset({"a/1", "b/1"})
THREE_GATES = frozenset({"a/1", "b/1", "c/1"})
INCOMPLETE_GATES = frozenset({"a/1", "c/1"})
SMALL_BUDGET = FaultBudget(crashes_and_losses=1, timeouts=0, suspicions=1, duplicates=0, retries=1)


class NoReplayWindow(ReplayWindow):
    """Seeded fault: a replay window that accepts every late duplicate of an attempt."""

    __slots__ = ()

    def accept(self, serial: int) -> bool:
        """Accept every serial."""
        return True


class GateWithoutTombstones(GateRecords):
    """Seeded fault: a gate that keeps no tombstone of a refused attempt."""

    __slots__ = ()

    def _records_of(self, key, now):
        records = super()._records_of(key, now)
        records.replay = NoReplayWindow()
        return records


class GateWithUnrecordedEviction(GateRecords):
    """Seeded fault: a gate that evicts a key that ran without recording the eviction."""

    __slots__ = ()

    def end_attempt(self, key, attempt, outcome, now):
        """Record the end of the call, then evict the record."""
        super().end_attempt(key, attempt, outcome, now)
        self._by_home[key.home.incarnation].by_key.pop(key, None)


class GateWithoutSeals(GateRecords):
    """Seeded fault: a gate that answers that a key is sealed but does not store the seal."""

    __slots__ = ()

    def seal(self, key, now):
        """Return the testimony of a sealed key without storing the seal."""
        records = self._records_of(key, now)
        known = records.by_key.get(key)
        return self._report(known) if known else KeyReport(KeyStatus.SEALED)


class HomeWithOverlappingAttempts(Home):
    """Seeded fault: a home that starts the next attempt while one is in progress."""

    __slots__ = ()

    def begin(self, key, now, caller_attempt=0):
        """Begin a running key as if its attempt had not run."""
        record = self._record(key)
        if record is not None and record.state is KeyState.RUNNING:
            record.state = KeyState.NOT_RUN
        return super().begin(key, now, caller_attempt)


class HomeThatRetriesUnknown(Home):
    """Seeded fault: a home that treats an attempt with an unknown outcome as not run."""

    __slots__ = ()

    def begin(self, key, now, caller_attempt=0):
        """Begin a key with an unknown outcome as if its attempt had not run."""
        record = self._record(key)
        if record is not None and record.state is KeyState.UNKNOWN:
            record.state = KeyState.NOT_RUN
        return super().begin(key, now, caller_attempt)


class HomeThatEvictsKeys(Home):
    """Seeded fault: a home that evicts the keys that ran, as a bounded cache would."""

    __slots__ = ()

    def record_outcome(self, key, attempt, outcome, now):
        """Settle the attempt, then evict its record."""
        super().record_outcome(key, attempt, outcome, now)
        window = self._windows.find(key.home.window)
        if window is not None and not isinstance(outcome, NotRun):
            window.by_key.pop(key.nonce, None)


@dataclass(slots=True, frozen=True)
class Scenario:
    """The initial state, classes and fault budget of a model to search.

    ``gates`` are the gate incarnations that exist, and ``window_gates`` those that the homes may
    use. ``complete_gates`` is what a node that seals knows about the gates of a lost home, or None
    if it knows no complete set. Each of ``call_copies`` is a home, the node that receives the copy
    and the caller's attempt number.
    """

    name: str
    gates: frozenset[str] = TWO_GATES
    window_gates: frozenset[str] | None = TWO_GATES
    complete_gates: frozenset[str] | None = TWO_GATES
    call_copies: tuple[tuple[str, str, int], ...] = (("h1", "h1", 0), ("h1", "h2", 0))
    fault_budget: FaultBudget = field(default_factory=FaultBudget)
    gate_class: type = GateRecords
    home_class: type = Home

    def build(self) -> ProtocolModel:
        """Return a new model in its initial state."""
        homes = {
            name: self._home(name) for name in sorted({home for home, _, _ in self.call_copies})
        }
        gates = {
            gate_id.split("/")[0]: GateState(gate_id, self.gate_class())
            for gate_id in sorted(self.gates)
        }
        copies = [
            Copy(ActionKey(HomeId(home, f"{home}-1", 1), "k"), node, number)
            for home, node, number in self.call_copies
        ]
        return ProtocolModel(
            homes,
            gates,
            copies,
            self.complete_gates,
            TWO_GATES,
            replace(self.fault_budget),
            self.gate_class,
        )

    def _home(self, name: str) -> HomeState:
        home = self.home_class(name, f"{name}-1")
        home.set_allowed_gates(self.window_gates, 1.0)
        return HomeState(home)


def scenarios() -> list[Scenario]:
    """Return the scenarios of the correct protocol."""
    return [
        Scenario("two copies, two gates"),
        Scenario(
            "numbered copies", call_copies=(("h1", "h1", 1), ("h1", "h2", 1), ("h1", "h1", 2))
        ),
        Scenario(
            "three gates", gates=THREE_GATES, window_gates=THREE_GATES, complete_gates=THREE_GATES
        ),
        Scenario("gate outside the window", gates=THREE_GATES),
        Scenario(
            "gate unknown to the sealer", gates=THREE_GATES, window_gates=None, complete_gates=None
        ),
        Scenario("two homes", call_copies=(("h1", "h1", 0), ("h1", "h2", 0), ("h2", "h1", 0))),
    ]


def with_small_budget(scenario: Scenario) -> Scenario:
    """Return a scenario with a budget small enough for a complete search in a test."""
    return replace(scenario, fault_budget=SMALL_BUDGET)


def faulty_scenarios() -> list[Scenario]:
    """Return scenarios with a seeded fault, each of which the search must detect.

    Each budget holds only the faults that expose the seeded fault, which keeps the search short.
    """
    return [
        Scenario(
            "tombstone skipped",
            gate_class=GateWithoutTombstones,
            fault_budget=FaultBudget(0, 0, 0, 1, 1),
        ),
        Scenario(
            "n+1 before n settled",
            home_class=HomeWithOverlappingAttempts,
            fault_budget=FaultBudget(0, 0, 0, 0, 0),
        ),
        Scenario(
            "unknown taken for not run",
            home_class=HomeThatRetriesUnknown,
            fault_budget=FaultBudget(0, 1, 0, 0, 0),
        ),
        Scenario(
            "incomplete set sealed",
            gates=THREE_GATES,
            window_gates=THREE_GATES,
            complete_gates=INCOMPLETE_GATES,
            fault_budget=FaultBudget(1, 0, 0, 0, 0),
        ),
        Scenario(
            "gate forgets",
            gate_class=GateWithUnrecordedEviction,
            fault_budget=FaultBudget(1, 0, 0, 0, 0),
        ),
        Scenario(
            "seal not kept", gate_class=GateWithoutSeals, fault_budget=FaultBudget(0, 0, 1, 0, 0)
        ),
        Scenario(
            "home forgets", home_class=HomeThatEvictsKeys, fault_budget=FaultBudget(0, 0, 0, 0, 0)
        ),
    ]
