"""The platform node's gate: admission of calls to the local upstream and their dispatch to it."""

import itertools
import time
from dataclasses import replace

from bamboojunction.core.admission.dependencies import ServiceDependencies, child_call_rank
from bamboojunction.core.admission.gate import AdmissionController, CompletionStatus, Ticket
from bamboojunction.core.calls import Call
from bamboojunction.core.graceful_shutdown import CallDurations, StopWindow
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.retries.chain_costs import ChainCosts
from bamboojunction.core.retries.forwarding import SERVER_ERROR_STATUS
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.core.table.rows import Effect, Row, default_weight
from bamboojunction.links.replies import GateReply
from bamboojunction.node.gate import GateService
from bamboojunction.node.running_calls import RunningCall, RunningCalls
from bamboojunction.platform import requests
from bamboojunction.platform_node.local_upstream import LocalUpstream
from bamboojunction.telemetry.events import EventLog
from bamboojunction.upstreams.client import UpstreamResult
from bamboojunction.upstreams.connection import ExchangeFailure, RawResponse
from bamboojunction.upstreams.pool import UpstreamPool
from bamboojunction.upstreams.recent_ids import RecentRequestIds

# Used until the first heartbeat of the upstream reports the real number.
INITIAL_SLOTS = 1
UNREACHABLE_RETRY_AFTER_SECONDS = 0.1


class UpstreamSender:
    """A client that sends admitted calls to the local upstream."""

    __slots__ = ("_current_routes", "_pool", "_sent_ids", "on_misdirected_call")

    def __init__(self, pool: UpstreamPool, current_routes: CurrentRoutes):
        self._pool = pool
        self._sent_ids = RecentRequestIds()
        self._current_routes = current_routes
        self.on_misdirected_call = lambda: None

    async def send(self, call: Call, headers: list[tuple[str, str]]) -> UpstreamResult:
        """Send a call and read the whole response, at most until the call's deadline."""
        # The event loop's clock may have a resolution of only one millisecond.
        started = time.monotonic()
        request = render_request(call, headers)
        # A parent call that runs again makes its child calls again, under the same ids. On a
        # connection that carried an id before, a late copy of the first answer looks like the next.
        may_reuse = not self._sent_ids.record(call.action)
        response = await self._pool.exchange(
            request,
            self._is_idempotent(call),
            lambda headers: requests.response_owner(headers, call.action),
            call.deadline,
            may_reuse,
        )
        outcome, completion_status = self._interpret_response(call, response)
        seconds = time.monotonic() - started
        # A connection may also be reset while the upstream goes on.
        is_broken = response in (ExchangeFailure.CLOSED, ExchangeFailure.TRUNCATED)
        is_crash_seen = is_broken and await self._pool.refuses_connections()
        return UpstreamResult(outcome, completion_status, seconds, is_crash_seen)

    def _is_idempotent(self, call: Call) -> bool:
        return self._current_routes.row(call.kind).effect is Effect.IDEMPOTENT

    def _interpret_response(
        self, call: Call, response: RawResponse | ExchangeFailure
    ) -> tuple[Outcome, CompletionStatus]:
        match response:
            case ExchangeFailure.NOT_SENT:
                refusal = NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_SECONDS)
                return refusal, CompletionStatus.FAILED
            case ExchangeFailure.DEADLINE:
                return Unknown(UnknownReason.DEADLINE), CompletionStatus.FAILED
            case ExchangeFailure.CLOSED:
                return Unknown(UnknownReason.LOST_UPSTREAM), CompletionStatus.FAILED
            case ExchangeFailure.OVERSIZED:
                return Unknown(UnknownReason.TOO_LARGE), CompletionStatus.FAILED
            case ExchangeFailure():
                return Unknown(UnknownReason.TRUNCATED), CompletionStatus.FAILED
        if requests.request_id_of(response.headers) != call.action:
            # Nothing proves that the response belongs to this request, not even a refusal.
            return Unknown(UnknownReason.TRUNCATED), CompletionStatus.FAILED
        if requests.is_refusal(response.status, response.headers):
            if requests.is_misdirected(response.status):
                self.on_misdirected_call()
            return NotRun(NotRunReason.UPSTREAM_REFUSED), CompletionStatus.OVERLOADED
        headers = requests.end_to_end_headers(response.headers)
        is_unproven = requests.is_unstamped_success(response.status, headers) or (
            not self._is_idempotent(call) and requests.tells_caller_not_run(response.status)
        )
        if is_unproven:
            return Unknown(UnknownReason.TRUNCATED), CompletionStatus.FAILED
        completion_status = (
            CompletionStatus.FAILED if response.status >= 500 else CompletionStatus.SUCCEEDED
        )
        return Ran(response.status, headers, response.body), completion_status


def _is_refused_by_gate(outcome: Outcome) -> bool:
    """Return whether a call was not run and never reached the upstream."""
    return isinstance(outcome, NotRun) and outcome.reason is not NotRunReason.UPSTREAM_REFUSED


def render_request(call: Call, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of an HTTP/1.1 request with a Content-Length body."""
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"content-length: {len(call.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + call.body


class PlatformNodeGate(GateService):
    """A gate whose number of slots and state follow the heartbeats of the local upstream."""

    __slots__ = (
        "_durations",
        "_events",
        "_is_stopping",
        "_local_upstream",
        "_running_by_request_id",
        "_service",
        "chain_costs",
        "dependencies",
        "stop_window",
    )

    def __init__(
        self,
        client: UpstreamSender,
        current_routes: CurrentRoutes,
        local_upstream: LocalUpstream,
        service: str,
        events: EventLog,
        guard: PoisonGuard | None = None,
    ):
        super().__init__(
            AdmissionController(INITIAL_SLOTS),
            client,
            current_routes,
            guard or PoisonGuard(isolates_suspects=False),
            # The upstream is not told the token of a call here, so it need not be random.
            RunningCalls(create_token=map(str, itertools.count()).__next__),
        )
        self._local_upstream = local_upstream
        self._service = service
        self._is_stopping = False
        self.stop_window: StopWindow | None = None
        self._durations = CallDurations(self._loop.time())
        self._running_by_request_id: dict[str, Call] = {}
        self._events = events
        self.dependencies = ServiceDependencies()
        self.chain_costs = ChainCosts()

    def parent_of(self, request_id: str) -> Call | None:
        """Return the running call that a request is a child of, or None.

        An upstream derives the id of a child request from its own request id, as ``<id>.<suffix>``.
        """
        return self._running_by_request_id.get(request_id.rpartition(".")[0])

    def stop(self) -> None:
        """Refuse all new calls from now on, whatever the upstream reports."""
        self._is_stopping = True
        self.drain()

    def reset_slots(self, slots: int) -> None:
        """Replace the admission state for a restarted upstream.

        Queued calls are refused; calls that still run at the old incarnation no longer occupy a
        slot.
        """
        self._apply_decisions(self._admission.drain(self._loop.time()))
        self._admission = AdmissionController(slots)

    async def _serve(self, call: Call) -> GateReply:
        started = self._loop.time()
        reply = await self._serve_or_refuse(call)
        if self._is_stopping and _is_refused_by_gate(reply.outcome):
            # The upstream keeps running while this node restarts, so peers should soon retry here.
            reply = self._refusal_reply(call, NotRun(NotRunReason.UNREACHABLE))
        seconds = self._loop.time() - started
        self._events.gate_answered(call, reply, seconds)
        return replace(reply, gate_seconds=seconds)

    async def _serve_or_refuse(self, call: Call) -> GateReply:
        if call.service != self._service or not self._local_upstream.is_known:
            return self._refusal_reply(call, NotRun(NotRunReason.UNREACHABLE))
        if self._is_stopping or not self._local_upstream.is_serving:
            return self._refusal_reply(call, NotRun(NotRunReason.DRAINING))
        refusal = self._refusal_before_start(call) or self._chain_refusal(call)
        if refusal is not None:
            return self._refusal_reply(call, refusal)
        fingerprint = fingerprint_of(
            call.kind, call.method, call.path, call.body, call.caller_service
        )
        refusal = await self._wait_for_guard(call, fingerprint)
        if refusal is not None:
            return self._refusal_reply(call, refusal)
        return await self._serve_admitted(call, fingerprint, False)

    def _refusal_before_start(self, call: Call) -> NotRun | None:
        """Refuse a call that would be cut off when this node closes."""
        if self.stop_window is None or self._is_safe_to_start(call, self.stop_window):
            return None
        # Shorter calls are still served, so peers must not take the instance for draining.
        return NotRun(NotRunReason.FULL, UNREACHABLE_RETRY_AFTER_SECONDS)

    def _is_safe_to_start(self, call: Call, stop_window: StopWindow) -> bool:
        """Return whether a call is not lost when this node closes.

        An idempotent call that is cut off is repeated at another gate, so an estimate of its end is
        enough. Any other call is lost, while another gate can serve it if it is refused here.
        """
        if self._current_table.row(call.kind).effect is not Effect.IDEMPOTENT:
            return stop_window.ends_within(call.deadline)
        now = self._loop.time()
        return stop_window.has_room(call.deadline, self._durations.longest(call.kind, now), now)

    def _chain_refusal(self, call: Call) -> NotRun | None:
        """Refuse a call at the top of its chain if a service below would shed the chain.

        The upstream of this gate makes such calls all the time, so its node knows earlier than the
        node where the call entered.
        """
        if call.depth:
            return None
        row = self._current_table.row(call.kind)
        services = (
            service for service in self.dependencies.services(call.kind) if service != self._service
        )
        return self.edge.check(
            services, child_call_rank(row.rank), call.root_action, self._loop.time()
        )

    def _create_ticket(self, call: Call, row: Row) -> Ticket:
        """Return a ticket ranked by the root call, so that a call chain is shed as a whole."""
        ticket = super()._create_ticket(call, row)
        ticket.action = call.root_action or call.action
        if call.inherited_rank is not None:
            ticket.rank = call.inherited_rank
            ticket.weight = default_weight(call.inherited_rank)
        return ticket

    def _report_for(self, call: Call) -> LoadReport:
        below = self.edge.levels_to_relay(self.dependencies.services(call.kind), self._loop.time())
        report = self.report()
        if not below and not report.draining:
            return report
        return replace(report, below=below, draining=False)

    async def _run(self, ticket: Ticket, call: Call, fingerprint: int) -> GateReply:
        self._running_by_request_id[call.action] = call
        started_at = self._loop.time()
        try:
            reply = await super()._run(ticket, call, fingerprint)
        finally:
            self._running_by_request_id.pop(call.action, None)
        if not isinstance(reply.outcome, NotRun):
            now = self._loop.time()
            self._durations.record(call.kind, now - started_at, now)
        match reply.outcome:
            case Ran(status=status) if status >= SERVER_ERROR_STATUS and call.has_refused_child:
                return replace(reply, outcome=replace(reply.outcome, failed_below=True))
            case Ran(status=status) if status < SERVER_ERROR_STATUS and call.child_calls:
                return replace(reply, calls_below=self.chain_costs.calls_of_run(call.child_calls))
        return reply

    def _shows_crash(self, reply: UpstreamResult) -> bool:
        return reply.is_crash_seen

    def _upstream_headers(self, running: RunningCall) -> list[tuple[str, str]]:
        call = running.call
        remaining = call.deadline - self._loop.time()
        return requests.upstream_headers(
            call.headers, remaining, self._local_upstream.instance_id, call.caller_service
        )
