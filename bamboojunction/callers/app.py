"""The ASGI application for requests from callers and from the local upstream."""

import asyncio
from collections.abc import Awaitable, Callable

import falcon
import falcon.asgi

from bamboojunction.callers import headers as header_names
from bamboojunction.callers.requests import IncomingCall, RequestParser
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.resends import Resends
from bamboojunction.core.table.rows import Effect, Row
from bamboojunction.node.call_router import CallRouter
from bamboojunction.node.keyed_calls import KeyedCalls
from bamboojunction.operators.health import HealthStatus, build_health, render_health
from bamboojunction.operators.state import NodeState, render_state
from bamboojunction.telemetry.metrics import NOOP_METRICS, Metrics
from bamboojunction.telemetry.tracing import NOOP_TRACER, Tracer

CHANNEL_KEY = "bamboojunction.channel"


class CallerChannel:
    """A wrapper around the ASGI receive channel of one request.

    It records whether the whole request body has arrived.
    """

    __slots__ = ("_receive", "is_body_complete")

    def __init__(self, receive: Callable[[], Awaitable[dict]]):
        self._receive = receive
        self.is_body_complete = False

    async def receive(self) -> dict:
        """Return the next ASGI event."""
        event = await self._receive()
        if event["type"] == "http.request" and not event.get("more_body", False):
            self.is_body_complete = True
        return event


class CallSink:
    """A falcon sink, which handles each request that matches no other route as a call."""

    __slots__ = (
        "_body_max_bytes",
        "_keyed_calls",
        "_loop",
        "_metrics",
        "_parser",
        "_resends",
        "_router",
        "_tracer",
        "in_flight",
        "is_draining",
    )

    def __init__(
        self,
        parser: RequestParser,
        router: CallRouter,
        keyed_calls: KeyedCalls,
        body_max_bytes: int,
        metrics: Metrics = NOOP_METRICS,
        tracer: Tracer = NOOP_TRACER,
    ):
        self._loop = asyncio.get_running_loop()
        self._resends = Resends()
        self._metrics = metrics
        self._tracer = tracer
        self._parser = parser
        self._router = router
        self._keyed_calls = keyed_calls
        self._body_max_bytes = body_max_bytes
        self.in_flight = 0
        self.is_draining = False

    async def __call__(self, request: falcon.asgi.Request, response: falcon.asgi.Response, **_):
        """Route the request's call and respond with its outcome."""
        self.in_flight += 1
        try:
            await self._handle(request, response)
        finally:
            self.in_flight -= 1

    async def _handle(self, request, response) -> None:
        body = await self._read_body(request)
        if isinstance(body, NotRun):
            self._write_outcome(response, body)
            return
        path = request.relative_uri
        incoming = self._parser.read(request.method, path, request.lower_case_headers, body)
        if incoming.is_err():
            response.status = falcon.HTTP_400
            response.text = f"{incoming.err()}\n"
            response.set_header(header_names.OUTCOME, "not-run")
            response.set_header(header_names.REASON, "bad-request")
            return
        outcome = await self._route_with_telemetry(request, incoming.ok())
        self._write_outcome(response, outcome)

    async def _read_body(self, request: falcon.asgi.Request) -> bytes | NotRun:
        length = request.content_length
        if length is not None and length > self._body_max_bytes:
            return NotRun(NotRunReason.TOO_LARGE)
        body = await request.stream.read(self._body_max_bytes + 1)
        if len(body) > self._body_max_bytes:
            return NotRun(NotRunReason.TOO_LARGE)
        if len(body) != length and not request.scope[CHANNEL_KEY].is_body_complete:
            # The caller disconnected before the end of the body; a partial request never runs.
            return NotRun(NotRunReason.CANCELLED)
        return body

    async def _route_with_telemetry(self, request, incoming: IncomingCall) -> Outcome:
        """Route a call within a trace span, and record metrics unless it is a child call."""
        call = incoming.call
        span = self._tracer.start_span("call", call.traceparent)
        call.traceparent = span.traceparent
        started_at = self._loop.time()
        outcome = await self._route_until_disconnect(request, incoming)
        span.end(outcome)
        if incoming.parent is None:
            seconds = self._loop.time() - started_at
            self._metrics.record_call(outcome, incoming.row.rank, seconds)
        return outcome

    async def _route_until_disconnect(self, request, incoming: IncomingCall) -> Outcome:
        """Route a call, and cancel it if its caller disconnects."""
        task = asyncio.current_task()
        watcher = asyncio.create_task(
            _cancel_on_disconnect(request.scope[CHANNEL_KEY].receive, task)
        )
        if incoming.parent is not None:
            incoming.parent.children.add(task)
        try:
            return await self._route(incoming)
        except asyncio.CancelledError:
            # The call may be running. The local upstream receives this outcome if it made this
            # child call and continues after its own call was cancelled.
            return Unknown(UnknownReason.CANCELLED)
        finally:
            watcher.cancel()
            if incoming.parent is not None:
                incoming.parent.children.discard(task)

    async def _route(self, incoming: IncomingCall) -> Outcome:
        call = incoming.call
        if incoming.row.effect is Effect.ONCE:
            # An earlier call with the key may have run, which only the key's home knows.
            outcome = await self._keyed_calls.route(call, incoming.row)
        elif self.is_draining and incoming.parent is None:
            return NotRun(NotRunReason.DRAINING, allowance_left=call.allowance)
        elif incoming.has_caller_action:
            outcome = await self._route_action(call, incoming.row)
        else:
            outcome = await self._router.route(call, incoming.row)
        if incoming.parent is not None:
            incoming.parent.pool.give_back(outcome.allowance_left)
        return outcome

    async def _route_action(self, call: Call, row: Row) -> Outcome:
        """Route a call whose action id the caller chose, within the action's remaining retries."""
        granted = self._resends.begin(call.action, call.allowance, self._loop.time())
        if granted is None:
            return NotRun(NotRunReason.RETRY_BUDGET)
        call.allowance = granted
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            outcome = await self._router.route(call, row)
        finally:
            ran = not isinstance(outcome, NotRun)
            self._resends.ended(call.action, granted, outcome.allowance_left, ran)
        return outcome

    def _write_outcome(self, response: falcon.asgi.Response, outcome: Outcome) -> None:
        response.set_header(header_names.HOME, self._keyed_calls.key_prefix)
        response.set_header(header_names.ALLOWANCE_LEFT, str(outcome.allowance_left))
        match outcome:
            case Ran(status=status, headers=headers, body=body):
                response.status = status
                response.data = body
                for name, value in headers:
                    response.append_header(name, value)
                response.set_header(header_names.OUTCOME, "ran")
            case NotRun(reason=reason, retry_after=retry_after):
                response.status = falcon.HTTP_503
                response.set_header(header_names.OUTCOME, "not-run")
                response.set_header(header_names.REASON, reason.value)
                response.set_header(header_names.RETRY_AFTER_MS, str(round(retry_after * 1000)))
            case Unknown(reason=reason):
                response.status = falcon.HTTP_504
                response.set_header(header_names.OUTCOME, "unknown")
                response.set_header(header_names.REASON, reason.value)


class HomePage:
    """The page with the home prefix for new keys."""

    __slots__ = ("_keyed_calls",)

    def __init__(self, keyed_calls: KeyedCalls):
        self._keyed_calls = keyed_calls

    async def on_get(self, request, response) -> None:
        """Respond with the prefix as plain text."""
        response.text = self._keyed_calls.key_prefix
        response.content_type = falcon.MEDIA_TEXT


class StatePage:
    """The page with the node's state, for operators."""

    __slots__ = ("_read_state",)

    def __init__(self, read_state: Callable[[], NodeState]):
        self._read_state = read_state

    async def on_get(self, request, response) -> None:
        """Respond with the state as JSON."""
        response.data = render_state(self._read_state())
        response.content_type = falcon.MEDIA_JSON


class HealthPage:
    """The health check page, which tells whether the node takes new calls."""

    __slots__ = ("_read_state",)

    def __init__(self, read_state: Callable[[], NodeState]):
        self._read_state = read_state

    async def on_get(self, request, response) -> None:
        """Respond with the health as JSON, and with status 503 while the node drains."""
        health = build_health(self._read_state())
        is_serving = health.status is HealthStatus.SERVING
        response.status = falcon.HTTP_200 if is_serving else falcon.HTTP_503
        response.data = render_health(health)
        response.content_type = falcon.MEDIA_JSON


class CallerRequest(falcon.asgi.Request):
    """A request that exposes its headers with lower-case names."""

    @property
    def lower_case_headers(self) -> dict[str, str]:
        """Return all headers by lower-case name, with the last value of a repeated header."""
        return {
            name.decode("latin-1"): value.decode("latin-1") for name, value in self.scope["headers"]
        }


def create_app(sink: CallSink, keyed_calls: KeyedCalls, read_state: Callable[[], NodeState]):
    """Return the ASGI application."""
    app = falcon.asgi.App(request_type=CallerRequest)
    app.add_route("/_bamboo/home", HomePage(keyed_calls))
    app.add_route("/_bamboo/state", StatePage(read_state))
    app.add_route("/_bamboo/health", HealthPage(read_state))
    app.add_sink(sink, prefix="/")

    async def app_with_channel(scope, receive, send):
        # Detecting a disconnect needs the receive channel, which falcon does not expose.
        channel = CallerChannel(receive)
        scope[CHANNEL_KEY] = channel
        await app(scope, channel.receive, send)

    return app_with_channel


async def _cancel_on_disconnect(receive, task: asyncio.Task) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
    task.cancel()
