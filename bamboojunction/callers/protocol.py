"""An HTTP server protocol that limits the size of the headers and the duration of a request."""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bamboojunction.conf.settings import CallerSettings


class LimitingProtocol(HttpToolsProtocol):
    """A protocol that limits the size of the headers and the time a request may take to arrive.

    The subclass that ``limiting_protocol`` creates sets the limits.
    """

    header_max_bytes: int
    request_seconds: float

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._is_in_headers = True
        self._arrival_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer for the first request."""
        super().connection_made(transport)
        self._start_arrival_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._cancel_arrival_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes that arrive before the headers are complete, and enforce the limit."""
        if self._is_in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._is_in_headers and self._header_bytes > self.header_max_bytes:
            self.send_400_response("Request headers are too large.")

    def on_message_begin(self) -> None:
        """Restart the timer for the rest of the request."""
        super().on_message_begin()
        self._is_in_headers = True
        self._start_arrival_timer()

    def on_headers_complete(self) -> None:
        """Stop counting header bytes; the body has its own limit."""
        self._is_in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Cancel the timer, because the whole request has arrived."""
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


def limiting_protocol(settings: CallerSettings) -> type[LimitingProtocol]:
    """Return a ``LimitingProtocol`` subclass with the limits from the settings."""
    limits = {
        "header_max_bytes": settings.header_max_bytes,
        "request_seconds": settings.request_seconds,
    }
    return type("SettingsProtocol", (LimitingProtocol,), limits)
