"""Incoming links: authenticates peers and serves their requests."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException
from websockets.extensions.permessage_deflate import ServerPerMessageDeflateFactory

from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.outcomes import Unknown, UnknownReason
from bamboojunction.nodes.codec import decode, encode
from bamboojunction.nodes.convert import reply_to_answer
from bamboojunction.nodes.frames import DirectServer, LinkClosedError
from bamboojunction.nodes.handshake import Identity, is_proof, new_nonce, prove
from bamboojunction.nodes.link import SEND_ERRORS, Handlers
from bamboojunction.nodes.messages import (
    AnyMessage,
    CallRequest,
    Cancel,
    Heartbeat,
    Hello,
    Seal,
    SealAnswer,
)
from bamboojunction.nodes.replies import GateReply

COMPRESS_SETTINGS = {"memLevel": 5, "level": 3}
HANDSHAKE_TIMEOUT_SECONDS = 2.0

CallHandler = Callable[[CallRequest], Awaitable[GateReply]]
SealHandler = Callable[[Seal], SealAnswer]


class IncomingLink:
    """Serve the messages of one authenticated peer."""

    __slots__ = (
        "_asides",
        "_connection",
        "_handlers",
        "_on_call",
        "_on_seal",
        "_peer",
        "_tasks_by_id",
    )

    def __init__(self, connection, peer: str, on_call, on_seal, handlers: Handlers):
        self._connection: DirectServer = connection
        self._peer = peer
        self._on_call: CallHandler = on_call
        self._on_seal: SealHandler = on_seal
        self._handlers = handlers
        self._tasks_by_id: dict[int, asyncio.Task] = {}
        self._asides: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Take messages until the link ends, then withdraw the peer's calls."""
        self._connection.deliver_to(self._receive, lambda: None)
        try:
            await self._connection.wait_closed()
        finally:
            for task in (*self._tasks_by_id.values(), *self._asides):
                task.cancel()

    def _receive(self, frame: bytes) -> None:
        message = decode(frame).ok()
        if message is None:
            self._connection.transport.abort()
            return
        match message:
            case CallRequest():
                self._start(message)
            case Cancel(request_id=request_id):
                task = self._tasks_by_id.get(request_id)
                if task is not None:
                    task.cancel()
            case Heartbeat(token=token, echo=False):
                self._answer_aside(Heartbeat(token, True))
            case Seal():
                self._answer_aside(self._on_seal(message))
            case _:
                self._handlers.dispatch(self._peer, message)

    def _answer_aside(self, message: AnyMessage) -> None:
        task = asyncio.create_task(self._send(encode(message)))
        self._asides.add(task)
        task.add_done_callback(self._asides.discard)

    async def _send(self, frame: bytes) -> None:
        try:
            await self._connection.send_frame(frame)
        except SEND_ERRORS:
            # The peer treats the lost link as an unknown outcome.
            return

    def _start(self, request: CallRequest) -> None:
        task = asyncio.create_task(self._serve(request))
        self._tasks_by_id[request.request_id] = task
        task.add_done_callback(lambda _: self._tasks_by_id.pop(request.request_id, None))

    async def _serve(self, request: CallRequest) -> None:
        try:
            reply = await self._on_call(request)
        except Exception:
            # The caller must not wait for an answer that never comes.
            logger.exception("event=call_failed request={}", request.action)
            reply = GateReply(Unknown(UnknownReason.LOST_UPSTREAM))
        await self._send(encode(reply_to_answer(request.request_id, reply)))


class LinkServer:
    """Accept links on the node's link address."""

    __slots__ = ("_handlers", "_identity", "_on_call", "_on_seal", "_server", "_settings")

    def __init__(
        self,
        identity: Identity,
        settings: LinkSettings,
        on_call: CallHandler,
        on_seal: SealHandler,
        handlers: Handlers,
    ):
        self._identity = identity
        self._settings = settings
        self._on_call = on_call
        self._on_seal = on_seal
        self._handlers = handlers
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await serve(
            self._accept,
            host,
            port,
            create_connection=DirectServer,
            compression=None,
            # Used on the links whose opener asks for it.
            extensions=[ServerPerMessageDeflateFactory(compress_settings=COMPRESS_SETTINGS)],
            ping_interval=None,
            max_size=self._settings.frame_max_bytes,
        )

    @property
    def port(self) -> int:
        """Return the port that the listener has."""
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listener and all incoming links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _accept(self, connection: DirectServer) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                peer = await self._shake_hands(connection)
        except (WebSocketException, LinkClosedError, OSError, TimeoutError):
            return
        if peer is None:
            return
        link = IncomingLink(connection, peer, self._on_call, self._on_seal, self._handlers)
        await link.run()

    async def _shake_hands(self, connection: DirectServer) -> str | None:
        opening = await self._receive_hello(connection)
        if opening is None:
            return None
        secret = self._identity.secret
        nonce = new_nonce()
        proof = prove(secret, b"server", opening.nonce, nonce)
        await connection.send_frame(encode(self._identity.hello(nonce, proof)))
        closing = await self._receive_hello(connection)
        if closing is None:
            return None
        if not is_proof(closing.proof, secret, b"client", opening.nonce, nonce):
            return None
        return closing.instance

    async def _receive_hello(self, connection: DirectServer) -> Hello | None:
        message = decode(await connection.next_frame()).ok()
        return message if isinstance(message, Hello) else None
