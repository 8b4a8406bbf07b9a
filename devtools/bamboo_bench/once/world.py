"""A small world in which the real classes of the at-most-once protocol meet every interleaving."""

from dataclasses import dataclass, field
from enum import Enum, auto

from bamboo_bench.once import events as e
from bamboo_bench.once.values import number_of
from bamboojunction.core.once.gate_records import Admit, GateRecords, Knowledge, Replay
from bamboojunction.core.once.home import Answered, Home, JoinAttempt, StartAttempt
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.sealing import Sealing
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason

# The model does not age anything: every step happens at this time.
NOW = 1.0


class Violation(Exception):  # noqa: N818 - the field's term for a broken property.
    """Report that a property of the protocol does not hold."""


class GatePhase(Enum):
    """Say how far a gate has taken an admitted attempt."""

    QUEUED = auto()
    EXECUTING = auto()


class HomePhase(Enum):
    """Say what a home does for a key that has waiting copies."""

    AWAITING = auto()
    REFUSED = auto()


@dataclass(slots=True)
class Copy:
    """Describe one sending of a key by a caller; an unnumbered one has ``number`` 0."""

    key: ActionKey
    node: str
    number: int
    arrived: bool = False
    sealing: Sealing | None = None
    outcome: Outcome | None = None
    told_by: str = ""


@dataclass(slots=True)
class HomeState:
    """Hold a home with the driver's state: the waiting copies and attempts under way by key."""

    home: Home
    waiting: dict[ActionKey, list[int]] = field(default_factory=dict)
    phases: dict[ActionKey, HomePhase] = field(default_factory=dict)
    attempts: dict[ActionKey, int] = field(default_factory=dict)
    refusals: dict[ActionKey, NotRun] = field(default_factory=dict)


@dataclass(slots=True)
class GateState:
    """Hold one gate incarnation and the attempts that it has admitted."""

    gate_id: str
    records: GateRecords
    phases: dict[ActionKey, tuple[int, GatePhase]] = field(default_factory=dict)


@dataclass(slots=True)
class Budget:
    """Bound the faults and repetitions of one search."""

    losses: int = 1
    timeouts: int = 1
    suspicions: int = 1
    duplicates: int = 1
    retries: int = 1


@dataclass(slots=True)
class World:
    """Hold the whole state; ``refusals`` and ``started_at`` record what the properties are about.

    ``bound`` is what a node that seals knows about the gates of a lost home.
    """

    homes: dict[str, HomeState]
    gates: dict[str, GateState]
    copies: list[Copy]
    bound: frozenset[str] | None
    known_gates: frozenset[str]
    budget: Budget
    gate_class: type = GateRecords
    lost_homes: set[str] = field(default_factory=set)
    messages: list[e.Message] = field(default_factory=list)
    effects: dict[ActionKey, int] = field(default_factory=dict)
    refusals: dict[ActionKey, int] = field(default_factory=dict)
    started_at: dict[tuple[ActionKey, int], int] = field(default_factory=dict)

    def steps(self) -> list[e.Step]:
        """Return every step that may happen next."""
        return [
            *self._message_steps(),
            *self._copy_steps(),
            *self._gate_steps(),
            *self._home_steps(),
        ]

    def apply(self, step: e.Step) -> None:
        """Carry out one step, or raise Violation."""
        match step:
            case e.Arrive(copy):
                self._arrive(copy)
            case e.Deliver(message, keep):
                self._deliver(message, keep)
            case e.Shed(gate, key):
                self._shed(gate, key)
            case e.Execute(gate, key):
                self._execute(gate, key)
            case e.Finish(gate, key, lost):
                self._finish(gate, key, lost)
            case e.Retry(key, gate):
                self._retry(key, gate)
            case e.GiveUp(key):
                state = self.homes[key.home.instance]
                self._answer_all(state, key, state.refusals[key])
            case e.TimeOut(key):
                self._time_out(key)
            case e.Doubt(key):
                self._doubt(key)
            case e.LoseHome(home):
                self.budget.losses -= 1
                self.lost_homes.add(home)
                self.homes[home].waiting.clear()
                self.homes[home].phases.clear()
            case e.LoseGate(gate):
                self._lose_gate(gate)
            case e.SuspectHome(copy):
                self._suspect(copy)

    def _message_steps(self) -> list[e.Step]:
        steps: list[e.Step] = [e.Deliver(message, False) for message in self.messages]
        if self.budget.duplicates:
            steps += [e.Deliver(message, True) for message in self.messages]
        return steps

    def _copy_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for index, copy in enumerate(self.copies):
            waits = copy.arrived and copy.outcome is None and copy.sealing is None
            home = copy.key.home.instance
            if not copy.arrived and self._may_arrive(index):
                steps.append(e.Arrive(index))
            elif waits and copy.node != home and (home in self.lost_homes or self._may_suspect()):
                steps.append(e.SuspectHome(index))
        return steps

    def _may_arrive(self, index: int) -> bool:
        copy = self.copies[index]
        return copy.node not in self.lost_homes

    def _may_suspect(self) -> bool:
        return self.budget.suspicions > 0

    def _gate_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for gate, state in self.gates.items():
            for key, (_, phase) in state.phases.items():
                if phase is GatePhase.QUEUED:
                    steps += [e.Shed(gate, key), e.Execute(gate, key)]
                else:
                    steps.append(e.Finish(gate, key, False))
                    if self.budget.losses:
                        steps.append(e.Finish(gate, key, True))
            if self.budget.losses:
                steps.append(e.LoseGate(gate))
        return steps

    def _home_steps(self) -> list[e.Step]:
        steps: list[e.Step] = []
        for name, state in self.homes.items():
            if name in self.lost_homes:
                continue
            if self.budget.losses:
                steps.append(e.LoseHome(name))
            for key, phase in state.phases.items():
                if phase is HomePhase.REFUSED:
                    steps.append(e.GiveUp(key))
                    if self.budget.retries:
                        steps += [e.Retry(key, gate) for gate in self._usable(state, key)]
                elif self.budget.timeouts:
                    steps.append(e.TimeOut(key))
            keys = {copy.key for copy in self.copies}
            steps += [e.Doubt(key) for key in sorted(keys, key=str) if state.home.doubt(key)]
        return steps

    def _usable(self, state: HomeState, key: ActionKey) -> list[str]:
        gates = state.home.gates_of(key.home.window)
        names = [state.gate_id for state in self.gates.values()]
        return [name for name in names if gates is None or name in gates]

    def _arrive(self, index: int) -> None:
        copy = self.copies[index]
        copy.arrived = True
        if copy.node == copy.key.home.instance:
            self._begin(index)
        else:
            self._send(e.Forward(index))

    def _begin(self, index: int) -> None:
        copy = self.copies[index]
        state = self.homes[copy.key.home.instance]
        decision = state.home.begin(copy.key, NOW, copy.number)
        match decision:
            case StartAttempt(attempt):
                state.waiting.setdefault(copy.key, []).append(index)
                self._start(state, copy.key, attempt)
            case JoinAttempt():
                state.waiting.setdefault(copy.key, []).append(index)
            case Answered(outcome):
                self._answer(index, outcome)

    def _start(self, state: HomeState, key: ActionKey, attempt: int, gate: str = "") -> None:
        """Record an attempt; the next step chooses its gate unless one is given."""
        state.attempts[key] = attempt
        self.started_at[key, attempt] = self.refusals.get(key, 0)
        if not gate:
            usable = self._usable(state, key)
            if not usable:
                self._settle(state, key, attempt, NotRun(NotRunReason.NO_UPSTREAM))
                return
            gate = usable[attempt % len(usable)]
        state.phases[key] = HomePhase.AWAITING
        state.home.sent(key, attempt, gate)
        self._send(e.GateCall(key, attempt, gate))

    def _retry(self, key: ActionKey, gate: str) -> None:
        self.budget.retries -= 1
        state = self.homes[key.home.instance]
        decision = state.home.resend(key, state.attempts[key], state.refusals[key], NOW)
        match decision:
            case StartAttempt(attempt):
                self._start(state, key, attempt, gate)
            case JoinAttempt():
                state.phases[key] = HomePhase.AWAITING
            case Answered(outcome):
                self._answer_all(state, key, outcome)

    def _settle(self, state: HomeState, key: ActionKey, attempt: int, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            state.phases[key] = HomePhase.REFUSED
            state.refusals[key] = outcome
            return
        state.home.settle(key, attempt, outcome, NOW)
        self._answer_all(state, key, outcome)

    def _answer_all(self, state: HomeState, key: ActionKey, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            state.home.settle(key, state.attempts[key], outcome, NOW)
        state.phases.pop(key, None)
        for index in state.waiting.pop(key, []):
            self._answer(index, outcome)

    def _answer(self, index: int, outcome: Outcome) -> None:
        """Let a home tell a copy its outcome, over the network when it came that way."""
        copy = self.copies[index]
        self._check(copy.key, outcome)
        if copy.node == copy.key.home.instance:
            self._tell(index, outcome, "home")
        else:
            self._send(e.ForwardAnswer(index, outcome))

    def _tell(self, index: int, outcome: Outcome, told_by: str) -> None:
        copy = self.copies[index]
        if copy.outcome is None:
            copy.outcome = outcome
            copy.told_by = told_by

    def _check(self, key: ActionKey, outcome: Outcome) -> None:
        """Check an outcome at the moment that it is given."""
        match outcome:
            case NotRun():
                if self.effects.get(key):
                    raise Violation(f"'not run' was said of {key}, which ran")
                self.refusals[key] = self.refusals.get(key, 0) + 1
            case Ran(body=body):
                if body != self._body(key):
                    raise Violation(f"{key} was given the answer {body!r}")
                if not self.effects.get(key):
                    raise Violation(f"'ran' was said of {key}, which never ran")

    def _body(self, key: ActionKey) -> bytes:
        return str(key).encode()

    def _deliver(self, message: e.Message, keep: bool) -> None:
        if keep:
            self.budget.duplicates -= 1
        else:
            self.messages.remove(message)
        match message:
            case e.Forward(copy):
                if self.copies[copy].key.home.instance not in self.lost_homes:
                    self._begin(copy)
            case e.ForwardAnswer(copy, outcome):
                self._tell(copy, outcome, "home")
            case e.GateCall(key, attempt, gate):
                self._gate_call(key, attempt, gate)
            case e.GateAnswer(key, attempt, outcome):
                self._gate_answer(key, attempt, outcome)
            case e.Ask(key, attempt, gate):
                if (state := self._gate(gate)) is not None:
                    testimony = state.records.ask(key, attempt, NOW)
                    self._send(e.AskAnswer(key, attempt, testimony))
            case e.AskAnswer(key, attempt, testimony):
                self._ask_answer(key, attempt, testimony)
            case e.SealCall(copy, gate):
                self._seal_call(copy, gate)
            case e.SealTestimony(copy, gate, testimony):
                sealing = self.copies[copy].sealing
                sealing.heard(gate, testimony)
                self._conclude(copy)

    def _gate_call(self, key: ActionKey, attempt: int, gate: str) -> None:
        state = self._gate(gate)
        if state is None:
            return
        match state.records.admit(key, attempt, NOW):
            case Admit():
                state.phases[key] = (attempt, GatePhase.QUEUED)
            case Replay(outcome):
                self._send(e.GateAnswer(key, attempt, outcome))

    def _shed(self, gate: str, key: ActionKey) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases.pop(key)
        state.records.refused(key, attempt)
        self._send(e.GateAnswer(key, attempt, NotRun(NotRunReason.SHED)))

    def _execute(self, gate: str, key: ActionKey) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases[key]
        state.phases[key] = (attempt, GatePhase.EXECUTING)
        self.effects[key] = self.effects.get(key, 0) + 1
        if self.effects[key] > 1:
            raise Violation(f"{key} ran twice")
        if self.refusals.get(key, 0) > self.started_at[key, attempt]:
            raise Violation(f"{key} ran by attempt {attempt} after 'not run' was said of it")

    def _finish(self, gate: str, key: ActionKey, lost: bool) -> None:
        state = self.gates[gate]
        attempt, _ = state.phases.pop(key)
        outcome: Outcome = Ran(200, body=self._body(key))
        if lost:
            self.budget.losses -= 1
            outcome = Unknown(UnknownReason.LOST_UPSTREAM)
        state.records.ended(key, attempt, outcome, NOW)
        self._send(e.GateAnswer(key, attempt, outcome))

    def _lose_gate(self, gate: str) -> None:
        self.budget.losses -= 1
        self.gates[gate] = GateState(f"{gate}/2", self.gate_class())

    def _gate(self, gate_id: str) -> GateState | None:
        """Return a gate if the incarnation that a message names still lives."""
        state = self.gates[gate_id.split("/")[0]]
        return state if state.gate_id == gate_id else None

    def _gate_answer(self, key: ActionKey, attempt: int, outcome: Outcome) -> None:
        """Take a gate's answer for the attempt that the home waits for; drop any other."""
        state = self.homes[key.home.instance]
        awaited = state.phases.get(key) is HomePhase.AWAITING and state.attempts[key] == attempt
        if awaited and key.home.instance not in self.lost_homes:
            self._settle(state, key, attempt, outcome)

    def _time_out(self, key: ActionKey) -> None:
        self.budget.timeouts -= 1
        state = self.homes[key.home.instance]
        self._settle(state, key, state.attempts[key], Unknown(UnknownReason.LOST_LINK))

    def _doubt(self, key: ActionKey) -> None:
        doubt = self.homes[key.home.instance].home.doubt(key)
        ask = e.Ask(key, doubt.attempt, doubt.gate)
        if ask not in self.messages:
            self._send(ask)

    def _ask_answer(self, key: ActionKey, attempt: int, testimony) -> None:
        name = key.home.instance
        if name in self.lost_homes:
            return
        home = self.homes[name].home
        if home.doubt(key) is None or home.doubt(key).attempt != attempt:
            return
        match testimony.knowledge:
            case Knowledge.SEALED:
                home.settle(key, attempt, NotRun(NotRunReason.UNREACHABLE), NOW)
            case Knowledge.ENDED:
                home.settle(key, attempt, testimony.outcome, NOW)

    def _suspect(self, index: int) -> None:
        copy = self.copies[index]
        if copy.key.home.instance not in self.lost_homes:
            self.budget.suspicions -= 1
        copy.sealing = Sealing(copy.key, self.bound, self.known_gates)
        for gate in sorted(copy.sealing.to_ask):
            self._send(e.SealCall(index, gate))

    def _seal_call(self, index: int, gate: str) -> None:
        copy = self.copies[index]
        state = self._gate(gate)
        if state is None:
            copy.sealing.unreachable(gate)
            self._conclude(index)
            return
        seals = copy.sealing.seals
        records = state.records
        testimony = records.seal(copy.key, NOW) if seals else records.peek(copy.key)
        self._send(e.SealTestimony(index, gate, testimony))

    def _conclude(self, index: int) -> None:
        copy = self.copies[index]
        outcome = copy.sealing.outcome()
        if outcome is not None and copy.outcome is None:
            self._check(copy.key, outcome)
            self._tell(index, outcome, "gates")

    def _send(self, message: e.Message) -> None:
        """Put a message on the network, in the one order that equal sets of messages have."""
        self.messages.append(message)
        self.messages.sort(key=number_of)
