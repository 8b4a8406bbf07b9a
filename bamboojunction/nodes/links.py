"""Outgoing links: opened on demand, closed when idle, watched by heartbeats while in use."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException
from websockets.protocol import State

from bamboojunction.conf.settings import LinkSettings
from bamboojunction.nodes.codec import decode, encode
from bamboojunction.nodes.handshake import Identity, is_proof, new_nonce, prove
from bamboojunction.nodes.messages import (
    AnyMessage,
    CallAnswer,
    Cancel,
    Heartbeat,
    Hello,
    SealAnswer,
)

OPEN_TIMEOUT_SECONDS = 1.0
# After a failed opening, requests to the address fail at once for this long.
REOPEN_DELAY_SECONDS = 0.2

MessageHandler = Callable[[str, AnyMessage], None]


class LinkFailure(Enum):
    """Say what is known of a request that got no answer."""

    NOT_SENT = auto()
    LOST = auto()


@dataclass(slots=True)
class Handlers:
    """Hold the handlers of messages that are not answers, by type of message."""

    by_type: dict[type, MessageHandler]

    def dispatch(self, peer: str, message: AnyMessage) -> None:
        """Hand a message to its handler; a message without one is ignored."""
        handler = self.by_type.get(type(message))
        if handler is not None:
            handler(peer, message)


class Link:
    """Own one WebSocket to a peer and the requests that wait on it."""

    __slots__ = (
        "_connection",
        "_handlers",
        "_heartbeat_seconds",
        "_last_received",
        "_loop",
        "_pending_by_id",
        "_reader",
        "_watchdog",
        "_withdrawals",
        "last_used",
        "peer",
    )

    def __init__(
        self, connection: ClientConnection, peer: str, handlers: Handlers, heartbeat_seconds: float
    ):
        self.peer = peer
        self._connection = connection
        self._handlers = handlers
        self._heartbeat_seconds = heartbeat_seconds
        self._loop = asyncio.get_running_loop()
        self._pending_by_id: dict[int, asyncio.Future] = {}
        self._withdrawals: set[asyncio.Task] = set()
        self._last_received = self._loop.time()
        self.last_used = self._last_received
        self._reader = asyncio.create_task(self._read())
        self._watchdog = asyncio.create_task(self._watch())

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._connection.state is State.OPEN

    @property
    def is_busy(self) -> bool:
        """Return whether requests wait for answers."""
        return bool(self._pending_by_id)

    async def request(self, request_id: int, frame: bytes) -> CallAnswer | SealAnswer | LinkFailure:
        """Send a request and wait for its answer; a lost link ends the wait."""
        if not self.is_open:
            return LinkFailure.NOT_SENT
        future = self._loop.create_future()
        self._pending_by_id[request_id] = future
        self.last_used = self._loop.time()
        try:
            await self._connection.send(frame)
            return await future
        except (WebSocketException, OSError):
            return LinkFailure.LOST
        except asyncio.CancelledError:
            self._withdraw(request_id)
            raise
        finally:
            self._pending_by_id.pop(request_id, None)

    async def send(self, frame: bytes) -> bool:
        """Send a message that has no answer and return whether it left."""
        self.last_used = self._loop.time()
        try:
            await self._connection.send(frame)
        except (WebSocketException, OSError):
            return False
        return True

    async def close(self) -> None:
        """Close the WebSocket and end the tasks."""
        self._watchdog.cancel()
        await self._connection.close()
        await asyncio.gather(self._reader, self._watchdog, return_exceptions=True)

    def _withdraw(self, request_id: int) -> None:
        """Tell the peer without waiting: a stalled link must not hold up a caller's deadline."""
        if not self.is_open:
            return
        task = asyncio.create_task(self.send(encode(Cancel(request_id))))
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    async def _read(self) -> None:
        try:
            async for frame in self._connection:
                self._last_received = self._loop.time()
                message = decode(frame).ok() if isinstance(frame, bytes) else None
                if message is None:
                    break
                self._take(message)
        except (WebSocketException, OSError):
            pass
        finally:
            self.abandon()

    def _take(self, message: AnyMessage) -> None:
        match message:
            case CallAnswer(request_id=request_id) | SealAnswer(request_id=request_id):
                future = self._pending_by_id.pop(request_id, None)
                if future is not None and not future.done():
                    future.set_result(message)
            case Heartbeat():
                pass
            case _:
                self._handlers.dispatch(self.peer, message)

    def abandon(self) -> None:
        """Close the connection at once; waiting requests are lost."""
        self._connection.transport.abort()
        for future in self._pending_by_id.values():
            if not future.done():
                future.set_result(LinkFailure.LOST)
        self._pending_by_id.clear()

    async def _watch(self) -> None:
        """Abort the link when the peer stays silent for three heartbeats while requests wait."""
        for token in itertools.count():
            before = self._loop.time()
            await asyncio.sleep(self._heartbeat_seconds)
            now = self._loop.time()
            # After a pause of this process its own silence says nothing about the peer.
            if now - before > 2 * self._heartbeat_seconds:
                self._last_received = now
            if not self.is_open:
                return
            if self.is_busy and now - self._last_received > 3 * self._heartbeat_seconds:
                self.abandon()
                return
            if self.is_busy:
                await self._send_heartbeat(token)
            else:
                self._last_received = now

    async def _send_heartbeat(self, token: int) -> None:
        """Send within one interval: on a link with full buffers the wait would never end."""
        try:
            async with asyncio.timeout(self._heartbeat_seconds):
                await self.send(encode(Heartbeat(token)))
        except TimeoutError:
            return


class LinkPool:
    """Hold the links to the nodes that this node calls, by address."""

    __slots__ = (
        "_by_address",
        "_failed_at",
        "_handlers",
        "_identity",
        "_ids",
        "_loop",
        "_opening",
        "_settings",
        "_source_host",
        "_tasks",
    )

    def __init__(self, identity: Identity, settings: LinkSettings, source_host: str):
        self._identity = identity
        self._settings = settings
        self._source_host = source_host
        self._handlers = Handlers({})
        self._by_address: dict[str, Link] = {}
        self._opening: dict[str, asyncio.Task] = {}
        self._failed_at: dict[str, float] = {}
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._loop = asyncio.get_running_loop()

    def on_message(self, message_type: type, handler: MessageHandler) -> None:
        """Set the handler of a type of message that peers send on their own."""
        self._handlers.by_type[message_type] = handler

    @property
    def handlers(self) -> Handlers:
        """Return the handlers, which incoming links share."""
        return self._handlers

    def next_id(self) -> int:
        """Return a request id that is new on every link."""
        return next(self._ids)

    async def request(self, address: str, message) -> CallAnswer | SealAnswer | LinkFailure:
        """Send a request to a node and wait for its answer."""
        link = self._by_address.get(address)
        if link is None or not link.is_open:
            link = await self._open(address)
        if link is None:
            return LinkFailure.NOT_SENT
        return await link.request(message.request_id, encode(message))

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message that has no answer; it is lost when the node cannot be reached."""
        self._spawn(self._send(address, encode(message)))

    def abandon(self, address: str) -> None:
        """Drop the link to a node that stays silent, unless requests wait on it."""
        link = self._by_address.get(address)
        if link is not None and not link.is_busy:
            link.abandon()
            del self._by_address[address]

    def is_open(self, address: str) -> bool:
        """Return whether a link to the address is open."""
        link = self._by_address.get(address)
        return link is not None and link.is_open

    def open_addresses(self) -> list[str]:
        """Return the addresses of the open links."""
        return [address for address, link in self._by_address.items() if link.is_open]

    async def close_idle(self) -> None:
        """Close the links that nobody used for the idle time, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.idle_close_seconds / 4)
            oldest = self._loop.time() - self._settings.idle_close_seconds
            idle = [
                address
                for address, link in self._by_address.items()
                if not link.is_busy and (link.last_used < oldest or not link.is_open)
            ]
            links = [self._by_address.pop(address) for address in idle]
            await asyncio.gather(*(link.close() for link in links))
            self._failed_at = {
                address: failed_at
                for address, failed_at in self._failed_at.items()
                if self._loop.time() - failed_at < REOPEN_DELAY_SECONDS
            }

    async def close(self) -> None:
        """Close all links."""
        links = list(self._by_address.values())
        self._by_address.clear()
        await asyncio.gather(*(link.close() for link in links))
        for task in self._tasks:
            task.cancel()

    async def _send(self, address: str, frame: bytes) -> None:
        link = self._by_address.get(address)
        if link is None or not link.is_open:
            link = await self._open(address)
        if link is not None:
            await link.send(frame)

    async def _open(self, address: str) -> Link | None:
        failed_at = self._failed_at.get(address)
        if failed_at is not None and self._loop.time() - failed_at < REOPEN_DELAY_SECONDS:
            return None
        task = self._opening.get(address)
        if task is None:
            task = self._spawn(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda _: self._opening.pop(address, None))
        # A caller that goes away must not end the opening that others wait for.
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> Link | None:
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                link = await self._shake_hands(address)
        except (WebSocketException, OSError, TimeoutError):
            link = None
        if link is None:
            self._failed_at[address] = self._loop.time()
            return None
        self._failed_at.pop(address, None)
        self._by_address[address] = link
        return link

    async def _shake_hands(self, address: str) -> Link | None:
        connection = await connect(
            f"ws://{address}/",
            compression=None,
            ping_interval=None,
            proxy=None,
            local_addr=(self._source_host, 0),
            max_size=self._settings.frame_max_bytes,
        )
        peer = None
        try:
            peer = await self._authenticate(connection)
        finally:
            if peer is None:
                connection.transport.abort()
        if peer is None:
            return None
        return Link(connection, peer, self._handlers, self._settings.heartbeat_seconds)

    async def _authenticate(self, connection: ClientConnection) -> str | None:
        """Return the instance at the other end, or None when it does not know the secret."""
        nonce = new_nonce()
        await connection.send(encode(self._identity.hello(nonce)))
        frame = await connection.recv()
        hello = decode(frame).ok() if isinstance(frame, bytes) else None
        secret = self._identity.secret
        if not isinstance(hello, Hello) or not is_proof(
            hello.proof, secret, b"server", nonce, hello.nonce
        ):
            return None
        proof = prove(secret, b"client", nonce, hello.nonce)
        await connection.send(encode(self._identity.hello(nonce, proof)))
        return hello.instance

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
