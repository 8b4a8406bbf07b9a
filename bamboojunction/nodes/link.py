"""One outgoing link: a WebSocket to a peer and the requests that wait on it."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum, auto

from websockets.exceptions import WebSocketException
from websockets.protocol import State

from bamboojunction.nodes.codec import decode, encode
from bamboojunction.nodes.frames import DirectClient, LinkClosedError
from bamboojunction.nodes.messages import AnyMessage, CallAnswer, Cancel, Heartbeat, SealAnswer

# Intervals without a word from the peer, each after a heartbeat but the first, that end a link.
SILENT_INTERVALS_MAX = 4
SEND_ERRORS = (WebSocketException, LinkClosedError, OSError, RuntimeError)

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
        "_asides",
        "_connection",
        "_handlers",
        "_heartbeat_seconds",
        "_loop",
        "_pending_by_id",
        "_silent_intervals",
        "_was_heard",
        "last_used",
        "peer",
    )

    def __init__(
        self, connection: DirectClient, peer: str, handlers: Handlers, heartbeat_seconds: float
    ):
        self.peer = peer
        self._connection = connection
        self._handlers = handlers
        self._heartbeat_seconds = heartbeat_seconds
        self._loop = asyncio.get_running_loop()
        self._pending_by_id: dict[int, asyncio.Future] = {}
        # Messages that are sent without anyone waiting for them.
        self._asides: set[asyncio.Task] = set()
        self._was_heard = True
        self._silent_intervals = 0
        self.last_used = self._loop.time()
        connection.deliver_to(self._receive, self.abandon)

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
            await self._connection.send_frame(frame)
            return await future
        except SEND_ERRORS:
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
            await self._connection.send_frame(frame)
        except SEND_ERRORS:
            return False
        return True

    async def close(self) -> None:
        """Close the WebSocket."""
        await self._connection.close()

    def _withdraw(self, request_id: int) -> None:
        """Tell the peer without waiting: a stalled link must not hold up a caller's deadline."""
        if not self.is_open:
            return
        self._send_aside(self.send(encode(Cancel(request_id))))

    def _receive(self, frame: bytes) -> None:
        self._was_heard = True
        message = decode(frame).ok()
        if message is None:
            self.abandon()
        else:
            self._take(message)

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

    def check_silence(self, was_paused: bool, token: int) -> None:
        """Abort the link when the peer stays silent for three heartbeats while requests wait.

        The pool calls this once in each heartbeat interval. Intervals are counted rather than
        time: after a pause of this process what the peer sent meanwhile has not been read yet.
        """
        if was_paused or not self.is_busy or self._was_heard:
            self._silent_intervals = 0
        else:
            self._silent_intervals += 1
        self._was_heard = False
        if self._silent_intervals >= SILENT_INTERVALS_MAX:
            self.abandon()
        elif self._silent_intervals:
            # An answer within the interval shows as much as an echo.
            self._send_aside(self._send_heartbeat(token))

    def _send_aside(self, sending: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(sending)
        self._asides.add(task)
        task.add_done_callback(self._asides.discard)

    async def _send_heartbeat(self, token: int) -> None:
        """Send within one interval: on a link with full buffers the wait would never end."""
        try:
            async with asyncio.timeout(self._heartbeat_seconds):
                await self.send(encode(Heartbeat(token)))
        except TimeoutError:
            return
