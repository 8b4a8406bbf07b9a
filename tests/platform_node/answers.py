"""Answers of an upstream as bytes, and an upstream in memory that sends scripts of such bytes."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from bamboojunction.core.calls import Call
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.core.outcomes import Outcome
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.core.table.rows import DEFAULT_ROW, Effect, Row
from bamboojunction.platform_node.gate import UpstreamSender
from bamboojunction.upstreams.connection import UpstreamConnection
from bamboojunction.upstreams.pool import UpstreamPool

BODY_MAX_BYTES = 1_000_000
DEADLINE_SECONDS = 1.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
REFUSED = "Bamboojunction-Not-Executed: 1\r\n"
STAMP = "Bamboojunction-Server-Stamp: s\r\n"


def answer(
    request_id: str,
    body: bytes = b"ok",
    status: str = "200 OK",
    extra: str = STAMP,
    framing: str = "length",
) -> bytes:
    """Return an answer whose body is framed by its length, by chunks or by the end."""
    head = f"HTTP/1.1 {status}\r\n{extra}Bamboojunction-Request-Id: {request_id}\r\n".encode()
    match framing:
        case "length":
            return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        case "chunks":
            half = len(body) // 2
            chunks = b"".join(
                f"{len(chunk):x};a=b\r\n".encode() + chunk + b"\r\n"
                for chunk in (body[:half], body[half:])
            )
            trailer = b"0\r\nX-Trailer: y\r\n\r\n"
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + trailer
    return head + b"\r\n" + body


@dataclass(slots=True, frozen=True)
class Script:
    """The bytes after a request, in pieces of a size, and what follows them.

    ``surplus`` comes ahead of them on a connection that carried a request before. ``ending`` is
    "silent", "close" or "reset".
    """

    data: bytes
    ending: str = "silent"
    piece_bytes: int = 1_000_000
    surplus: bytes = b""


class MemoryTransport(asyncio.Transport):
    """A transport that calls back for each request, with whether it carried one before."""

    def __init__(self, on_request: Callable[[bool], None]):
        super().__init__()
        self._on_request = on_request
        self._is_used = False

    def write(self, data: bytes) -> None:
        """Pass on that a request was written."""
        self._on_request(self._is_used)
        self._is_used = True

    def get_write_buffer_size(self) -> int:
        """Return 0, as all bytes are sent at once."""
        return 0

    def abort(self) -> None:
        """Do nothing: the connection does not wait for its loss."""


class ScriptedPool(UpstreamPool):
    """A pool whose connections are in memory; each request gets the next script."""

    def __init__(self, scripts: Iterable[Script]):
        super().__init__("127.0.0.1:1", BODY_MAX_BYTES, MemoryBudget(BODY_MAX_BYTES))
        self._scripts = iter(scripts)

    async def _open(self, timeout_at: float) -> UpstreamConnection:
        self.opened_count += 1
        connection = UpstreamConnection(self._body_max_bytes, self._memory)
        connection.connection_made(
            MemoryTransport(lambda is_used: self._loop.call_soon(self._play, connection, is_used))
        )
        return connection

    def _play(self, connection: UpstreamConnection, is_used: bool) -> None:
        script = next(self._scripts)
        data = script.surplus + script.data if is_used else script.data
        for start in range(0, len(data), script.piece_bytes):
            connection.data_received(data[start : start + script.piece_bytes])
        if script.ending == "close":
            connection.eof_received()
            connection.connection_lost(None)
        elif script.ending == "reset":
            connection.connection_lost(ConnectionResetError())


class RoutesOfOneEffect(CurrentRoutes):
    """Routes whose rows all have the same effect."""

    def __init__(self, effect: Effect):
        super().__init__()
        self._row = replace(DEFAULT_ROW, effect=effect)

    def row(self, kind: str) -> Row:
        """Return the row of each kind."""
        return self._row


async def send_in_turn(
    pool: UpstreamPool, *request_ids: str, effect: Effect = Effect.ONCE
) -> list[Outcome]:
    """Send a request for each id, and return the outcomes."""
    sender = UpstreamSender(pool, RoutesOfOneEffect(effect))
    loop = asyncio.get_running_loop()
    outcomes = []
    for request_id in request_ids:
        call = Call(request_id, "charge", "billing", loop.time() + DEADLINE_SECONDS, method="POST")
        outcomes.append((await sender.send(call, [])).outcome)
    return outcomes


def each_cut(data: bytes) -> Iterable[bytes]:
    """Return the beginnings of some bytes, without the empty one and the whole."""
    return itertools.islice(itertools.accumulate(data, _append, initial=b""), 1, len(data))


def _append(beginning: bytes, byte: int) -> bytes:
    return beginning + bytes([byte])
