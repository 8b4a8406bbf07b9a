"""Forwarding of requests to the gates of upstream instances, with failover and retries."""

import asyncio
import random

from bamboojunction.core.admission.dependencies import child_call_rank
from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran
from bamboojunction.core.retries.chain_budget import ChainRetryBudget
from bamboojunction.core.retries.combined_outcome import combined_outcome
from bamboojunction.core.retries.fleet_budget import FleetRetryBudget, FleetSize, RetryLimit
from bamboojunction.core.retries.forwarding import (
    REFUSED_BEFORE_UPSTREAM,
    SERVER_ERROR_STATUS,
    RequestAttempts,
    Step,
    next_step,
)
from bamboojunction.core.routing.router import Router
from bamboojunction.core.table.rows import Row
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.node.call_router import AttemptProgress, CallRouter, KeyedAttemptTracker
from bamboojunction.platform_node.gate import PlatformNodeGate
from bamboojunction.telemetry.events import EventLog


class Forwarder(CallRouter):
    """A router that forwards each request to gates until its outcome is final."""

    __slots__ = (
        "_budget_by_service",
        "_events",
        "_fleet_size",
        "_local_gate",
        "_random",
        "_retry_limit",
    )

    def __init__(
        self,
        instance: str,
        router: Router,
        view: MembershipView,
        links: LinkPool,
        gate: PlatformNodeGate,
        retry_limit: RetryLimit,
        events: EventLog,
        rng: random.Random | None = None,
    ):
        super().__init__(instance, router, view, links, gate, gate.edge)
        self._retry_limit = retry_limit
        self._random = rng or random.Random()
        self._events = events
        self._budget_by_service: dict[str, FleetRetryBudget] = {}
        self._local_gate = gate
        self._fleet_size = FleetSize()

    @property
    def node_count(self) -> int:
        """Return the number of nodes that share the retry limit; a new one may be set."""
        return self._fleet_size.count(self._loop.time())

    @node_count.setter
    def node_count(self, count: int) -> None:
        self._fleet_size.record(count, self._loop.time())

    def set_retry_limit(self, retry_limit: RetryLimit) -> None:
        """Replace the retry limit and discard the budgets earned under the old one."""
        self._retry_limit = retry_limit
        self._budget_by_service.clear()

    def budget(self, service: str) -> FleetRetryBudget:
        """Return this node's retry budget for a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = FleetRetryBudget(self._retry_limit, self._loop.time(), self._random)
            self._budget_by_service[service] = budget
        budget.node_count = self.node_count
        return budget

    def _chain_budget(self, call: Call) -> ChainRetryBudget:
        calls_by_service = self._local_gate.chain_costs.calls(call.kind)
        services = {call.service, *calls_by_service}
        return ChainRetryBudget(
            call.service,
            calls_by_service,
            {service: self.budget(service) for service in services},
            self._random,
        )

    def retries_left(self) -> int:
        """Return the number of earned and unspent retries, summed over all services."""
        return sum(budget.retries_left() for budget in self._budget_by_service.values())

    async def route(
        self, call: Call, row: Row, attempt_tracker: KeyedAttemptTracker | None = None
    ) -> Outcome:
        """Send a request to gates until its outcome is final or no further attempt is allowed."""
        progress = AttemptProgress(attempt_tracker, only_untried=True)
        attempts = RequestAttempts()
        budget = self._chain_budget(call)
        while True:
            started = self._loop.time()
            outcome, instance = await self._attempt(call, row, progress)
            now = self._loop.time()
            if isinstance(outcome, NotRun) and outcome.reason in REFUSED_BEFORE_UPSTREAM:
                attempts.moves += 1
            elif instance is not None:
                attempts.arrivals += 1
            step = next_step(row, outcome, attempts, budget, call.deadline, now)
            self._events.attempt_ended(
                call, outcome, instance, step, now - started, budget.retries_left()
            )
            if step is Step.ANSWER:
                return combined_outcome(progress.earlier_outcome, outcome)
            progress.record(call, outcome, instance)
            call.attempt += 1
            # Platform nodes do not quarantine suspected requests.
            progress.suspect = None
            if instance is None or _is_unreachable(outcome):
                # Yield to the event loop, so that the results of other requests are recorded before
                # the next instance is chosen.
                await asyncio.sleep(0)

    def _edge_refusal(self, call: Call, row: Row, now: float) -> NotRun | None:
        """Refuse a new call if its service, or one that its kind reaches, would shed it."""
        if call.depth or call.attempt:
            return None
        downstream_services = (
            name
            for name in self._local_gate.dependencies.services(call.kind)
            if name != call.service
        )
        return self._edge_shedder.check(
            (call.service,), row.rank, call.root_action, now
        ) or self._edge_shedder.check(
            downstream_services, child_call_rank(row.rank), call.root_action, now
        )

    def _record_duration(self, call: Call, instance: str, reply: GateReply, elapsed: float) -> None:
        if isinstance(reply.outcome, Ran) and reply.outcome.status < SERVER_ERROR_STATUS:
            self._local_gate.chain_costs.record_run(call.kind, reply.calls_below)
        if instance != self._instance and reply.gate_seconds:
            self._events.prometheus_metrics.record_link_time(
                call.kind, call.service, elapsed - reply.gate_seconds
            )

    def _record_load_report(
        self, call: Call, instance: str, report: LoadReport, now: float
    ) -> None:
        super()._record_load_report(call, instance, report, now)
        parent = self._local_gate.parent_of(call.action) if call.depth else None
        parent_kind = None if parent is None else parent.kind
        self._local_gate.dependencies.record_answer(call.kind, call.service, report, parent_kind)


def _is_unreachable(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is NotRunReason.UNREACHABLE
