"""A single HTTP/1.1 connection to an upstream, without pipelining."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import httptools

from bamboojunction.core.memory_budget import BodyReservation, MemoryBudget
from bamboojunction.upstreams.response_heads import contains_status_line

Headers = tuple[tuple[str, str], ...]

# Bound on the bytes that bring a response neither to the end of its head nor on in its body:
# headers, interim (1xx) responses and trailers.
HEAD_MAX_BYTES = 65_536
# Bytes of chunk framing that one byte of a body makes up for.
FRAMING_BYTES_PER_BODY_BYTE = 64
# Bound on complete responses to other requests that are skipped before the right one.
FOREIGN_RESPONSES_MAX = 4
# The status codes of HTTP (RFC 9110, section 15).
STATUS_MIN, STATUS_MAX = 100, 599


class ExchangeFailure(Enum):
    """Why a request got no complete response."""

    NOT_SENT = auto()
    # The connection closed before the first byte of the response.
    CLOSED = auto()
    # The deadline of the request passed.
    DEADLINE = auto()
    TRUNCATED = auto()
    MALFORMED = auto()
    # The response exceeds a bound, so it may have no end.
    OVERSIZED = auto()


class ResponseOwner(Enum):
    """Which request a response answers, as its headers tell."""

    THIS_REQUEST = auto()
    OTHER_REQUEST = auto()


ResponseMatcher = Callable[[Headers], ResponseOwner]


def match_any(headers: Headers) -> ResponseOwner:
    """Take each response for the answer to the pending request."""
    return ResponseOwner.THIS_REQUEST


@dataclass(slots=True, frozen=True)
class RawResponse:
    """A complete response as received; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time and reads complete responses.

    Bytes outside a response make the connection unusable for further requests, and so does a
    response that ends with the connection. A late copy of the response to an earlier request is
    skipped, and the connection is not used again.
    """

    def __init__(self, body_max_bytes: int, memory: MemoryBudget):
        self._loop = asyncio.get_running_loop()
        self._body_max_bytes = body_max_bytes
        self._reservation: BodyReservation = memory.hold()
        self.is_reusable = False
        self.idle_since = 0.0
        # The idle timeout from the upstream's Keep-Alive header, None if it sent none.
        self.idle_timeout_seconds: float | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawResponse | ExchangeFailure] | None = None
        # Only there during an exchange: it refers back to the connection, and such a cycle would
        # keep the body in memory until the garbage collector runs.
        self._parser: httptools.HttpResponseParser | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Mark the connection as usable."""
        self._transport = transport
        self.is_reusable = True

    async def exchange(
        self,
        request: bytes,
        match_response: ResponseMatcher = match_any,
        deadline: float = math.inf,
    ) -> RawResponse | ExchangeFailure:
        """Send a request and wait for its response, at most until the deadline.

        ``match_response`` tells from the headers of a response whether it answers the request.
        ``deadline`` is in seconds on the event loop's clock. Cancellation closes the connection.
        """
        if not self.is_reusable:
            return ExchangeFailure.NOT_SENT
        self._reset()
        self._parser = httptools.HttpResponseParser(self)
        self._match_response = match_response
        self.is_reusable = False
        self._waiter = self._loop.create_future()
        timer = None
        if deadline < math.inf:
            timer = self._loop.call_at(deadline, self._resolve, ExchangeFailure.DEADLINE)
        self._transport.write(request)
        try:
            result = await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._waiter = None
            self._parser = None
            self._release_body()
        if isinstance(result, ExchangeFailure):
            self.abort()
            return result
        # The upstream may respond before it has read the whole request.
        is_sent = self._transport.get_write_buffer_size() == 0
        if is_sent and self._keep_alive and not self._is_closed:
            self.is_reusable = True
        else:
            self.abort()
        return result

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the response; bytes outside it make the connection unusable."""
        if self._waiter is None or self._waiter.done():
            self._stop_reuse()
            return
        self._has_response_bytes = True
        self._bytes_without_progress += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._is_complete:
                # Bytes after a complete response belong to no request.
                self._stop_reuse()
            else:
                self._resolve(ExchangeFailure.MALFORMED)
        if self._bytes_without_progress > HEAD_MAX_BYTES:
            self._resolve(ExchangeFailure.OVERSIZED)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        # The loss of the connection is reported one step later.
        self._is_closed = True
        self.is_reusable = False
        if self._waiter is not None and self._are_headers_complete and not self._has_explicit_end:
            self._end_response(keep_alive=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._is_closed = True
        self.is_reusable = False
        self._resolve(
            ExchangeFailure.TRUNCATED if self._has_response_bytes else ExchangeFailure.CLOSED
        )

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Stop reusing the connection if a second response begins."""
        if self._is_complete:
            self._stop_reuse()

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        if not self._is_complete:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are not forwarded."""
        if not self._are_headers_complete:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Store the status, and whether a header tells where the body ends."""
        if self._is_complete:
            return
        names = {name for name, _ in self._headers}
        self._status = self._parser.get_status_code()
        self._are_headers_complete = True
        if self._status >= 200:
            self._bytes_without_progress = 0
        self._has_explicit_end = bool(names & {"content-length", "transfer-encoding"})
        is_known_status = STATUS_MIN <= self._status <= STATUS_MAX
        reason = self._reason.decode("latin-1")
        if not is_known_status or contains_status_line(reason, self._headers):
            self._resolve(ExchangeFailure.MALFORMED)

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body, within the bounds on one body and on all bodies."""
        if self._is_complete or self._is_oversized:
            return
        progress = len(body) * FRAMING_BYTES_PER_BODY_BYTE
        self._bytes_without_progress = max(0, self._bytes_without_progress - progress)
        is_within_bounds = len(self._body) + len(
            body
        ) <= self._body_max_bytes and self._reservation.grow(len(body))
        if is_within_bounds:
            self._body += body
        else:
            self._is_oversized = True
            self._release_body()
            self._resolve(ExchangeFailure.OVERSIZED)

    def on_message_complete(self) -> None:
        """Complete the request, unless the response is interim (1xx) or to another request."""
        if 100 <= self._status < 200:
            self._discard_response()
        else:
            self._end_response(self._parser.should_keep_alive())

    def _end_response(self, keep_alive: bool) -> None:
        """Complete the request with a whole response, unless it answers another request."""
        if self._is_complete or self._is_oversized:
            return
        if self._match_response(tuple(self._headers)) is ResponseOwner.OTHER_REQUEST:
            self._foreign_responses += 1
            if self._foreign_responses > FOREIGN_RESPONSES_MAX:
                self._resolve(ExchangeFailure.MALFORMED)
            self._discard_response()
            return
        # More copies may follow a response that answers another request.
        self._keep_alive = keep_alive and not self._foreign_responses
        self._complete()

    def _discard_response(self) -> None:
        self._reason.clear()
        self._headers.clear()
        self._release_body()
        self._are_headers_complete = False

    def _release_body(self) -> None:
        self._body.clear()
        self._reservation.release()

    def _reset(self) -> None:
        self._status = 0
        self._reason = bytearray()
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._has_response_bytes = False
        self._are_headers_complete = False
        self._has_explicit_end = False
        self._is_complete = False
        self._is_oversized = False
        self._keep_alive = False
        self._is_closed = False
        self._bytes_without_progress = 0
        self._foreign_responses = 0
        self._match_response: ResponseMatcher = match_any

    def _complete(self) -> None:
        self._is_complete = True
        self._read_keep_alive_timeout()
        self._resolve(RawResponse(self._status, tuple(self._headers), bytes(self._body)))

    def _read_keep_alive_timeout(self) -> None:
        text = next((value for name, value in self._headers if name == "keep-alive"), "")
        for option in text.split(","):
            name, _, value = option.partition("=")
            if name.strip().lower() == "timeout" and value.strip().isdecimal():
                self.idle_timeout_seconds = float(value)

    def _stop_reuse(self) -> None:
        self._keep_alive = False
        self.is_reusable = False
        if self._waiter is None:
            self.abort()

    def _resolve(self, result: RawResponse | ExchangeFailure) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(result)
