"""One HTTP connection to an upstream, which carries one request at a time."""

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

import httptools

Headers = tuple[tuple[str, str], ...]


class ExchangeFailure(Enum):
    """Say why a request got no whole answer."""

    NOT_SENT = auto()
    # The connection ended before the first byte of an answer.
    CLOSED = auto()
    TRUNCATED = auto()
    MALFORMED = auto()


@dataclass(slots=True, frozen=True)
class RawResponse:
    """Hold a whole answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class UpstreamConnection(asyncio.Protocol):
    """Send requests over one connection and read their whole answers.

    Bytes that belong to no request make the connection unusable, as does any answer whose end
    does not show.
    """

    def __init__(self):
        self.is_reusable = False
        self.idle_since = 0.0
        # How long the upstream keeps the connection open while it is idle, if it said so.
        self.idle_timeout_seconds: float | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawResponse | ExchangeFailure] | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        self._transport = transport
        self.is_reusable = True

    async def exchange(self, request: bytes) -> RawResponse | ExchangeFailure:
        """Send one request and wait for its answer; a cancelled wait closes the connection."""
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
        # The upstream may answer before it has read the whole request.
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
        """Parse the answer; bytes outside one end the connection."""
        if self._waiter is None or self._is_complete:
            self._reject_extra_bytes()
            return
        self._has_response_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._is_complete:
                # What follows the whole answer belongs to no request.
                self._reject_extra_bytes()
            else:
                self._resolve(ExchangeFailure.MALFORMED)

    def eof_received(self) -> bool:
        """End an answer that has no length of its own."""
        if self._waiter is not None and self._are_headers_complete and not self._has_framing:
            self._keep_alive = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits."""
        self._is_closed = True
        self.is_reusable = False
        self._resolve(
            ExchangeFailure.TRUNCATED if self._has_response_bytes else ExchangeFailure.CLOSED
        )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Refuse a second answer on one request."""
        if self._is_complete:
            self._reject_extra_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._is_complete:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Note how the answer ends."""
        if self._is_complete:
            return
        names = {name for name, _ in self._headers}
        self._status = self._parser.get_status_code()
        self._are_headers_complete = True
        self._has_framing = bool(names & {"content-length", "transfer-encoding"})

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if not self._is_complete:
            self._body += body

    def on_message_complete(self) -> None:
        """Hand the answer over, unless it is an interim one."""
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
        self._has_framing = False
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

    def _reject_extra_bytes(self) -> None:
        self._keep_alive = False
        self.is_reusable = False
        if self._waiter is None:
            self.abort()

    def _resolve(self, result: RawResponse | ExchangeFailure) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(result)
