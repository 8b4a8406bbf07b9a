"""A model of homes, gates and a network around the real classes of the at-most-once protocol."""

from dataclasses import dataclass, field
from enum import Enum, auto

from bamboo_bench.once import events as e
from bamboo_bench.once.interning import intern_index
from bamboojunction.core.once.gate_records import (
    AdmitAttempt,
    GateRecords,
    KeyStatus,
    ReplayOutcome,
)
from bamboojunction.core.once.home import AnswerRecorded, Home, JoinAttempt, StartAttempt
from bamboojunction.core.once.key_recovery import KeyRecovery
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason

# Time stands still in the model, so nothing expires: every step happens at this time in seconds.
NOW = 1.0


class Violation(Exception):  # noqa: N818 - the usual term of model checking.
    """A property of the protocol does not hold."""


class GatePhase(Enum):
    """The progress of an attempt that a gate admitted."""

    QUEUED = auto()
    EXECUTING = auto()


class HomePhase(Enum):
    """The state of a key for which copies wait at a home.

    ``AWAITING``: an attempt is in progress. ``REFUSED``: the last attempt did not run, and the home
    either retries or answers the copies.
    """

    AWAITING = auto()
    REFUSED = auto()


@dataclass(slots=True)
class Copy:
    """One copy of a keyed call that a caller sends to a node.

    ``caller_attempt`` is the caller's attempt number, or 0 for a copy without one. ``told_by`` says
    who decided the outcome, the home or the gates.
    """

    key: ActionKey
    node: str
    caller_attempt: int
    arrived: bool = False
    recovery: KeyRecovery | None = None
    outcome: Outcome | None = None
    told_by: str = ""


@dataclass(slots=True)
class HomeState:
    """A home with, by key, the waiting copies, the phase, the latest attempt and its refusal."""

    home: Home
    waiting: dict[ActionKey, list[int]] = field(default_factory=dict)
    phases: dict[ActionKey, HomePhase] = field(default_factory=dict)
    attempts: dict[ActionKey, int] = field(default_factory=dict)
    last_refusals: dict[ActionKey, NotRun] = field(default_factory=dict)


@dataclass(slots=True)
class GateState:
    """A gate incarnation and its admitted attempts: the number and phase of each, by key."""

    gate_id: str
    records: GateRecords
    phases: dict[ActionKey, tuple[int, GatePhase]] = field(default_factory=dict)


@dataclass(slots=True)
class FaultBudget:
    """The numbers of faults, duplicates and retries that a search may still use."""

    crashes_and_losses: int = 1
    timeouts: int = 1
    suspicions: int = 1
    duplicates: int = 1
    retries: int = 1


@dataclass(slots=True)
class ProtocolModel:
    """The complete state of the model and the history that its properties are checked against.

    ``effect_counts`` and ``refusal_counts`` tell how often each key took effect and how often it
    was answered as not run. ``refusals_at_start`` holds the refusal count of a key at the start of
    an attempt. ``complete_gates`` is what a node that seals knows about the gates of a lost home.
    """

    homes: dict[str, HomeState]
    gates: dict[str, GateState]
    call_copies: list[Copy]
    complete_gates: frozenset[str] | None
    known_gates: frozenset[str]
    fault_budget: FaultBudget
    gate_class: type = GateRecords
    lost_homes: set[str] = field(default_factory=set)
    messages: list[e.Message] = field(default_factory=list)
    effect_counts: dict[ActionKey, int] = field(default_factory=dict)
    refusal_counts: dict[ActionKey, int] = field(default_factory=dict)
    refusals_at_start: dict[tuple[ActionKey, int], int] = field(default_factory=dict)

    def steps(self) -> list[e.Step]:
        """Return every step that is possible in this state."""
        return [
            *self._message_steps(),
            *self._copy_steps(),
            *self._gate_steps(),
            *self._home_steps(),
        ]

    def apply(self, step: e.Step) -> None:
        """Apply one step; raise Violation if a property does not hold."""
        match step:
            case e.Arrive(copy):
                self._arrive(copy)
            case e.Deliver(message, keeps_copy):
                self._deliver(message, keeps_copy)
            case e.Shed(gate, key):
                self._shed(gate, key)
            case e.Execute(gate, key):
                self._execute(gate, key)
            case e.Finish(gate, key, lost):
                self._finish_execution(gate, key, lost)
            case e.Retry(key, gate):
                self._retry_attempt(key, gate)
            case e.StopRetrying(key):
                state = self.homes[key.home.instance]
                self._answer_waiting_copies(state, key, state.last_refusals[key])
            case e.TimeOut(key):
                self._time_out(key)
            case e.QueryAttempt(key):
                self._query_attempt(key)
            case e.CrashHome(home):
                self.fault_budget.crashes_and_losses -= 1
                self.lost_homes.add(home)
                self.homes[home].waiting.clear()
                self.homes[home].phases.clear()
            case e.CrashGate(gate):
                self._crash_gate(gate)
            case e.SuspectHome(copy):
                self._suspect_home(copy)

    def _message_steps(self) -> list[e.Step]:
        steps: list[e.Step] = [e.Deliver(message, False) for message in self.messages]
        if self.fault_budget.duplicates:
            steps += [e.Deliver(message, True) for message in self.messages]
        return steps

    def _copy_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for index, copy in enumerate(self.call_copies):
            is_waiting = copy.arrived and copy.outcome is None and copy.recovery is None
            home = copy.key.home.instance
            if not copy.arrived and self._may_arrive(index):
                steps.append(e.Arrive(index))
            elif (
                is_waiting
                and copy.node != home
                and (home in self.lost_homes or self._may_suspect_live_home())
            ):
                steps.append(e.SuspectHome(index))
        return steps

    def _may_arrive(self, index: int) -> bool:
        copy = self.call_copies[index]
        return copy.node not in self.lost_homes

    def _may_suspect_live_home(self) -> bool:
        return self.fault_budget.suspicions > 0

    def _gate_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for gate, state in self.gates.items():
            for key, (_, phase) in state.phases.items():
                if phase is GatePhase.QUEUED:
                    steps += [e.Shed(gate, key), e.Execute(gate, key)]
                else:
                    steps.append(e.Finish(gate, key, False))
                    if self.fault_budget.crashes_and_losses:
                        steps.append(e.Finish(gate, key, True))
            if self.fault_budget.crashes_and_losses:
                steps.append(e.CrashGate(gate))
        return steps

    def _home_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for name, state in self.homes.items():
            if name in self.lost_homes:
                continue
            if self.fault_budget.crashes_and_losses:
                steps.append(e.CrashHome(name))
            for key, phase in state.phases.items():
                if phase is HomePhase.REFUSED:
                    steps.append(e.StopRetrying(key))
                    if self.fault_budget.retries:
                        steps += [e.Retry(key, gate) for gate in self._usable_gates(state, key)]
                elif self.fault_budget.timeouts:
                    steps.append(e.TimeOut(key))
            keys = {copy.key for copy in self.call_copies}
            steps += [
                e.QueryAttempt(key)
                for key in sorted(keys, key=str)
                if state.home.unsettled_attempt(key)
            ]
        return steps

    def _usable_gates(self, state: HomeState, key: ActionKey) -> list[str]:
        gates = state.home.gates_of(key.home.window)
        names = [state.gate_id for state in self.gates.values()]
        return [name for name in names if gates is None or name in gates]

    def _arrive(self, index: int) -> None:
        copy = self.call_copies[index]
        copy.arrived = True
        if copy.node == copy.key.home.instance:
            self._begin_at_home(index)
        else:
            self._send(e.Forward(index))

    def _begin_at_home(self, index: int) -> None:
        copy = self.call_copies[index]
        state = self.homes[copy.key.home.instance]
        decision = state.home.begin(copy.key, NOW, copy.caller_attempt)
        match decision:
            case StartAttempt(attempt):
                state.waiting.setdefault(copy.key, []).append(index)
                self._start_attempt(state, copy.key, attempt)
            case JoinAttempt():
                state.waiting.setdefault(copy.key, []).append(index)
            case AnswerRecorded(outcome):
                self._answer_copy(index, outcome)

    def _start_attempt(
        self, state: HomeState, key: ActionKey, attempt: int, gate: str = ""
    ) -> None:
        """Start an attempt at the given gate, or at one picked by the attempt number."""
        state.attempts[key] = attempt
        self.refusals_at_start[key, attempt] = self.refusal_counts.get(key, 0)
        if not gate:
            usable = self._usable_gates(state, key)
            if not usable:
                self._settle(state, key, attempt, NotRun(NotRunReason.NO_UPSTREAM))
                return
            gate = usable[attempt % len(usable)]
        state.phases[key] = HomePhase.AWAITING
        state.home.record_gate(key, attempt, gate)
        self._send(e.GateCall(key, attempt, gate))

    def _retry_attempt(self, key: ActionKey, gate: str) -> None:
        self.fault_budget.retries -= 1
        state = self.homes[key.home.instance]
        decision = state.home.retry(key, state.attempts[key], state.last_refusals[key], NOW)
        match decision:
            case StartAttempt(attempt):
                self._start_attempt(state, key, attempt, gate)
            case JoinAttempt():
                state.phases[key] = HomePhase.AWAITING
            case AnswerRecorded(outcome):
                self._answer_waiting_copies(state, key, outcome)

    def _settle(self, state: HomeState, key: ActionKey, attempt: int, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            state.phases[key] = HomePhase.REFUSED
            state.last_refusals[key] = outcome
            return
        state.home.record_outcome(key, attempt, outcome, NOW)
        self._answer_waiting_copies(state, key, outcome)

    def _answer_waiting_copies(self, state: HomeState, key: ActionKey, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            state.home.record_outcome(key, state.attempts[key], outcome, NOW)
        state.phases.pop(key, None)
        for index in state.waiting.pop(key, []):
            self._answer_copy(index, outcome)

    def _answer_copy(self, index: int, outcome: Outcome) -> None:
        """Answer a copy with its outcome, over the network if the copy was forwarded."""
        copy = self.call_copies[index]
        self._check_outcome(copy.key, outcome)
        if copy.node == copy.key.home.instance:
            self._record_outcome(index, outcome, "home")
        else:
            self._send(e.ForwardAnswer(index, outcome))

    def _record_outcome(self, index: int, outcome: Outcome, told_by: str) -> None:
        copy = self.call_copies[index]
        if copy.outcome is None:
            copy.outcome = outcome
            copy.told_by = told_by

    def _check_outcome(self, key: ActionKey, outcome: Outcome) -> None:
        """Check an outcome when it is given for a key; raise Violation if it is untrue."""
        match outcome:
            case NotRun():
                if self.effect_counts.get(key):
                    raise Violation(f"'not run' was answered for {key}, which ran")
                self.refusal_counts[key] = self.refusal_counts.get(key, 0) + 1
            case Ran(body=body):
                if body != self._expected_body(key):
                    raise Violation(f"{key} was answered with the wrong body {body!r}")
                if not self.effect_counts.get(key):
                    raise Violation(f"'ran' was answered for {key}, which never ran")

    def _expected_body(self, key: ActionKey) -> bytes:
        return str(key).encode()

    def _deliver(self, message: e.Message, keeps_copy: bool) -> None:
        if keeps_copy:
            self.fault_budget.duplicates -= 1
        else:
            self.messages.remove(message)
        match message:
            case e.Forward(copy):
                if self.call_copies[copy].key.home.instance not in self.lost_homes:
                    self._begin_at_home(copy)
            case e.ForwardAnswer(copy, outcome):
                self._record_outcome(copy, outcome, "home")
            case e.GateCall(key, attempt, gate):
                self._receive_gate_call(key, attempt, gate)
            case e.GateAnswer(key, attempt, outcome):
                self._receive_gate_answer(key, attempt, outcome)
            case e.AttemptQuery(key, attempt, gate):
                if (state := self._live_gate(gate)) is not None:
                    report = state.records.query_attempt(key, attempt, NOW)
                    self._send(e.AttemptReport(key, attempt, report))
            case e.AttemptReport(key, attempt, report):
                self._receive_attempt_report(key, attempt, report)
            case e.SealRequest(copy, gate):
                self._receive_seal_request(copy, gate)
            case e.SealReply(copy, gate, report):
                recovery = self.call_copies[copy].recovery
                recovery.record_report(gate, report)
                self._conclude_sealing(copy)

    def _receive_gate_call(self, key: ActionKey, attempt: int, gate: str) -> None:
        state = self._live_gate(gate)
        if state is None:
            return
        match state.records.begin_attempt(key, attempt, NOW):
            case AdmitAttempt():
                state.phases[key] = (attempt, GatePhase.QUEUED)
            case ReplayOutcome(outcome):
                self._send(e.GateAnswer(key, attempt, outcome))

    def _shed(self, gate: str, key: ActionKey) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases.pop(key)
        state.records.discard_attempt(key, attempt)
        self._send(e.GateAnswer(key, attempt, NotRun(NotRunReason.SHED)))

    def _execute(self, gate: str, key: ActionKey) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases[key]
        state.phases[key] = (attempt, GatePhase.EXECUTING)
        self.effect_counts[key] = self.effect_counts.get(key, 0) + 1
        if self.effect_counts[key] > 1:
            raise Violation(f"{key} ran twice")
        if self.refusal_counts.get(key, 0) > self.refusals_at_start[key, attempt]:
            raise Violation(f"{key} ran in attempt {attempt} after it was answered as not run")

    def _finish_execution(self, gate: str, key: ActionKey, lost: bool) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases.pop(key)
        outcome: Outcome = Ran(200, body=self._expected_body(key))
        if lost:
            self.fault_budget.crashes_and_losses -= 1
            outcome = Unknown(UnknownReason.LOST_UPSTREAM)
        state.records.end_attempt(key, attempt, outcome, NOW)
        self._send(e.GateAnswer(key, attempt, outcome))

    def _crash_gate(self, gate: str) -> None:
        self.fault_budget.crashes_and_losses -= 1
        self.gates[gate] = GateState(f"{gate}/2", self.gate_class())

    def _live_gate(self, gate_id: str) -> GateState | None:
        """Return the gate with this incarnation, or None if that incarnation has crashed."""
        state = self.gates[gate_id.split("/")[0]]
        return state if state.gate_id == gate_id else None

    def _receive_gate_answer(self, key: ActionKey, attempt: int, outcome: Outcome) -> None:
        """Settle the attempt that the home waits for; ignore the answer to any other attempt."""
        state = self.homes[key.home.instance]
        is_awaited = state.phases.get(key) is HomePhase.AWAITING and state.attempts[key] == attempt
        if is_awaited and key.home.instance not in self.lost_homes:
            self._settle(state, key, attempt, outcome)

    def _time_out(self, key: ActionKey) -> None:
        self.fault_budget.timeouts -= 1
        state = self.homes[key.home.instance]
        self._settle(state, key, state.attempts[key], Unknown(UnknownReason.LOST_LINK))

    def _query_attempt(self, key: ActionKey) -> None:
        doubt = self.homes[key.home.instance].home.unsettled_attempt(key)
        query = e.AttemptQuery(key, doubt.attempt, doubt.gate)
        if query not in self.messages:
            self._send(query)

    def _receive_attempt_report(self, key: ActionKey, attempt: int, report) -> None:
        name = key.home.instance
        if name in self.lost_homes:
            return
        home = self.homes[name].home
        if home.unsettled_attempt(key) is None or home.unsettled_attempt(key).attempt != attempt:
            return
        match report.status:
            case KeyStatus.SEALED:
                home.record_outcome(key, attempt, NotRun(NotRunReason.UNREACHABLE), NOW)
            case KeyStatus.ENDED:
                home.record_outcome(key, attempt, report.outcome, NOW)

    def _suspect_home(self, index: int) -> None:
        copy = self.call_copies[index]
        if copy.key.home.instance not in self.lost_homes:
            self.fault_budget.suspicions -= 1
        copy.recovery = KeyRecovery(copy.key, self.complete_gates, self.known_gates)
        for gate in sorted(copy.recovery.pending_gates):
            self._send(e.SealRequest(index, gate))

    def _receive_seal_request(self, index: int, gate: str) -> None:
        copy = self.call_copies[index]
        state = self._live_gate(gate)
        if state is None:
            copy.recovery.record_unreachable(gate)
            self._conclude_sealing(index)
            return
        seals = copy.recovery.uses_seals
        records = state.records
        report = records.seal(copy.key, NOW) if seals else records.query_key(copy.key)
        self._send(e.SealReply(index, gate, report))

    def _conclude_sealing(self, index: int) -> None:
        copy = self.call_copies[index]
        outcome = copy.recovery.outcome()
        if outcome is not None and copy.outcome is None:
            self._check_outcome(copy.key, outcome)
            self._record_outcome(index, outcome, "gates")

    def _send(self, message: e.Message) -> None:
        """Add a message to the network.

        Messages are kept in a canonical order, so that equal sets of messages give equal states.
        """
        self.messages.append(message)
        self.messages.sort(key=intern_index)
