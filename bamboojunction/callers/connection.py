"""HTTP/1.1 connections of callers, for handlers that forward requests and responses unchanged.

Each request is passed on as a whole, with its raw target and headers. Pipelined requests are worked
on side by side where the handler allows it, and answered in order.
"""

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import Protocol

import httptools
from loguru import logger

from bamboojunction.core.http_messages import HttpRequest, HttpResponse, RawHeaders
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.core.pipelining import PipelinedRequest, RequestPipeline

# Bound on the bytes of a request that do not belong to its body, trailers included.
HEAD_MAX_BYTES = 65_536
# Connections on which a request makes no progress, or whose caller reads nothing, are closed.
STALLED_SECONDS_MAX = 30.0
# A connection is closed this long after a request was rejected before it had arrived in full. Until
# then its bytes are discarded, as a close with unread bytes resets the connection, and the caller
# might lose the response.
DISCARD_SECONDS_MAX = 1.0
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Rejection(Enum):
    """Why a request is answered before it has arrived in full."""

    MALFORMED = auto()
    HEAD_TOO_LARGE = auto()
    BODY_TOO_LARGE = auto()
    OUT_OF_MEMORY = auto()
    INTERNAL_ERROR = auto()


class RequestHandler(Protocol):
    """The application behind the connections."""

    @property
    def body_max_bytes(self) -> int:
        """Return the size of the largest body that is accepted."""

    def may_run_ahead(self, request: HttpRequest) -> bool:
        """Return whether a request may be in work before those ahead of it are answered."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; the task is cancelled if the caller disconnects."""

    def reject(self, rejection: Rejection, headers: RawHeaders) -> HttpResponse:
        """Return the response to a request that cannot be passed on."""


def render_response(response: HttpResponse, closes_connection: bool) -> bytes:
    """Return the bytes of a response, framed by its length."""
    status_line = _STATUS_LINES.get(response.status) or f"HTTP/1.1 {response.status} \r\n".encode()
    lines = [f"{name}: {value}\r\n" for name, value in response.headers]
    if response.status not in _STATUSES_WITHOUT_BODY:
        lines.append(f"content-length: {len(response.body)}\r\n")
    lines.append("connection: close\r\n\r\n" if closes_connection else "\r\n")
    return status_line + "".join(lines).encode("latin-1") + response.body


class CallerConnection(asyncio.Protocol):
    """A connection of a caller with the requests that it has sent and not yet got answered."""

    def __init__(
        self,
        handler: RequestHandler,
        port: int,
        memory: MemoryBudget,
        on_opened: Callable[["CallerConnection"], None],
        on_closed: Callable[["CallerConnection"], None],
    ):
        self._handler = handler
        self._port = port
        self._memory = memory
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._pipeline = RequestPipeline()
        self._tasks: dict[PipelinedRequest, asyncio.Task] = {}
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        # Set once no further request is read.
        self._is_discarding = False
        self._is_rejecting = False
        self._is_reading_paused = False
        self._is_write_paused = False
        self._is_in_message = False
        self._bytes_without_progress = 0
        self._progress_at = self._loop.time()
        self._reset_message()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return not self._pipeline and not self._is_in_message

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Report the connection as open."""
        self._transport = transport
        self._on_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work on all requests of the caller."""
        self._on_closed(self)
        # The parser refers back to the connection, and such a cycle would keep the body of an
        # unfinished request in memory until the garbage collector runs.
        self._parser = None
        self._body.clear()
        self._reservation.release()
        for task in self._tasks.values():
            task.cancel()
        # A task that is cancelled before its first step does not run at all.
        self._tasks.clear()
        self._discard_requests()

    def pause_writing(self) -> None:
        """Start no further request while the caller does not read its responses."""
        self._is_write_paused = True
        self._progress_at = self._loop.time()

    def resume_writing(self) -> None:
        """Start the requests that waited for the caller to read."""
        self._is_write_paused = False
        self._advance()

    def data_received(self, data: bytes) -> None:
        """Parse requests and start them."""
        self._progress_at = self._loop.time()
        if self._is_discarding:
            return
        self._bytes_without_progress += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is served; no other protocol follows it.
            self._is_discarding = True
        except httptools.HttpParserError:
            self._reject(Rejection.MALFORMED)
        if self._bytes_without_progress > HEAD_MAX_BYTES:
            self._reject(Rejection.HEAD_TOO_LARGE)
        self._advance()

    def close_after_responses(self) -> None:
        """Close after the responses to the requests in work, or to the next one if there is none.

        Requests behind those are not passed on.
        """
        self._pipeline.close_soon()

    def close_if_idle(self) -> None:
        """Close now if no request is being received or answered."""
        if self.is_idle:
            self._transport.close()

    def check_timeouts(self, now: float, idle_seconds_max: float) -> None:
        """Close the connection if it has been idle, stalled or discarding for too long."""
        if self._is_rejecting and not self._pipeline:
            is_overdue = now - self._progress_at > DISCARD_SECONDS_MAX
        elif self.is_idle:
            is_overdue = now - self._progress_at > idle_seconds_max
        else:
            is_stalled = self._is_write_paused or (self._is_in_message and not self._pipeline)
            is_overdue = is_stalled and now - self._progress_at > STALLED_SECONDS_MAX
        if is_overdue:
            self._transport.abort()

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._is_in_message = True
        self._arrived_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are not forwarded."""
        if not self._are_headers_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._are_headers_complete = True
        self._bytes_without_progress = 0
        expects_continue = any(
            name == b"expect" and value.lower() == b"100-continue" for name, value in self._headers
        )
        # Responses keep their order, so a caller with requests ahead sends the body unasked.
        if expects_continue and not self._pipeline:
            self._transport.write(_CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body, within the bounds on one body and on all bodies."""
        if self._is_discarding:
            return
        self._bytes_without_progress = 0
        if len(self._body) + len(body) > self._handler.body_max_bytes:
            self._reject(Rejection.BODY_TOO_LARGE)
        elif not self._reservation.grow(len(body)):
            self._reject(Rejection.OUT_OF_MEMORY)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue the request."""
        self._is_in_message = False
        if self._is_discarding:
            return
        self._bytes_without_progress = 0
        request = HttpRequest(
            self._port,
            self._parser.get_method().decode("latin-1"),
            bytes(self._target),
            self._headers,
            self._arrived_at,
            bytes(self._body),
        )
        self._body.clear()
        reservation, self._reservation = self._reservation, self._memory.hold()
        is_last = not self._parser.should_keep_alive()
        # The first request is started in any case.
        may_run_ahead = bool(self._pipeline) and self._handler.may_run_ahead(request)
        pipelined = PipelinedRequest(
            (request, reservation), may_run_ahead, closes_connection=is_last
        )
        self._pipeline.add(pipelined)
        if is_last:
            self._is_discarding = True

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: RawHeaders = []
        self._are_headers_complete = False
        self._body = bytearray()
        self._reservation = self._memory.hold()
        self._arrived_at = 0.0

    def _reject(self, rejection: Rejection) -> None:
        """Queue the response to the request that is being received, and read no further one."""
        if self._is_discarding:
            return
        self._is_discarding = self._is_rejecting = True
        self._is_in_message = False
        self._reservation.release()
        self._body.clear()
        rejected = PipelinedRequest(None, may_run_ahead=False, closes_connection=True)
        self._pipeline.add(rejected)
        self._pipeline.answer(rejected, self._handler.reject(rejection, self._headers))

    def _advance(self) -> None:
        """Write the responses whose turn it is, and start the requests that may start."""
        if self._transport.is_closing():
            return
        self._write_answered()
        if self._transport.is_closing():
            return
        if not self._is_write_paused:
            for request in self._pipeline.start_next():
                self._tasks[request] = self._loop.create_task(self._serve(request))
        if self._is_reading_paused is not self._pipeline.is_full:
            self._is_reading_paused = self._pipeline.is_full
            if self._is_reading_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    async def _serve(self, pipelined: PipelinedRequest) -> None:
        request, reservation = pipelined.content
        try:
            response = await self._handler.handle(request)
        except Exception:
            logger.exception("event=request_failed target={}", request.target)
            response = self._handler.reject(Rejection.INTERNAL_ERROR, request.headers)
        finally:
            reservation.release()
            pipelined.content = None
            self._tasks.pop(pipelined, None)
        self._pipeline.answer(pipelined, response)
        self._advance()

    def _discard_requests(self) -> None:
        """Discard the requests that will not be answered, and release their memory."""
        for discarded in self._pipeline.clear():
            if discarded.content is not None:
                _, reservation = discarded.content
                reservation.release()
                discarded.content = None

    def _write_answered(self) -> None:
        answered = self._pipeline.pop_answered()
        if not answered:
            return
        self._progress_at = self._loop.time()
        self._transport.writelines(
            [render_response(item.response, item.closes_connection) for item in answered]
        )
        if not answered[-1].closes_connection:
            return
        self._discard_requests()
        if self._is_rejecting:
            self._transport.write_eof()
        else:
            self._transport.close()
