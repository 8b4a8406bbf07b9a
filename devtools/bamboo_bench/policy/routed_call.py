"""The sending side of a call: routing, retries, deadline and cancellation."""

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from bamboo_bench.policy.simulated_calls import Reply, SimCall, copy_for_attempt
from bamboojunction.core.outcomes import (
    NotRun,
    Outcome,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.fingerprints import suspect_fingerprint
from bamboojunction.core.retries.combined_outcome import combined_outcome
from bamboojunction.core.retries.policy import GiveUp, RetryAfter
from bamboojunction.core.routing.router import AttemptResult, RouteChoice, RouteRequest
from bamboojunction.core.table.rows import Effect

if TYPE_CHECKING:
    from bamboo_bench.policy.node import FakeNode


class RoutedCall:
    """A call at the sending node; it makes attempts until one settles the call.

    ``on_done`` receives the outcome of the call, unless the call is cancelled.
    """

    __slots__ = (
        "_cancel_sent_attempt",
        "_deadline_timer",
        "_earlier_outcome",
        "_excluded_instances",
        "_has_attempted",
        "_node",
        "_on_done",
        "_settled",
        "_sim_call",
        "_suspect_fingerprint",
    )

    def __init__(self, node: "FakeNode", sim_call: SimCall, on_done: Callable[[Outcome], None]):
        self._node = node
        self._sim_call = sim_call
        self._on_done = on_done
        self._excluded_instances: frozenset[str] = frozenset()
        self._suspect_fingerprint: int | None = None
        self._earlier_outcome: Outcome | None = None
        self._has_attempted = False
        self._settled = False
        self._cancel_sent_attempt: Callable[[], None] | None = None
        self._deadline_timer = node.clock.call_at(sim_call.call.deadline, self._expire)

    def attempt(self) -> None:
        """Send the call to an instance, unless it is refused at the edge or by the router."""
        if self._settled:
            return
        node, call = self._node, self._sim_call.call
        now = node.clock.now
        refusal = self._edge_refusal(now)
        if refusal is not None:
            return self._attempt_ended(replace(refusal, allowance_left=call.allowance))
        request = RouteRequest(
            service=call.service,
            kind=call.kind,
            rank=self._sim_call.row.rank,
            action=call.action,
            deadline=call.deadline,
            depth=call.depth,
            tried_instances=self._excluded_instances,
            idempotent=self._sim_call.row.effect is Effect.IDEMPOTENT,
            suspect_fingerprint=self._suspect_fingerprint,
        )
        match node.router.choose(request, now):
            case RouteChoice(instance=instance):
                self._send(instance)
            case NotRun() as refused:
                self._attempt_ended(replace(refused, allowance_left=call.allowance))

    def cancel(self) -> None:
        """Cancel the call, because its caller no longer waits for it."""
        if not self._settled:
            self._settle()
            self._cancel_pending_attempt()

    def _edge_refusal(self, now: float) -> NotRun | None:
        call, row = self._sim_call.call, self._sim_call.row
        if call.depth:
            return None
        return self._node.edge.check(row.services, row.rank, call.action, now)

    def _send(self, instance: str) -> None:
        node, sim_call = self._node, self._sim_call
        sent_at = node.clock.now
        node.router.record_sent(instance, sim_call.call.kind, sent_at)
        node.simulation.ledger.count_attempt(
            sim_call.call.service, is_first=not self._has_attempted
        )
        self._has_attempted = True

        def on_reply(reply: Reply) -> None:
            now = node.clock.now
            end = AttemptResult(
                instance=instance,
                kind=sim_call.call.kind,
                outcome=reply.outcome,
                report=reply.report,
                service_seconds=reply.service_seconds,
                elapsed_seconds=now - sent_at,
            )
            node.router.record_result(end, now)
            if reply.report is not None:
                node.edge.record_report(
                    sim_call.call.service, instance, reply.report, now, sim_call.call.depth
                )
            if not self._settled:
                self._cancel_sent_attempt = None
                self._excluded_instances |= {instance}
                self._attempt_ended(reply.outcome)

        self._cancel_sent_attempt = node.simulation.transmit(
            node, instance, copy_for_attempt(sim_call), on_reply
        )

    def _attempt_ended(self, outcome: Outcome) -> None:
        node, sim_call = self._node, self._sim_call
        now = node.clock.now
        policy = node.retry_policy(sim_call.call.service)
        allowance = outcome.allowance_left
        if node.policy.retries_per_hop is not None:
            allowance = sim_call.call.allowance
        match policy.decide(sim_call.row, outcome, allowance, sim_call.call.deadline, now):
            case GiveUp():
                self._finish(combined_outcome(self._earlier_outcome, outcome))
            case RetryAfter(delay=delay):
                self._earlier_outcome = combined_outcome(self._earlier_outcome, outcome)
                sim_call.call.allowance = allowance - 1
                self._suspect_fingerprint = (
                    suspect_fingerprint(sim_call.call, outcome) or self._suspect_fingerprint
                )
                node.clock.call_later(delay, self.attempt)

    def _expire(self) -> None:
        if not self._settled:
            self._cancel_pending_attempt()
            self._finish(Unknown(UnknownReason.DEADLINE))

    def _cancel_pending_attempt(self) -> None:
        if self._cancel_sent_attempt is not None and self._node.policy.propagates_cancellation:
            self._cancel_sent_attempt()

    def _finish(self, outcome: Outcome) -> None:
        self._settle()
        self._on_done(outcome)

    def _settle(self) -> None:
        self._settled = True
        self._deadline_timer.cancel()
