"""The server side of links: authentication of peers and dispatch of their messages."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from loguru import logger
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException
from websockets.extensions.permessage_deflate import ServerPerMessageDeflateFactory

from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.outcomes import Unknown, UnknownReason
from bamboojunction.links.codec import decode, encode
from bamboojunction.links.convert import reply_to_answer
from bamboojunction.links.handshake import Identity, compute_proof, is_valid_proof, new_nonce
from bamboojunction.links.link import SEND_ERRORS, MessageHandlers
from bamboojunction.links.messages import (
    AnyMessage,
    CallRequest,
    Cancel,
    Heartbeat,
    Hello,
    Seal,
    SealAnswer,
)
from bamboojunction.links.replies import GateReply
from bamboojunction.links.websocket import LinkClosedError, LinkServerConnection

# Arguments of zlib.compressobj: less memory and time per link than zlib's defaults (8 and 6),
# at a lower compression ratio.
COMPRESS_SETTINGS = {"memLevel": 5, "level": 3}
HANDSHAKE_TIMEOUT_SECONDS = 2.0

CallHandler = Callable[[CallRequest], Awaitable[GateReply]]
SealHandler = Callable[[Seal], SealAnswer]


class IncomingLink:
    """An accepted link from an authenticated peer, with the calls that run for that peer."""

    __slots__ = (
        "_background_sends",
        "_call_tasks_by_id",
        "_connection",
        "_handlers",
        "_loop",
        "_on_call",
        "_on_seal",
        "peer",
    )

    def __init__(self, connection, peer: str, on_call, on_seal, handlers: MessageHandlers):
        self._loop = asyncio.get_running_loop()
        self._connection: LinkServerConnection = connection
        self.peer = peer
        self._on_call: CallHandler = on_call
        self._on_seal: SealHandler = on_seal
        self._handlers = handlers
        self._call_tasks_by_id: dict[int, asyncio.Task] = {}
        self._background_sends: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Handle messages until the link is closed, then cancel the peer's calls."""
        self._connection.set_receiver(self._handle_frame, lambda: None)
        try:
            await self._connection.wait_closed()
        finally:
            for task in (*self._call_tasks_by_id.values(), *self._background_sends):
                task.cancel()

    def _handle_frame(self, frame: bytes) -> None:
        message = decode(frame).ok()
        if message is None:
            self._connection.transport.abort()
            return
        match message:
            case CallRequest():
                self._start_call(message)
            case Cancel(request_id=request_id):
                task = self._call_tasks_by_id.get(request_id)
                if task is not None:
                    task.cancel()
            case Heartbeat(token=token, echo=False):
                self.send_soon(Heartbeat(token, True))
            case Seal():
                self.send_soon(self._on_seal(message))
            case _:
                self._handlers.dispatch(self.peer, message)

    def send_soon(self, message: AnyMessage) -> None:
        """Send a message that has no answer, without waiting for it."""
        task = asyncio.create_task(self._send(encode(message)))
        self._background_sends.add(task)
        task.add_done_callback(self._background_sends.discard)

    async def _send(self, frame: bytes) -> None:
        try:
            await self._connection.send_frame(frame)
        except SEND_ERRORS:
            # The peer treats a lost link as an unknown outcome.
            return

    def _start_call(self, request: CallRequest) -> None:
        task = self._loop.create_task(self._serve_call(request))
        self._call_tasks_by_id[request.request_id] = task
        task.add_done_callback(lambda _: self._call_tasks_by_id.pop(request.request_id, None))

    async def _serve_call(self, request: CallRequest) -> None:
        try:
            reply = await self._on_call(request)
        except Exception:
            # Answer after a failure too, or the peer would wait until the call's deadline.
            logger.exception("event=call_failed request={}", request.action)
            reply = GateReply(Unknown(UnknownReason.LOST_UPSTREAM))
        await self._send(encode(reply_to_answer(request.request_id, reply)))


class LinkServer:
    """The listener for links from other nodes."""

    __slots__ = (
        "_handlers",
        "_identity",
        "_incoming_links",
        "_on_call",
        "_on_seal",
        "_server",
        "_settings",
    )

    def __init__(
        self,
        identity: Identity,
        settings: LinkSettings,
        on_call: CallHandler,
        on_seal: SealHandler,
        handlers: MessageHandlers,
    ):
        self._identity = identity
        self._settings = settings
        self._on_call = on_call
        self._on_seal = on_seal
        self._handlers = handlers
        self._server: Server | None = None
        self._incoming_links: set[IncomingLink] = set()

    def open_links(self) -> list[IncomingLink]:
        """Return the links from authenticated peers that are open."""
        return list(self._incoming_links)

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        await self._serve(host=host, port=port)

    async def start_on(self, listening: socket.socket) -> None:
        """Start to serve on a socket that already listens."""
        await self._serve(sock=listening)

    async def _serve(self, **where) -> None:
        self._server = await serve(
            self._accept,
            **where,
            create_connection=LinkServerConnection,
            compression=None,
            # Compression is used only on links whose client asks for it.
            extensions=[ServerPerMessageDeflateFactory(compress_settings=COMPRESS_SETTINGS)],
            ping_interval=None,
            max_size=self._settings.frame_max_bytes,
        )

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listener and all incoming links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _accept(self, connection: LinkServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                peer = await self._authenticate(connection)
        except (WebSocketException, LinkClosedError, OSError, TimeoutError):
            return
        if peer is None:
            return
        link = IncomingLink(connection, peer, self._on_call, self._on_seal, self._handlers)
        self._incoming_links.add(link)
        try:
            await link.run()
        finally:
            self._incoming_links.discard(link)

    async def _authenticate(self, connection: LinkServerConnection) -> str | None:
        first_hello = await self._receive_hello(connection)
        if first_hello is None:
            return None
        secret = self._identity.secret
        server_nonce = new_nonce()
        proof = compute_proof(secret, b"server", first_hello.nonce, server_nonce)
        await connection.send_frame(encode(self._identity.hello(server_nonce, proof)))
        second_hello = await self._receive_hello(connection)
        if second_hello is None:
            return None
        if not is_valid_proof(
            second_hello.proof, secret, b"client", first_hello.nonce, server_nonce
        ):
            return None
        return second_hello.instance

    async def _receive_hello(self, connection: LinkServerConnection) -> Hello | None:
        message = decode(await connection.next_frame()).ok()
        return message if isinstance(message, Hello) else None
