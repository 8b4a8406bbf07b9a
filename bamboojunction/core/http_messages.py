"""HTTP requests and responses as a node forwards them."""

from dataclasses import dataclass

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class HttpRequest:
    """A request as received; header names are in lower case.

    ``port`` is the local port of the connection. ``arrived_at`` is the time of the first byte, in
    seconds on the event loop's clock.
    """

    port: int
    method: str
    target: bytes
    headers: RawHeaders
    arrived_at: float
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A whole response; the connection adds the headers that frame it."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
