"""The HTTP application of a platform node: caller requests, upstream reports and probes."""

import asyncio
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from result import Err, Ok

from bamboojunction.callers.connection import Rejection
from bamboojunction.core.admission.dependencies import child_call_rank
from bamboojunction.core.calls import Call
from bamboojunction.core.graceful_shutdown import CallDurations, StopWindow
from bamboojunction.core.http_messages import HttpRequest, HttpResponse, RawHeaders
from bamboojunction.core.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bamboojunction.core.retries.forwarding import shows_shortage
from bamboojunction.core.routes import CurrentRoutes, Route
from bamboojunction.core.table.rows import Effect
from bamboojunction.platform import heartbeats, requests
from bamboojunction.platform.requests import CallerHeaders
from bamboojunction.platform_node.forwarder import Forwarder
from bamboojunction.platform_node.gate import PlatformNodeGate
from bamboojunction.platform_node.local_upstream import LocalUpstream, UpstreamChange
from bamboojunction.telemetry.events import EventLog

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
# By then the caller reaches another node or the restarted process of this one.
STOPPING_RETRY_AFTER_SECONDS = 0.3
# By then some of the bodies that fill the memory have been passed on.
MEMORY_RETRY_AFTER_SECONDS = 0.5
# How long the acknowledgement of a departure waits for the store. The upstream asks for an answer
# within a second.
STORE_DEPARTURE_SECONDS = 0.5
METRICS_PATH = "/metrics"


class PlatformNodeApp:
    """The application of a node, which dispatches each request by the port it arrived on."""

    def __init__(
        self,
        service: str,
        current_routes: CurrentRoutes,
        forwarder: Forwarder,
        local_upstream: LocalUpstream,
        gate: PlatformNodeGate,
        events: EventLog,
        ports: "PlatformNodeAppPorts",
    ):
        self._service = service
        self._current_routes = current_routes
        self._forwarder = forwarder
        self._local_upstream = local_upstream
        self._gate = gate
        self._events = events
        self._ports = ports
        # Waits, at most the given seconds, until the store holds the state of the local upstream.
        self.wait_until_stored: Callable[[float], Awaitable[bool]] = _is_stored
        self._loop = asyncio.get_running_loop()
        self._durations = CallDurations(self._loop.time())
        self.stop_window: StopWindow | None = None
        self.in_flight = 0
        self.is_stopping = False
        self.is_refusing_callers = False

    @property
    def body_max_bytes(self) -> int:
        """Return the size of the largest body that the configuration allows."""
        return self._current_routes.routes.body_max_bytes

    def may_run_ahead(self, request: HttpRequest) -> bool:
        """Return whether a pipelined request is idempotent."""
        if request.port != self._ports.callers:
            return False
        route = self._find_route(requests.host_of(request.headers), request.target)
        return route is not None and route.row.effect is Effect.IDEMPOTENT

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.port == self._ports.callers:
            return await self._serve_caller(request)
        if request.port == self._ports.reports:
            return await self._handle_report(request)
        return self._serve_probe(_decoded_path(request.target))

    def reject(self, rejection: Rejection, headers: RawHeaders) -> HttpResponse:
        """Return the response to a request that was not passed on."""
        request_id = requests.read_caller_headers(headers).request_id
        self._events.request_rejected(request_id, rejection.name.lower())
        match rejection:
            case Rejection.MALFORMED:
                return requests.error_response(400, "malformed", request_id)
            case Rejection.HEAD_TOO_LARGE:
                return requests.error_response(431, "too-large", request_id)
            case Rejection.BODY_TOO_LARGE:
                return requests.error_response(413, "too-large", request_id)
            case Rejection.OUT_OF_MEMORY:
                refusal = NotRun(NotRunReason.FULL, MEMORY_RETRY_AFTER_SECONDS)
                return requests.outcome_response(refusal, request_id)
            case Rejection.INTERNAL_ERROR:
                unknown = Unknown(UnknownReason.LOST_UPSTREAM)
                return requests.outcome_response(unknown, request_id)

    def _serve_probe(self, path: str) -> HttpResponse:
        if path == METRICS_PATH:
            text = self._events.prometheus_metrics.render()
            return HttpResponse(200, (("content-type", "text/plain; version=0.0.4"),), text)
        if path != requests.READY_PATH:
            return HttpResponse(404)
        is_ready = not self.is_stopping and self._current_routes.routes.version > 0
        return HttpResponse(200 if is_ready else 503)

    async def _handle_report(self, request: HttpRequest) -> HttpResponse:
        path = _decoded_path(request.target)
        match heartbeats.read_report(request.method, path, request.body):
            case Ok(report):
                change = self._local_upstream.apply(report)
                has_left = change in (UpstreamChange.DRAINING, UpstreamChange.GONE)
                # An acknowledged departure binds also the next process of this node.
                if has_left and not await self.wait_until_stored(STORE_DEPARTURE_SECONDS):
                    self._events.departure_not_stored(report.instance_id)
                return HttpResponse(200, (("content-type", "application/json"),), b"{}")
            case Err(problem):
                self._events.upstream_report_rejected(request.method, path, problem)
                return HttpResponse(400)

    async def _serve_caller(self, request: HttpRequest) -> HttpResponse:
        self.in_flight += 1
        headers = requests.read_caller_headers(request.headers)
        route = self._find_route(headers.host, request.target)
        try:
            response = await self._handle_call(request, headers, route)
        except asyncio.CancelledError:
            self._events.request_cancelled(
                headers.request_id, self._loop.time() - request.arrived_at
            )
            raise
        finally:
            self.in_flight -= 1
        self._events.request_answered(
            headers.request_id,
            _decoded_path(request.target),
            "" if route is None else route.row.kind,
            response.status,
            self._loop.time() - request.arrived_at,
            self._current_routes.routes.version,
        )
        return response

    def _find_route(self, host: str, target: bytes) -> Route | None:
        return self._current_routes.routes.find(host, _decoded_path(target))

    async def _handle_call(
        self, request: HttpRequest, headers: CallerHeaders, route: Route | None
    ) -> HttpResponse:
        parent = self._gate.parent_of(headers.request_id)
        is_root_call = parent is None
        if self.is_refusing_callers and is_root_call:
            refusal = NotRun(NotRunReason.DRAINING, STOPPING_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        if route is None and self._current_routes.routes.version:
            return requests.error_response(404, "no-route", headers.request_id)
        if route is None or not route.weighted_services:
            refusal = NotRun(NotRunReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        call = self._build_call(request, headers, route)
        if self._loop.time() >= call.deadline:
            # The request waited for those ahead of it on its connection.
            return requests.outcome_response(NotRun(NotRunReason.DEADLINE), headers.request_id)
        if not self._can_finish(call):
            refusal = NotRun(NotRunReason.DRAINING, STOPPING_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        if parent is None:
            call.root_action, call.inherited_rank = call.action, route.row.rank
            self._forwarder.budget(call.service).record_request(self._loop.time())
        else:
            call.root_action, call.depth = parent.root_action, parent.depth + 1
            call.inherited_rank = (
                route.row.rank
                if parent.inherited_rank is None
                else child_call_rank(parent.inherited_rank)
            )
            parent.child_calls.append((call.kind, call.service))
        started_at = self._loop.time()
        outcome = await self._forwarder.route(call, route.row)
        if not isinstance(outcome, NotRun):
            now = self._loop.time()
            self._durations.record(call.kind, now - started_at, now)
        if parent is not None and shows_shortage(outcome):
            parent.has_refused_child = True
        return requests.outcome_response(outcome, headers.request_id)

    def _can_finish(self, call: Call) -> bool:
        """Return whether a call is expected to end before this node closes, if it is stopping."""
        now = self._loop.time()
        return self.stop_window is None or self.stop_window.has_room(
            call.deadline, self._durations.longest(call.kind, now), now
        )

    def _build_call(self, request: HttpRequest, headers: CallerHeaders, route: Route) -> Call:
        timeout = (
            route.timeout
            if headers.remaining_seconds is None
            else min(route.timeout, headers.remaining_seconds)
        )
        return Call(
            action=headers.request_id,
            kind=route.row.kind,
            service=self._current_routes.select_service(route),
            deadline=request.arrived_at + timeout,
            method=request.method,
            path=request.target.decode("latin-1"),
            headers=headers.forwarded,
            body=request.body,
            caller_service=self._service,
            goal_seconds=route.goal_seconds,
        )


class PlatformNodeAppPorts:
    """The ports that tell the type of a request; any other port takes probes of the metrics."""

    __slots__ = ("callers", "ready", "reports")

    def __init__(self, callers: int, ready: int, reports: int):
        self.callers = callers
        self.ready = ready
        self.reports = reports

    @property
    def all(self) -> frozenset[int]:
        """Return all ports."""
        return frozenset((self.callers, self.ready, self.reports))


async def _is_stored(timeout: float) -> bool:
    """Tell that nothing is left to store; the default of an app without a store."""
    return True


def _decoded_path(target: bytes) -> str:
    """Return the percent-decoded path of a request target, without its query."""
    path = target.partition(b"?")[0].decode("latin-1")
    return unquote(path) if "%" in path else path
