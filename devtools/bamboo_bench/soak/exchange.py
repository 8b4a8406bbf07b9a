"""The exchange of one request of a soak test with a node, as its caller sees it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from bamboo_bench.soak.invariants import Ending, EndKind

# A caller waits this long beyond its deadline, to see when the answer comes.
PATIENCE_SECONDS = 0.8

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


@dataclass(slots=True, frozen=True)
class Exchange:
    """The end of an exchange; ``body`` is empty without a whole answer."""

    ending: Ending
    body: bytes = b""


def create_session() -> aiohttp.ClientSession:
    """Return a session that tells `send` whether a request used a kept connection."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_record_reuse)
    trace.on_request_headers_sent.append(_record_sent)
    trace.on_request_chunk_sent.append(_record_sent)
    session = aiohttp.ClientSession(trace_configs=[trace])
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
) -> Exchange:
    """Send a request, wait ``seconds`` and `PATIENCE_SECONDS` for its end, and return that."""
    context = SimpleNamespace(is_kept=False, clock=clock, sent_at=None)
    kind, status, has_stamp, body = EndKind.CLOSED, None, False, b""
    try:
        async with (
            asyncio.timeout(seconds + PATIENCE_SECONDS),
            session.request(
                method, url, headers=headers, timeout=_NO_TIMEOUT, trace_request_ctx=context
            ) as answer,
        ):
            kind, status = EndKind.BROKEN, answer.status
            has_stamp = "Bamboojunction-Server-Stamp" in answer.headers
            body = await answer.read()
            kind = EndKind.WHOLE
    except aiohttp.ClientConnectorError:
        kind = EndKind.UNCONNECTED
    except aiohttp.ClientError:
        # The kind tells whether the head of an answer had come.
        pass
    except TimeoutError:
        kind = EndKind.TIMED_OUT
    return Exchange(
        Ending(clock(), kind, status, has_stamp, context.is_kept, context.sent_at), body
    )


async def _record_reuse(session, context, parameters) -> None:
    # Requests that `send` did not make have no context of their own.
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.is_kept = True


async def _record_sent(session, context, parameters) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.sent_at = context.trace_request_ctx.clock()
