"""The HTTP protocol of the caller face, with limits on headers and on slow callers."""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bamboojunction.conf.settings import CallerSettings

# The entry of a request's scope that is called when its caller goes away before the answer.
ON_DISCONNECT = "bamboojunction.on_leave"


class DisconnectAwareProtocol(HttpToolsProtocol):
    """Tell a request at once that its caller went away, without a task that waits for it."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Call what the request under way has set."""
        cycle = self.cycle
        super().connection_lost(exc)
        if cycle is not None and not cycle.response_complete and ON_DISCONNECT in cycle.scope:
            cycle.scope[ON_DISCONNECT]()


class BoundedProtocol(HttpToolsProtocol):
    """Refuse requests whose headers are too large and close those that do not arrive in time.

    A subclass made by ``bounded_protocol`` sets the limits.
    """

    header_max_bytes: int
    request_seconds: float

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._is_in_headers = True
        self._arrival_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Expect a first request in time."""
        super().connection_made(transport)
        self._start_arrival_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Expect nothing more."""
        self._cancel_arrival_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes that come before the headers are complete."""
        if self._is_in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._is_in_headers and self._header_bytes > self.header_max_bytes:
            self.send_400_response("Request headers are too large.")

    def on_message_begin(self) -> None:
        """Expect the rest of the request in time."""
        super().on_message_begin()
        self._is_in_headers = True
        self._start_arrival_timer()

    def on_headers_complete(self) -> None:
        """Stop counting; the body has a limit of its own."""
        self._is_in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Note that the whole request arrived."""
        self._cancel_arrival_timer()
        self._is_in_headers = True
        super().on_message_complete()

    def _start_arrival_timer(self) -> None:
        self._cancel_arrival_timer()
        self._arrival_timer = self.loop.call_later(self.request_seconds, self.transport.abort)

    def _cancel_arrival_timer(self) -> None:
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None


def bounded_protocol(settings: CallerSettings) -> type[BoundedProtocol]:
    """Return the protocol with the limits of the settings."""
    limits = {
        "header_max_bytes": settings.header_max_bytes,
        "request_seconds": settings.request_seconds,
    }
    return type("SettingsProtocol", (BoundedProtocol,), limits)
