"""The router's shell in the bench: attempts one call until it is settled."""

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from bamboo_bench.policy.calls import Reply, SimCall, replace_call
from bamboojunction.core.outcomes import (
    NotRun,
    Outcome,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.fingerprints import suspect_after
from bamboojunction.core.retries.policy import GiveUp, RetryAfter
from bamboojunction.core.retries.truth import outcome_of_all
from bamboojunction.core.routing.router import AttemptEnd, Chosen, RouteRequest
from bamboojunction.core.table.rows import Effect

if TYPE_CHECKING:
    from bamboo_bench.policy.node import FakeNode


class RoutedCall:
    """Attempt one call until it is settled; the router's shell."""

    __slots__ = (
        "_attempted",
        "_done",
        "_earlier",
        "_excluded",
        "_node",
        "_settled",
        "_sim",
        "_suspect",
        "_timer",
        "_withdraw",
    )

    def __init__(self, node: "FakeNode", sim: SimCall, done: Callable[[Outcome], None]):
        self._node = node
        self._sim = sim
        self._done = done
        self._excluded: frozenset[str] = frozenset()
        self._suspect: int | None = None
        self._earlier: Outcome | None = None
        self._attempted = False
        self._settled = False
        self._withdraw: Callable[[], None] | None = None
        self._timer = node.clock.call_at(sim.call.deadline, self._expire)

    def attempt(self) -> None:
        """Choose an instance and send it the call."""
        if self._settled:
            return
        node, call = self._node, self._sim.call
        now = node.clock.now
        refusal = self._refusal_at_edge(now)
        if refusal is not None:
            return self._ended(replace(refusal, allowance_left=call.allowance))
        request = RouteRequest(
            service=call.service,
            kind=call.kind,
            rank=self._sim.row.rank,
            action=call.action,
            deadline=call.deadline,
            depth=call.depth,
            excluded=self._excluded,
            idempotent=self._sim.row.effect is Effect.IDEMPOTENT,
            suspect=self._suspect,
        )
        match node.router.choose(request, now):
            case Chosen(instance=instance):
                self._send(instance)
            case NotRun() as refused:
                self._ended(replace(refused, allowance_left=call.allowance))

    def cancel(self) -> None:
        """Withdraw the call, as its caller went away."""
        if not self._settled:
            self._settle()
            self._withdraw_attempt()

    def _refusal_at_edge(self, now: float) -> NotRun | None:
        call, row = self._sim.call, self._sim.row
        if call.depth:
            return None
        return self._node.edge.refusal(row.services, row.rank, call.action, now)

    def _send(self, instance: str) -> None:
        node, sim = self._node, self._sim
        started = node.clock.now
        node.router.sent(instance, sim.call.kind, started)
        node.world.ledger.count_attempt(sim.call.service, is_first=not self._attempted)
        self._attempted = True

        def answered(reply: Reply) -> None:
            now = node.clock.now
            end = AttemptEnd(
                instance=instance,
                kind=sim.call.kind,
                outcome=reply.outcome,
                report=reply.report,
                service_seconds=reply.service_seconds,
                elapsed=now - started,
            )
            node.router.ended(end, now)
            if reply.report is not None:
                node.edge.learn(sim.call.service, instance, reply.report, now, sim.call.depth)
            if not self._settled:
                self._withdraw = None
                self._excluded |= {instance}
                self._ended(reply.outcome)

        self._withdraw = node.world.transmit(node, instance, replace_call(sim), answered)

    def _ended(self, outcome: Outcome) -> None:
        node, sim = self._node, self._sim
        now = node.clock.now
        policy = node.retries(sim.call.service)
        allowance = outcome.allowance_left
        if node.policy.hop_retries is not None:
            allowance = sim.call.allowance
        match policy.decide(sim.row, outcome, allowance, sim.call.deadline, now):
            case GiveUp():
                self._finish(outcome_of_all(self._earlier, outcome))
            case RetryAfter(delay=delay):
                self._earlier = outcome_of_all(self._earlier, outcome)
                sim.call.allowance = allowance - 1
                self._suspect = suspect_after(sim.call, outcome) or self._suspect
                node.clock.call_later(delay, self.attempt)

    def _expire(self) -> None:
        if not self._settled:
            self._withdraw_attempt()
            self._finish(Unknown(UnknownReason.DEADLINE))

    def _withdraw_attempt(self) -> None:
        if self._withdraw is not None and self._node.policy.cancels:
            self._withdraw()

    def _finish(self, outcome: Outcome) -> None:
        self._settle()
        self._done(outcome)

    def _settle(self) -> None:
        self._settled = True
        self._timer.cancel()
