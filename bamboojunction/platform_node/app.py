"""The ASGI app of a platform node: caller requests, readiness, metrics and upstream reports.

Caller requests are served without a web framework, because the raw path, the headers and the
response must be forwarded unchanged.
"""

import asyncio
from collections.abc import Awaitable

from result import Err, Ok

from bamboojunction.callers.protocol import ON_DISCONNECT
from bamboojunction.core.admission.dependencies import child_call_rank
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome
from bamboojunction.core.routes import CurrentRoutes, Route
from bamboojunction.platform import heartbeats, requests
from bamboojunction.platform.requests import CallerHeaders, Response
from bamboojunction.platform_node.forwarder import Forwarder
from bamboojunction.platform_node.gate import PlatformNodeGate
from bamboojunction.platform_node.local_upstream import LocalUpstream, UpstreamChange
from bamboojunction.telemetry.events import EventLog

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
# By then the caller reaches another node or the restarted process of this one.
STOPPING_RETRY_AFTER_SECONDS = 0.3
METRICS_PATH = "/metrics"


class CallerDisconnectedError(Exception):
    """The caller closed its connection before it sent the whole request or got the response."""


class PlatformNodeApp:
    """The ASGI application of a node, which dispatches each request by the port it arrived on."""

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
        self._loop = asyncio.get_running_loop()
        self.in_flight = 0
        self.is_stopping = False
        self.is_refusing_callers = False

    async def __call__(self, scope: dict, receive, send) -> None:
        """Handle one HTTP request."""
        port = scope["server"][1]
        if port == self._ports.callers:
            await self._serve_caller(scope, receive, send)
        elif port in (self._ports.ready, self._ports.metrics):
            await _respond(send, self._serve_probe(scope["path"]))
        else:
            await _respond(send, await self._handle_report(scope, receive))

    def _serve_probe(self, path: str) -> Response:
        if path == METRICS_PATH:
            text = self._events.prometheus_metrics.render()
            return Response(200, (("content-type", "text/plain; version=0.0.4"),), text)
        if path != requests.READY_PATH:
            return Response(404, (), b"")
        is_ready = not self.is_stopping and self._current_routes.routes.version > 0
        return Response(200 if is_ready else 503, (), b"")

    async def _handle_report(self, scope: dict, receive) -> Response:
        try:
            body = await _read_body(receive, self._current_routes.routes.body_max_bytes)
        except CallerDisconnectedError:
            return Response(400, (), b"")
        match heartbeats.read_report(scope["method"], scope["path"], body or b""):
            case Ok(report):
                change = self._local_upstream.apply(report)
                if change is not UpstreamChange.NONE:
                    latest = self._local_upstream.latest_heartbeat
                    self._events.upstream_changed(
                        change.name.lower(),
                        report.instance_id,
                        slots=latest.slots if latest else 0,
                        cold=latest.cold_seconds if latest else 0.0,
                    )
                return Response(200, (("content-type", "application/json"),), b"{}")
            case Err(problem):
                self._events.upstream_report_rejected(scope["method"], scope["path"], problem)
                return Response(400, (), b"")

    async def _serve_caller(self, scope: dict, receive, send) -> None:
        self.in_flight += 1
        started = self._loop.time()
        headers = requests.read_caller_headers(scope["headers"])
        try:
            response = await self._handle_call(scope, headers, receive, started)
        except (CallerDisconnectedError, asyncio.CancelledError):
            self._events.request_cancelled(headers.request_id, self._loop.time() - started)
            return
        finally:
            self.in_flight -= 1
        self._events.request_answered(
            headers.request_id,
            scope["path"],
            self._kind_of_request(headers, scope["path"]),
            response.status,
            self._loop.time() - started,
            self._current_routes.routes.version,
        )
        await _respond(send, response, self.is_stopping)

    def _kind_of_request(self, headers: CallerHeaders, path: str) -> str:
        route = self._current_routes.routes.find(headers.host, path)
        return "" if route is None else route.row.kind

    async def _handle_call(
        self, scope: dict, headers: CallerHeaders, receive, started: float
    ) -> Response:
        routes = self._current_routes.routes
        body = await _read_body(receive, routes.body_max_bytes)
        if body is None:
            return requests.error_response(413, "too-large", headers.request_id)
        # The configuration may have changed while the body was read.
        routes = self._current_routes.routes
        if not routes.version:
            refusal = NotRun(NotRunReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        parent = self._gate.parent_of(headers.request_id)
        is_root_call = parent is None
        if self.is_refusing_callers and is_root_call:
            refusal = NotRun(NotRunReason.DRAINING, STOPPING_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        route = routes.find(headers.host, scope["path"])
        if route is None:
            return requests.error_response(404, "no-route", headers.request_id)
        if not route.weighted_services:
            refusal = NotRun(NotRunReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_SECONDS)
            return requests.outcome_response(refusal, headers.request_id)
        call = self._build_call(scope, headers, route, body, started)
        if parent is None:
            call.root_action, call.inherited_rank = call.action, route.row.rank
        else:
            call.root_action, call.depth = parent.root_action, parent.depth + 1
            call.inherited_rank = (
                route.row.rank
                if parent.inherited_rank is None
                else child_call_rank(parent.inherited_rank)
            )
        if is_root_call:
            self._forwarder.budget(call.service).record_request(started)
        outcome = await self._await_until_disconnect(self._forwarder.route(call, route.row), scope)
        return requests.outcome_response(outcome, headers.request_id)

    def _build_call(
        self, scope: dict, headers: CallerHeaders, route: Route, body: bytes, started: float
    ) -> Call:
        query = scope["query_string"]
        path = scope["raw_path"] + (b"?" + query if query else b"")
        timeout = (
            route.timeout
            if headers.remaining_seconds is None
            else min(route.timeout, headers.remaining_seconds)
        )
        return Call(
            action=headers.request_id,
            kind=route.row.kind,
            service=self._current_routes.select_service(route),
            deadline=started + timeout,
            method=scope["method"],
            path=path.decode("latin-1"),
            headers=headers.forwarded,
            body=body,
            caller_service=self._service,
            goal_seconds=route.goal_seconds,
        )

    async def _await_until_disconnect(self, outcome: Awaitable[Outcome], scope: dict) -> Outcome:
        """Await an outcome, and cancel the work if the caller disconnects."""
        # The outcome is awaited in the current task, because a separate task would need additional
        # event loop iterations.
        task = asyncio.current_task()
        is_disconnected = False

        def on_disconnect() -> None:
            nonlocal is_disconnected
            is_disconnected = True
            task.cancel()

        scope[ON_DISCONNECT] = on_disconnect
        try:
            return await outcome
        except asyncio.CancelledError:
            if is_disconnected:
                task.uncancel()
                raise CallerDisconnectedError from None
            raise
        finally:
            del scope[ON_DISCONNECT]


class PlatformNodeAppPorts:
    """The ports that tell the type of a request; any other port takes upstream reports."""

    __slots__ = ("callers", "metrics", "ready")

    def __init__(self, callers: int, ready: int, metrics: int):
        self.callers = callers
        self.ready = ready
        self.metrics = metrics


async def _read_body(receive, body_max_bytes: int) -> bytes | None:
    """Return the whole body, or None if it exceeds ``body_max_bytes``.

    Raise ``CallerDisconnectedError`` if the caller disconnects first.
    """
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnectedError
        body += message.get("body", b"")
        if len(body) > body_max_bytes:
            return None
        if not message.get("more_body", False):
            return body


async def _respond(send, response: Response, close_connection: bool = False) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in response.headers
    ]
    headers.append((b"content-length", str(len(response.body)).encode()))
    if close_connection:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})
