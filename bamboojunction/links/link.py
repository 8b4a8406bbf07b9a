"""One outgoing link: a WebSocket connection to a peer and its pending requests."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum, auto

from websockets.exceptions import WebSocketException
from websockets.protocol import State

from bamboojunction.links.codec import decode, encode
from bamboojunction.links.messages import AnyMessage, CallAnswer, Cancel, Heartbeat, SealAnswer
from bamboojunction.links.websocket import LinkClientConnection, LinkClosedError

# A link is aborted after this many consecutive heartbeat intervals without a frame from the peer.
# No heartbeat precedes the first of them, so this means three unanswered heartbeats.
SILENT_INTERVALS_MAX = 4
SEND_ERRORS = (WebSocketException, LinkClosedError, OSError, RuntimeError)

MessageHandler = Callable[[str, AnyMessage], None]


class LinkFailure(Enum):
    """Why a request got no answer.

    It was not sent, or its link was lost or its deadline passed before the answer.
    """

    NOT_SENT = auto()
    LOST = auto()
    DEADLINE = auto()


@dataclass(slots=True)
class MessageHandlers:
    """The handlers of messages that are not answers, by message type."""

    by_type: dict[type, MessageHandler]

    def dispatch(self, peer: str, message: AnyMessage) -> None:
        """Call the handler of a message; ignore a message that has none."""
        handler = self.by_type.get(type(message))
        if handler is not None:
            handler(peer, message)


class Link:
    """A WebSocket connection to a peer and the requests that await their answers on it."""

    __slots__ = (
        "_background_sends",
        "_connection",
        "_handlers",
        "_heartbeat_seconds",
        "_loop",
        "_pending_by_id",
        "_received_since_check",
        "_silent_intervals",
        "last_used_at",
        "peer",
    )

    def __init__(
        self,
        connection: LinkClientConnection,
        peer: str,
        handlers: MessageHandlers,
        heartbeat_seconds: float,
    ):
        self.peer = peer
        self._connection = connection
        self._handlers = handlers
        self._heartbeat_seconds = heartbeat_seconds
        self._loop = asyncio.get_running_loop()
        self._pending_by_id: dict[int, asyncio.Future] = {}
        # Keeps references to the tasks of sends that nobody awaits.
        self._background_sends: set[asyncio.Task] = set()
        self._received_since_check = True
        self._silent_intervals = 0
        self.last_used_at = self._loop.time()
        connection.set_receiver(self._handle_frame, self.abort)

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open for sending."""
        return self._connection.state is State.OPEN

    @property
    def is_busy(self) -> bool:
        """Return whether requests are pending."""
        return bool(self._pending_by_id)

    async def request(
        self, request_id: int, frame: bytes, deadline: float = math.inf
    ) -> CallAnswer | SealAnswer | LinkFailure:
        """Send a request and wait for its answer, the loss of the link or the deadline.

        ``deadline`` is in seconds on the event loop's clock. The request does not wait while the
        write buffer is full, as it waits for the answer in any case.
        """
        if not self.is_open:
            return LinkFailure.NOT_SENT
        future = self._loop.create_future()
        self._pending_by_id[request_id] = future
        self.last_used_at = self._loop.time()
        timer = None
        if deadline < math.inf:
            timer = self._loop.call_at(deadline, self._expire_request, request_id)
        try:
            self._connection.write_frame(frame)
            return await future
        except SEND_ERRORS:
            return LinkFailure.LOST
        except asyncio.CancelledError:
            self._cancel_request(request_id)
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._pending_by_id.pop(request_id, None)

    async def send(self, frame: bytes) -> bool:
        """Send a message that has no answer and return whether it was sent."""
        self.last_used_at = self._loop.time()
        try:
            await self._connection.send_frame(frame)
        except SEND_ERRORS:
            return False
        return True

    def send_soon(self, message: AnyMessage) -> None:
        """Send a message that has no answer, without waiting for it."""
        self._send_in_background(self.send(encode(message)))

    async def close(self) -> None:
        """Close the connection with a WebSocket closing handshake."""
        await self._connection.close()

    def _expire_request(self, request_id: int) -> None:
        future = self._pending_by_id.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(LinkFailure.DEADLINE)
            self._cancel_request(request_id)

    def _cancel_request(self, request_id: int) -> None:
        """Send a cancellation in the background.

        A stalled link must not delay the caller beyond its deadline.
        """
        if not self.is_open:
            return
        self._send_in_background(self.send(encode(Cancel(request_id))))

    def _handle_frame(self, frame: bytes) -> None:
        self._received_since_check = True
        message = decode(frame).ok()
        if message is None:
            self.abort()
        else:
            self._handle_message(message)

    def _handle_message(self, message: AnyMessage) -> None:
        match message:
            case CallAnswer(request_id=request_id) | SealAnswer(request_id=request_id):
                future = self._pending_by_id.pop(request_id, None)
                if future is not None and not future.done():
                    future.set_result(message)
            case Heartbeat():
                pass
            case _:
                self._handlers.dispatch(self.peer, message)

    def abort(self) -> None:
        """Abort the connection at once; pending requests end as lost."""
        self._connection.transport.abort()
        for future in self._pending_by_id.values():
            if not future.done():
                future.set_result(LinkFailure.LOST)
        self._pending_by_id.clear()

    def check_silence(self, was_paused: bool, token: int, is_kept_open: bool = False) -> None:
        """Abort the link after three unanswered heartbeats in a row.

        Heartbeats are sent while requests are pending, or always with ``is_kept_open``.

        The pool calls this once per heartbeat interval. It counts intervals instead of elapsed
        time: after a pause of this process, frames that the peer sent meanwhile are still unread.
        ``was_paused`` resets the count, and ``token`` is sent with the heartbeat.
        """
        is_watched = self.is_busy or is_kept_open
        if was_paused or not is_watched or self._received_since_check:
            self._silent_intervals = 0
        else:
            self._silent_intervals += 1
        self._received_since_check = False
        if self._silent_intervals >= SILENT_INTERVALS_MAX:
            self.abort()
        elif self._silent_intervals:
            # Any frame from the peer shows that it is alive, not only the echo of this heartbeat.
            self._send_in_background(self._send_heartbeat(token))

    def _send_in_background(self, send: Coroutine[None, None, object]) -> None:
        task = self._loop.create_task(send)
        self._background_sends.add(task)
        task.add_done_callback(self._background_sends.discard)

    async def _send_heartbeat(self, token: int) -> None:
        """Send a heartbeat, for at most one interval: a full write buffer may never drain."""
        try:
            async with asyncio.timeout(self._heartbeat_seconds):
                await self.send(encode(Heartbeat(token)))
        except TimeoutError:
            return
