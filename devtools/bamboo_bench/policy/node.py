"""A simulated node: it carries out the decisions of the core classes without any I/O."""

import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from bamboo_bench.policy.clock import Timer, VirtualClock
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.routed_call import RoutedCall
from bamboo_bench.policy.simulated_calls import (
    FAILED_STATUS,
    LOCAL_ONE_WAY_DELAY_SECONDS,
    Reply,
    SimCall,
    has_succeeded,
)
from bamboo_bench.policy.upstream import POISON_BODY, FakeUpstream
from bamboojunction.core.admission.gate import CompletionStatus, Decision, Refuse, Start, Ticket
from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.decisions import DelaySuspect, RefuseSuspect, RunIsolated
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.retries.allowance import AllowancePool


class Execution:
    """An admitted call that runs at the upstream.

    Its own time is split into equal segments, with a child call between each two.
    """

    __slots__ = (
        "_allowance_pool",
        "_child_call",
        "_gate_call",
        "_next_child_index",
        "_node",
        "_timer",
        "child_seconds",
        "ended",
        "sim_call",
        "started_at",
    )

    def __init__(self, gate_call: "GateCall", node: "FakeNode", sim_call: SimCall):
        self.sim_call = sim_call
        self.started_at = node.clock.now
        self.ended = False
        self.child_seconds = 0.0
        self._gate_call = gate_call
        self._node = node
        self._allowance_pool = AllowancePool(sim_call.call.allowance)
        self._next_child_index = 0
        self._child_call: RoutedCall | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Run the first segment, unless the upstream is down or the request is poisoned."""
        upstream, call = self._node.upstream, self.sim_call.call
        upstream.running_executions += 1
        if upstream.is_down:
            self._timer = self._node.clock.call_later(
                LOCAL_ONE_WAY_DELAY_SECONDS, self._fail_unreachable
            )
        elif call.body == POISON_BODY and call.service == self._node.simulation.poisoned_service:
            self._timer = self._node.clock.call_later(0.005, upstream.crash)
        else:
            self._run_segment()

    def fail_with_upstream(self) -> None:
        """End the execution because its upstream crashed."""
        outcome = Unknown(UnknownReason.LOST_UPSTREAM)
        self._end(outcome, CompletionStatus.CRASHED)

    def cancel(self) -> None:
        """End the execution because its caller cancelled the call."""
        self._end(Unknown(UnknownReason.CANCELLED), CompletionStatus.CANCELLED)

    def _fail_unreachable(self) -> None:
        self._end(NotRun(NotRunReason.UNREACHABLE), CompletionStatus.CRASHED)

    def _run_segment(self) -> None:
        call_spec = self.sim_call.call_spec
        segment_seconds = call_spec.own_seconds / (len(call_spec.children) + 1)
        self._timer = self._node.upstream.schedule_own_time(
            self.sim_call.call.kind, segment_seconds, self._segment_done
        )

    def _segment_done(self) -> None:
        children = self.sim_call.call_spec.children
        if self._next_child_index >= len(children):
            if self._node.upstream.draws_failure():
                return self._end(Ran(FAILED_STATUS), CompletionStatus.FAILED)
            return self._end(Ran(200), CompletionStatus.SUCCEEDED)
        call_spec = children[self._next_child_index]
        self._next_child_index += 1
        node, retries_per_hop = self._node, self._node.policy.retries_per_hop
        allowance = self._allowance_pool.lend() if retries_per_hop is None else retries_per_hop
        deadline = self.sim_call.call.deadline
        if not node.policy.propagates_deadline:
            deadline = node.clock.now + self.sim_call.row.deadline_ms / 1000
        sent_at = node.clock.now

        def on_child_done(outcome: Outcome) -> None:
            self._child_call = None
            self.child_seconds += node.clock.now - sent_at
            self._allowance_pool.give_back(outcome.allowance_left)
            if has_succeeded(outcome):
                self._run_segment()
            else:
                self._end(Ran(FAILED_STATUS), CompletionStatus.FAILED)

        self._child_call = RoutedCall(
            node, self.sim_call.child(call_spec, allowance, deadline), on_child_done
        )
        self._child_call.attempt()

    def _end(self, outcome: Outcome, end: CompletionStatus) -> None:
        if self.ended:
            return
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._child_call is not None:
            self._child_call.cancel()
        upstream = self._node.upstream
        upstream.running_executions = max(0, upstream.running_executions - 1)
        self._gate_call.execution_ended(
            replace(outcome, allowance_left=self._allowance_pool.left), end
        )


class GateCall:
    """An attempt at the node that receives it, from admission to the reply."""

    __slots__ = (
        "_execution",
        "_node",
        "_send_reply",
        "_settled",
        "fingerprint",
        "runs_alone",
        "sim_call",
        "ticket_id",
    )

    def __init__(
        self,
        node: "FakeNode",
        sim_call: SimCall,
        ticket_id: int,
        send_reply: Callable[[Reply], None],
    ):
        self.sim_call = sim_call
        self.ticket_id = ticket_id
        self.fingerprint = _fingerprint(sim_call.call)
        self.runs_alone = False
        self._node = node
        self._send_reply = send_reply
        self._settled = False
        self._execution: Execution | None = None

    @property
    def settled(self) -> bool:
        """Return whether the call was answered or cancelled."""
        return self._settled

    def start(self) -> None:
        """Run the call, which was given a slot, unless its deadline passed or the guard refuses."""
        node = self._node
        if node.policy.propagates_deadline and node.clock.now >= self.sim_call.call.deadline:
            node.finish(self, CompletionStatus.CANCELLED, 0.0, 0.0)
            return self.refuse(NotRun(NotRunReason.DEADLINE))
        refusal = node.guard.recheck(self.fingerprint, self.runs_alone, node.clock.now)
        if refusal is not None:
            node.finish(self, CompletionStatus.CANCELLED, 0.0, 0.0)
            return self.refuse(refusal)
        node.guard.record_start(self.ticket_id, self.fingerprint, node.clock.now)
        self.sim_call.request_record.executions += 1
        if not node.upstream.is_down:
            node.simulation.ledger.count_execution(self.sim_call.try_record, node.service)
        self._execution = Execution(self, node, self.sim_call)
        node.executions.add(self._execution)
        self._execution.start()

    def refuse(self, outcome: NotRun) -> None:
        """Reply that the call did not run."""
        if self.runs_alone:
            self._node.guard.release(self.fingerprint)
        self._node.queued_by_ticket_id.pop(self.ticket_id, None)
        self._reply(replace(outcome, allowance_left=self.sim_call.call.allowance), 0.0)

    def cancel(self) -> None:
        """Cancel the call, whether it is queued or running."""
        if self._settled:
            return
        self._settled = True
        if self._execution is not None:
            return self._execution.cancel()
        if self.runs_alone:
            self._node.guard.release(self.fingerprint)
        self._node.queued_by_ticket_id.pop(self.ticket_id, None)
        self._node.apply_decisions(
            self._node.admission.cancel(self.ticket_id, self._node.clock.now)
        )

    def execution_ended(self, outcome: Outcome, end: CompletionStatus) -> None:
        """Record the execution, free its slot and reply."""
        node, execution = self._node, self._execution
        node.executions.discard(execution)
        now = node.clock.now
        seconds = now - execution.started_at
        succeeded = has_succeeded(outcome) and not self._settled
        node.simulation.ledger.record_execution(
            self.sim_call.try_record, node.service, execution.started_at, now, succeeded
        )
        node.report_to_guard(self.ticket_id, outcome)
        node.finish(self, end, seconds, execution.child_seconds)
        self._reply(outcome, seconds)

    def _reply(self, outcome: Outcome, seconds: float) -> None:
        if self._settled:
            return
        self._settled = True
        node = self._node
        edge_levels = node.edge.levels_to_relay(self.sim_call.row.services, node.clock.now)
        self._send_reply(Reply(outcome, replace(node.report(), below=edge_levels), seconds))


class FakeNode:
    """A node with its decision classes, its upstream and its calls in flight."""

    __slots__ = (
        "_random",
        "_tick_due_at",
        "_tick_timer",
        "_ticket_ids",
        "admission",
        "announcement",
        "clock",
        "edge",
        "executions",
        "guard",
        "policy",
        "queued_by_ticket_id",
        "retry_policy_by_service",
        "router",
        "simulation",
        "upstream",
    )

    def __init__(
        self,
        simulation,
        announcement: Announcement,
        policy: Policy,
        upstream: FakeUpstream,
        rng: random.Random,
    ):
        self.simulation = simulation
        self.clock: VirtualClock = simulation.clock
        self.announcement = announcement
        self.policy = policy
        self.upstream = upstream
        self.admission = policy.create_admission(upstream.slots, rng)
        self.router = policy.create_router(announcement.data_centre, rng)
        self.guard = policy.create_guard(announcement.instance)
        self.edge = policy.create_edge_levels()
        self.retry_policy_by_service = {}
        self._random = rng
        self.executions: set[Execution] = set()
        self.queued_by_ticket_id: dict[int, GateCall] = {}
        self._ticket_ids = count(1)
        self._tick_timer: Timer | None = None
        self._tick_due_at = 0.0
        upstream.on_crash = self._upstream_crashed

    @property
    def service(self) -> str:
        """Return the service of the node's upstream."""
        return self.announcement.service

    def retry_policy(self, service: str):
        """Return the retry policy for calls to a service, created on first use."""
        if service not in self.retry_policy_by_service:
            self.retry_policy_by_service[service] = self.policy.create_retry_policy(self._random)
        return self.retry_policy_by_service[service]

    def route(self, sim_call: SimCall, on_done: Callable[[Outcome], None]) -> RoutedCall:
        """Route a call of a client; ``on_done`` receives its outcome."""
        routed_call = RoutedCall(self, sim_call, on_done)
        routed_call.attempt()
        return routed_call

    def serve(self, sim_call: SimCall, send_reply: Callable[[Reply], None]) -> GateCall:
        """Take in an attempt from a link; ``send_reply`` receives its reply."""
        gate_call = GateCall(self, sim_call, next(self._ticket_ids), send_reply)
        self._admit(gate_call)
        return gate_call

    def report_to_guard(self, ticket_id: int, outcome: Outcome) -> None:
        """Report the end of a started call to the poison guard and propagate its findings."""
        now = self.clock.now
        findings = []
        match outcome:
            case Ran():
                findings = self.guard.record_completion(ticket_id, now)
            case Unknown(reason=UnknownReason.LOST_UPSTREAM):
                findings = self.guard.record_crash(ticket_id, now)
            case _:
                self.guard.record_abandoned(ticket_id)
        self.simulation.propagate_findings(self, findings)

    def receive_finding(self, finding) -> None:
        """Apply a finding of another node and propagate what follows from it."""
        self.simulation.propagate_findings(self, self.guard.apply_finding(finding, self.clock.now))

    def _admit(self, gate_call: GateCall) -> None:
        """Delay, refuse or queue a call, as the poison guard decides."""
        if gate_call.settled:
            return
        now = self.clock.now
        match self.guard.admit(gate_call.fingerprint, self._is_quarantine_instance, now):
            case RefuseSuspect(outcome=outcome):
                return gate_call.refuse(outcome)
            case DelaySuspect(seconds=seconds):
                if now + seconds >= gate_call.sim_call.call.deadline:
                    return gate_call.refuse(NotRun(NotRunReason.QUARANTINED, seconds))
                self.clock.call_later(seconds, self._admit, gate_call)
                return
            case RunIsolated():
                gate_call.runs_alone = True
        self._offer(gate_call)

    def _is_quarantine_instance(self, fingerprint: int) -> bool:
        return self.simulation.is_quarantine_instance(self, fingerprint)

    def _offer(self, gate_call: GateCall) -> None:
        call, row = gate_call.sim_call.call, gate_call.sim_call.row
        self.queued_by_ticket_id[gate_call.ticket_id] = gate_call
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
        self.apply_decisions(self.admission.submit(ticket, self.clock.now))

    def finish(
        self, gate_call: GateCall, end: CompletionStatus, seconds: float, child_seconds: float
    ) -> None:
        """Free the slot of a call; ``child_seconds`` of its ``seconds`` went to child calls."""
        now = self.clock.now
        self.apply_decisions(
            self.admission.finish(
                gate_call.ticket_id, end, seconds, now, child_call_seconds=child_seconds
            )
        )

    def apply_decisions(self, decisions: list[Decision]) -> None:
        """Start and refuse calls as the admission decided, then schedule its next tick."""
        for decision in decisions:
            gate_call = self.queued_by_ticket_id.pop(decision.ticket_id, None)
            match decision:
                case Start() if gate_call is not None:
                    gate_call.start()
                case Refuse(outcome=outcome) if gate_call is not None:
                    gate_call.refuse(outcome)
        self._schedule_tick()

    def report(self) -> LoadReport:
        """Return the load report of a reply, which the scenario may have falsified."""
        report = self.admission.report(self.clock.now)
        match self.upstream.condition.false_report:
            case "idle":
                return replace(report, queued=0, in_flight=0, limit=self.upstream.slots)
            case "full":
                return replace(report, queued=200, in_flight=report.limit)
        return report

    def _schedule_tick(self) -> None:
        due_at = self.admission.next_tick(self.clock.now)
        if due_at is None:
            return
        if self._tick_timer is not None and self._tick_due_at <= due_at:
            return
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._tick_due_at = due_at
        self._tick_timer = self.clock.call_at(due_at, self._on_tick)

    def _on_tick(self) -> None:
        self._tick_timer = None
        self.apply_decisions(self.admission.tick(self.clock.now))

    def _upstream_crashed(self) -> None:
        for execution in list(self.executions):
            execution.fail_with_upstream()


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.kind, call.method, call.path, call.body)
