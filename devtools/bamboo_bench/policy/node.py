"""A node as the bench runs it: thin shells that carry out the decisions of the core classes."""

import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from bamboo_bench.policy.calls import (
    FAILED_STATUS,
    LOCAL_ONE_WAY_SECONDS,
    Reply,
    SimCall,
    has_succeeded,
)
from bamboo_bench.policy.clock import Timer, VirtualClock
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.routing import RoutedCall
from bamboo_bench.policy.upstream import POISON_BODY, FakeUpstream
from bamboojunction.core.admission.gate import Decision, Refuse, ServiceEnd, Start, Ticket
from bamboojunction.core.calls import Call
from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.decisions import HoldSuspect, RefuseSuspect, RunAlone
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.retries.allowance import AllowancePool


class Execution:
    """Run one admitted call at the upstream: its own time in parts, and its child calls between."""

    __slots__ = (
        "_child",
        "_gate",
        "_node",
        "_pool",
        "_position",
        "_timer",
        "below_seconds",
        "over",
        "sim",
        "started",
    )

    def __init__(self, gate: "GateCall", node: "FakeNode", sim: SimCall):
        self.sim = sim
        self.started = node.clock.now
        self.over = False
        self.below_seconds = 0.0
        self._gate = gate
        self._node = node
        self._pool = AllowancePool(sim.call.allowance)
        self._position = 0
        self._child: RoutedCall | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin with the part before the first child call."""
        upstream, call = self._node.upstream, self.sim.call
        upstream.running += 1
        if upstream.is_down:
            self._timer = self._node.clock.call_later(LOCAL_ONE_WAY_SECONDS, self._crashed)
        elif call.body == POISON_BODY and call.service == self._node.world.poisoned_service:
            self._timer = self._node.clock.call_later(0.005, upstream.crash)
        else:
            self._spend_part()

    def crashed(self) -> None:
        """Lose the execution with its upstream."""
        outcome = Unknown(UnknownReason.LOST_UPSTREAM)
        self._end(outcome, ServiceEnd.CRASHED)

    def stop(self) -> None:
        """Stop at the caller's wish."""
        self._end(Unknown(UnknownReason.CANCELLED), ServiceEnd.CANCELLED)

    def _crashed(self) -> None:
        self._end(NotRun(NotRunReason.UNREACHABLE), ServiceEnd.CRASHED)

    def _spend_part(self) -> None:
        step = self.sim.step
        part = step.own_seconds / (len(step.children) + 1)
        self._timer = self._node.upstream.spend(self.sim.call.kind, part, self._part_done)

    def _part_done(self) -> None:
        children = self.sim.step.children
        if self._position >= len(children):
            if self._node.upstream.fails():
                return self._end(Ran(FAILED_STATUS), ServiceEnd.FAILED)
            return self._end(Ran(200), ServiceEnd.SUCCEEDED)
        step = children[self._position]
        self._position += 1
        node, hop_retries = self._node, self._node.policy.hop_retries
        allowance = self._pool.lend() if hop_retries is None else hop_retries
        deadline = self.sim.call.deadline
        if not node.policy.carries_deadline:
            deadline = node.clock.now + self.sim.row.deadline_ms / 1000
        sent_at = node.clock.now

        def child_done(outcome: Outcome) -> None:
            self._child = None
            self.below_seconds += node.clock.now - sent_at
            self._pool.give_back(outcome.allowance_left)
            if has_succeeded(outcome):
                self._spend_part()
            else:
                self._end(Ran(FAILED_STATUS), ServiceEnd.FAILED)

        self._child = RoutedCall(node, self.sim.child(step, allowance, deadline), child_done)
        self._child.attempt()

    def _end(self, outcome: Outcome, end: ServiceEnd) -> None:
        if self.over:
            return
        self.over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._child is not None:
            self._child.cancel()
        upstream = self._node.upstream
        upstream.running = max(0, upstream.running - 1)
        self._gate.execution_ended(replace(outcome, allowance_left=self._pool.left), end)


class GateCall:
    """Take one call through the admission and the upstream; one attempt at the gate's shell."""

    __slots__ = (
        "_answer",
        "_answered",
        "_execution",
        "_node",
        "alone",
        "fingerprint",
        "sim",
        "ticket_id",
    )

    def __init__(
        self, node: "FakeNode", sim: SimCall, ticket_id: int, answer: Callable[[Reply], None]
    ):
        self.sim = sim
        self.ticket_id = ticket_id
        self.fingerprint = _fingerprint(sim.call)
        self.alone = False
        self._node = node
        self._answer = answer
        self._answered = False
        self._execution: Execution | None = None

    @property
    def answered(self) -> bool:
        """Return whether the call was answered or withdrawn."""
        return self._answered

    def start(self) -> None:
        """Run the call, which has a slot."""
        node = self._node
        if node.policy.carries_deadline and node.clock.now >= self.sim.call.deadline:
            node.finish(self, ServiceEnd.CANCELLED, 0.0, 0.0)
            return self.refuse(NotRun(NotRunReason.DEADLINE))
        refusal = node.guard.recheck(self.fingerprint, self.alone, node.clock.now)
        if refusal is not None:
            node.finish(self, ServiceEnd.CANCELLED, 0.0, 0.0)
            return self.refuse(refusal)
        node.guard.started(self.ticket_id, self.fingerprint, node.clock.now)
        self.sim.record.executions += 1
        if not node.upstream.is_down:
            node.world.ledger.count_execution(self.sim.attempt, node.service)
        self._execution = Execution(self, node, self.sim)
        node.executions.add(self._execution)
        self._execution.start()

    def refuse(self, outcome: NotRun) -> None:
        """Answer that the call did not run."""
        if self.alone:
            self._node.guard.released(self.fingerprint)
        self._node.waiting.pop(self.ticket_id, None)
        self._reply(replace(outcome, allowance_left=self.sim.call.allowance), 0.0)

    def withdraw(self) -> None:
        """Cancel the call, queued or running."""
        if self._answered:
            return
        self._answered = True
        if self._execution is not None:
            return self._execution.stop()
        if self.alone:
            self._node.guard.released(self.fingerprint)
        self._node.waiting.pop(self.ticket_id, None)
        self._node.carry_out(self._node.admission.cancel(self.ticket_id, self._node.clock.now))

    def execution_ended(self, outcome: Outcome, end: ServiceEnd) -> None:
        """Free the slot and answer."""
        node, execution = self._node, self._execution
        node.executions.discard(execution)
        now = node.clock.now
        seconds = now - execution.started
        succeeded = has_succeeded(outcome) and not self._answered
        node.world.ledger.add_execution(
            self.sim.attempt, node.service, execution.started, now, succeeded
        )
        node.tell_guard(self.ticket_id, outcome)
        node.finish(self, end, seconds, execution.below_seconds)
        self._reply(outcome, seconds)

    def _reply(self, outcome: Outcome, seconds: float) -> None:
        if self._answered:
            return
        self._answered = True
        node = self._node
        below = node.edge.export(self.sim.row.services, node.clock.now)
        self._answer(Reply(outcome, replace(node.report(), below=below), seconds))


class FakeNode:
    """Hold the decision classes of one node and its upstream."""

    __slots__ = (
        "_random",
        "_tick",
        "_tick_due",
        "_ticket_ids",
        "admission",
        "announcement",
        "clock",
        "edge",
        "executions",
        "guard",
        "policy",
        "retries_by_service",
        "router",
        "upstream",
        "waiting",
        "world",
    )

    def __init__(
        self,
        world,
        announcement: Announcement,
        policy: Policy,
        upstream: FakeUpstream,
        rng: random.Random,
    ):
        self.world = world
        self.clock: VirtualClock = world.clock
        self.announcement = announcement
        self.policy = policy
        self.upstream = upstream
        self.admission = policy.admission(upstream.slots, rng)
        self.router = policy.router(announcement.data_centre, rng)
        self.guard = policy.guard(announcement.instance)
        self.edge = policy.edge()
        self.retries_by_service = {}
        self._random = rng
        self.executions: set[Execution] = set()
        self.waiting: dict[int, GateCall] = {}
        self._ticket_ids = count(1)
        self._tick: Timer | None = None
        self._tick_due = 0.0
        upstream.crash_listener = self._upstream_crashed

    @property
    def service(self) -> str:
        """Return the service of the node's upstream."""
        return self.announcement.service

    def retries(self, service: str):
        """Return the retry policy of a service."""
        if service not in self.retries_by_service:
            self.retries_by_service[service] = self.policy.retries(self._random)
        return self.retries_by_service[service]

    def route(self, sim: SimCall, done: Callable[[Outcome], None]) -> RoutedCall:
        """Start a call of a client."""
        routed = RoutedCall(self, sim, done)
        routed.attempt()
        return routed

    def serve(self, sim: SimCall, answer: Callable[[Reply], None]) -> GateCall:
        """Offer a call to the admission."""
        gate_call = GateCall(self, sim, next(self._ticket_ids), answer)
        self._admit(gate_call)
        return gate_call

    def tell_guard(self, ticket_id: int, outcome: Outcome) -> None:
        """Tell the guard how a started call ended, and the other nodes what it found."""
        now = self.clock.now
        findings = []
        match outcome:
            case Ran():
                findings = self.guard.completed(ticket_id, now)
            case Unknown(reason=UnknownReason.LOST_UPSTREAM):
                findings = self.guard.crashed(ticket_id, now)
            case _:
                self.guard.abandoned(ticket_id)
        self.world.spread(self, findings)

    def hear(self, finding) -> None:
        """Take in a finding of another node."""
        self.world.spread(self, self.guard.learn(finding, self.clock.now))

    def _admit(self, gate_call: GateCall) -> None:
        """Hold, refuse or offer a call, as the guard decides."""
        if gate_call.answered:
            return
        now = self.clock.now
        match self.guard.admit(gate_call.fingerprint, self._is_quarantine, now):
            case RefuseSuspect(outcome=outcome):
                return gate_call.refuse(outcome)
            case HoldSuspect(seconds=seconds):
                if now + seconds >= gate_call.sim.call.deadline:
                    return gate_call.refuse(NotRun(NotRunReason.QUARANTINED, seconds))
                self.clock.call_later(seconds, self._admit, gate_call)
                return
            case RunAlone():
                gate_call.alone = True
        self._offer(gate_call)

    def _is_quarantine(self, fingerprint: int) -> bool:
        return self.world.is_quarantine(self, fingerprint)

    def _offer(self, gate_call: GateCall) -> None:
        call, row = gate_call.sim.call, gate_call.sim.row
        self.waiting[gate_call.ticket_id] = gate_call
        ticket = Ticket(
            ticket_id=gate_call.ticket_id,
            kind=call.kind,
            rank=row.rank,
            weight=row.weight,
            action=call.action,
            deadline=call.deadline,
            depth=call.depth,
            slots_max=row.slots_max,
        )
        self.carry_out(self.admission.offer(ticket, self.clock.now))

    def finish(self, gate_call: GateCall, end: ServiceEnd, seconds: float, below: float) -> None:
        """Give a slot back."""
        now = self.clock.now
        self.carry_out(
            self.admission.finish(gate_call.ticket_id, end, seconds, now, below_seconds=below)
        )

    def carry_out(self, decisions: list[Decision]) -> None:
        """Do what the admission decided, then wait for its next tick."""
        for decision in decisions:
            gate_call = self.waiting.pop(decision.ticket_id, None)
            match decision:
                case Start() if gate_call is not None:
                    gate_call.start()
                case Refuse(outcome=outcome) if gate_call is not None:
                    gate_call.refuse(outcome)
        self._arm_tick()

    def report(self) -> LoadReport:
        """Return the load report that leaves with an answer, true or not."""
        report = self.admission.report(self.clock.now)
        match self.upstream.condition.report_lie:
            case "idle":
                return replace(report, queued=0, in_flight=0, limit=self.upstream.slots)
            case "full":
                return replace(report, queued=200, in_flight=report.limit)
        return report

    def _arm_tick(self) -> None:
        due = self.admission.next_tick(self.clock.now)
        if due is None:
            return
        if self._tick is not None and self._tick_due <= due:
            return
        if self._tick is not None:
            self._tick.cancel()
        self._tick_due = due
        self._tick = self.clock.call_at(due, self._ticked)

    def _ticked(self) -> None:
        self._tick = None
        self.carry_out(self.admission.tick(self.clock.now))

    def _upstream_crashed(self) -> None:
        for execution in list(self.executions):
            execution.crashed()


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.kind, call.method, call.path, call.body)
