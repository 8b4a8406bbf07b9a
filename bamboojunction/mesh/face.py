"""The HTTP face of a node on the platform: callers, readiness, the upstream's reports, metrics.

The callers' requests are served without a web framework, because a request's raw path, its headers
and its answer have to pass unchanged.
"""

import asyncio
from collections.abc import Awaitable

from result import Err, Ok

from bamboojunction.callers.protocol import ON_LEAVE
from bamboojunction.core.admission.reach import chain_rank
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome
from bamboojunction.core.routes import Route, RouteHolder
from bamboojunction.mesh.forwarding import Forwarder
from bamboojunction.mesh.gate import MeshGate
from bamboojunction.mesh.neighbour import Change, Neighbour
from bamboojunction.platform import heartbeats, requests
from bamboojunction.platform.requests import Answer, CallerHeaders
from bamboojunction.telemetry.events import EventLog

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
# A caller that comes back this late finds another node or the next process of this one.
STOPPING_RETRY_AFTER_SECONDS = 0.3
METRICS_PATH = "/metrics"


class CallerWentAwayError(Exception):
    """Report a caller that closed its connection before its request was whole."""


class Face:
    """Answer every request to a node, by the port that it came to."""

    def __init__(
        self,
        service: str,
        holder: RouteHolder,
        forwarder: Forwarder,
        neighbour: Neighbour,
        gate: MeshGate,
        events: EventLog,
        ports: "FacePorts",
    ):
        self._service = service
        self._holder = holder
        self._forwarder = forwarder
        self._neighbour = neighbour
        self._gate = gate
        self._events = events
        self._ports = ports
        self._loop = asyncio.get_running_loop()
        self.in_flight = 0
        self.is_stopping = False
        self.refuses_callers = False

    async def __call__(self, scope: dict, receive, send) -> None:
        """Handle one request."""
        port = scope["server"][1]
        if port == self._ports.callers:
            await self._serve_caller(scope, receive, send)
        elif port in (self._ports.ready, self._ports.metrics):
            await _respond(send, self._describe(scope["path"]))
        else:
            await _respond(send, await self._take_report(scope, receive))

    def _describe(self, path: str) -> Answer:
        if path == METRICS_PATH:
            text = self._events.measures.render()
            return Answer(200, (("content-type", "text/plain; version=0.0.4"),), text)
        if path != requests.READY_PATH:
            return Answer(404, (), b"")
        is_ready = not self.is_stopping and self._holder.routes.version > 0
        return Answer(200 if is_ready else 503, (), b"")

    async def _take_report(self, scope: dict, receive) -> Answer:
        try:
            body = await _read_body(receive, self._holder.routes.body_max_bytes)
        except CallerWentAwayError:
            return Answer(400, (), b"")
        match heartbeats.read_report(scope["method"], scope["path"], body or b""):
            case Ok(report):
                change = self._neighbour.take(report)
                if change is not Change.NONE:
                    latest = self._neighbour.latest
                    self._events.upstream_changed(
                        change.name.lower(),
                        report.instance_id,
                        slots=latest.slots if latest else 0,
                        cold=latest.cold_seconds if latest else 0.0,
                    )
                return Answer(200, (("content-type", "application/json"),), b"{}")
            case Err(problem):
                self._events.report_refused(scope["method"], scope["path"], problem)
                return Answer(400, (), b"")

    async def _serve_caller(self, scope: dict, receive, send) -> None:
        self.in_flight += 1
        started = self._loop.time()
        headers = requests.read_caller_headers(scope["headers"])
        try:
            answer = await self._answer(scope, headers, receive, started)
        except (CallerWentAwayError, asyncio.CancelledError):
            self._events.cancelled(headers.request_id, self._loop.time() - started)
            return
        finally:
            self.in_flight -= 1
        self._events.answered(
            headers.request_id,
            scope["path"],
            self._kind_of(headers, scope["path"]),
            answer.status,
            self._loop.time() - started,
            self._holder.routes.version,
        )
        await _respond(send, answer, self.is_stopping)

    def _kind_of(self, headers: CallerHeaders, path: str) -> str:
        route = self._holder.routes.find(headers.host, path)
        return "" if route is None else route.row.kind

    async def _answer(self, scope: dict, headers: CallerHeaders, receive, started: float) -> Answer:
        routes = self._holder.routes
        body = await _read_body(receive, routes.body_max_bytes)
        if body is None:
            return requests.error_answer(413, "too-large", headers.request_id)
        routes = self._holder.routes
        if not routes.version:
            refusal = NotRun(NotRunReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_SECONDS)
            return requests.answer_of(refusal, headers.request_id)
        parent = self._gate.parent_of(headers.request_id)
        is_client = parent is None
        if self.refuses_callers and is_client:
            refusal = NotRun(NotRunReason.DRAINING, STOPPING_RETRY_AFTER_SECONDS)
            return requests.answer_of(refusal, headers.request_id)
        route = routes.find(headers.host, scope["path"])
        if route is None:
            return requests.error_answer(404, "no-route", headers.request_id)
        call = self._call(scope, headers, route, body, started)
        if parent is None:
            call.root, call.rank = call.action, route.row.rank
        else:
            call.root, call.depth = parent.root, parent.depth + 1
            call.rank = route.row.rank if parent.rank is None else chain_rank(parent.rank)
        if is_client:
            self._forwarder.budget(call.service).requested(started)
        outcome = await self._watched(self._forwarder.route(call, route.row), scope)
        return requests.answer_of(outcome, headers.request_id)

    def _call(
        self, scope: dict, headers: CallerHeaders, route: Route, body: bytes, started: float
    ) -> Call:
        query = scope["query_string"]
        path = scope["raw_path"] + (b"?" + query if query else b"")
        waits = route.timeout if headers.deadline is None else min(route.timeout, headers.deadline)
        return Call(
            action=headers.request_id,
            kind=route.row.kind,
            service=self._holder.pick(route),
            deadline=started + waits,
            method=scope["method"],
            path=path.decode("latin-1"),
            headers=headers.forwarded,
            body=body,
            caller=self._service,
            aim=route.aim,
        )

    async def _watched(self, outcome: Awaitable[Outcome], scope: dict) -> Outcome:
        """Wait for an outcome, and cancel the work when the caller goes away."""
        # The work runs in this task: one of its own would cost turns of the event loop.
        task = asyncio.current_task()
        has_left = False

        def leave() -> None:
            nonlocal has_left
            has_left = True
            task.cancel()

        scope[ON_LEAVE] = leave
        try:
            return await outcome
        except asyncio.CancelledError:
            if has_left:
                task.uncancel()
                raise CallerWentAwayError from None
            raise
        finally:
            del scope[ON_LEAVE]


class FacePorts:
    """Name the ports of a node's face; the rest belongs to the upstream's reports."""

    __slots__ = ("callers", "metrics", "ready")

    def __init__(self, callers: int, ready: int, metrics: int):
        self.callers = callers
        self.ready = ready
        self.metrics = metrics


async def _read_body(receive, body_max_bytes: int) -> bytes | None:
    """Return the whole body, or None when it is too large."""
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerWentAwayError
        body += message.get("body", b"")
        if len(body) > body_max_bytes:
            return None
        if not message.get("more_body", False):
            return body


async def _respond(send, answer: Answer, closes: bool = False) -> None:
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.headers]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    if closes:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
