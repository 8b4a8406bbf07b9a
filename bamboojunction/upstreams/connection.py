"""A single HTTP/1.1 connection to an upstream, without pipelining."""

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

import httptools

Headers = tuple[tuple[str, str], ...]


class ExchangeFailure(Enum):
    """Why a request got no complete response."""

    NOT_SENT = auto()
    # The connection closed before the first byte of the response.
    CLOSED = auto()
    TRUNCATED = auto()
    MALFORMED = auto()


@dataclass(slots=True, frozen=True)
class RawResponse:
    """A complete response as received; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time and reads complete responses.

    Bytes outside a response make the connection unusable for further requests, and so does a
    response that ends with the connection.
    """

    def __init__(self):
        self.is_reusable = False
        self.idle_since = 0.0
        # The idle timeout from the upstream's Keep-Alive header, None if it sent none.
        self.idle_timeout_seconds: float | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawResponse | ExchangeFailure] | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Mark the connection as usable."""
        self._transport = transport
        self.is_reusable = True

    async def exchange(self, request: bytes) -> RawResponse | ExchangeFailure:
        """Send a request and wait for its response; cancellation closes the connection."""
        if not self.is_reusable:
            return ExchangeFailure.NOT_SENT
        self._reset()
        self.is_reusable = False
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            result = await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
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
        if self._waiter is None or self._is_complete:
            self._stop_reuse()
            return
        self._has_response_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._is_complete:
                # Bytes after a complete response belong to no request.
                self._stop_reuse()
            else:
                self._resolve(ExchangeFailure.MALFORMED)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        if self._waiter is not None and self._are_headers_complete and not self._has_explicit_end:
            self._keep_alive = False
            self._complete()
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

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._is_complete:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Store the status, and whether a header tells where the body ends."""
        if self._is_complete:
            return
        names = {name for name, _ in self._headers}
        self._status = self._parser.get_status_code()
        self._are_headers_complete = True
        self._has_explicit_end = bool(names & {"content-length", "transfer-encoding"})

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body."""
        if not self._is_complete:
            self._body += body

    def on_message_complete(self) -> None:
        """Complete the request, unless the response is an interim (1xx) one."""
        if self._is_complete:
            return
        if 100 <= self._status < 200:
            self._headers.clear()
            self._are_headers_complete = False
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._complete()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._has_response_bytes = False
        self._are_headers_complete = False
        self._has_explicit_end = False
        self._is_complete = False
        self._keep_alive = False
        self._is_closed = False

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
