"""The exchange of one request of a soak test with a node, as its caller sees it."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from bamboo_bench.soak.invariants import Ending, EndKind, Request

# A caller waits this long beyond its deadline, to see when the answer comes.
PATIENCE_SECONDS = 0.8

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


@dataclass(slots=True, frozen=True)
class Exchange:
    """The end of an exchange; ``body`` is empty without a whole answer.

    ``retry_after_seconds`` is what the answer told.
    """

    ending: Ending
    body: bytes = b""
    retry_after_seconds: float = 0.0


def create_session(connector: aiohttp.TCPConnector | None = None) -> aiohttp.ClientSession:
    """Return a session that tells `send` whether a request used a kept connection."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_record_reuse)
    trace.on_request_headers_sent.append(_record_sent)
    trace.on_request_chunk_sent.append(_record_sent)
    session = aiohttp.ClientSession(connector=connector, trace_configs=[trace])
    # The library would send a request again by itself, with the same id, and so hide a closed
    # connection; its own test client switches this off in the same way.
    session._retry_connection = False
    return session


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    headers: dict[str, str],
    seconds: float,
    clock: Callable[[], float],
    sent_body: bytes = b"",
) -> Exchange:
    """Send a request, wait ``seconds`` and `PATIENCE_SECONDS` for its end, and return that."""
    context = SimpleNamespace(is_kept=False, clock=clock, sent_at=None)
    kind, status, has_stamp, body = EndKind.CLOSED, None, False, b""
    retry_after = 0.0
    try:
        async with (
            asyncio.timeout(seconds + PATIENCE_SECONDS),
            session.request(
                method,
                url,
                headers=headers,
                data=sent_body or None,
                timeout=_NO_TIMEOUT,
                trace_request_ctx=context,
            ) as answer,
        ):
            kind, status = EndKind.BROKEN, answer.status
            has_stamp = "Bamboojunction-Server-Stamp" in answer.headers
            retry_after = float(answer.headers.get("Retry-After", "0"))
            body = await answer.read()
            kind = EndKind.WHOLE
    except aiohttp.ClientConnectorError:
        kind = EndKind.UNCONNECTED
    except aiohttp.ClientError:
        # The kind tells whether the head of an answer had come.
        pass
    except TimeoutError:
        kind = EndKind.TIMED_OUT
    ending = Ending(clock(), kind, status, has_stamp, context.is_kept, context.sent_at)
    return Exchange(ending, body, retry_after)


async def unless_left(request: Request, sent: Coroutine[None, None, Exchange]) -> Exchange:
    """Wait for the end of a request; one whose caller leaves before is not due any more."""
    try:
        return await sent
    except asyncio.CancelledError:
        request.timeout_at = math.inf
        raise


async def _record_reuse(session, context, parameters) -> None:
    # Requests that `send` did not make have no context of their own.
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.is_kept = True


async def _record_sent(session, context, parameters) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.sent_at = context.trace_request_ctx.clock()
