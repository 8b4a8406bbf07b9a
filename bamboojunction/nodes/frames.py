"""WebSocket connections that hand over whole binary frames as they arrive.

The usual way through a queue and a task that waits on it costs a turn of the event loop for each
message, which is a large part of what a call costs a node.
"""

import asyncio
from collections.abc import Callable

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.frames import Frame, Opcode
from websockets.protocol import State

DATA_OPCODES = frozenset({Opcode.TEXT, Opcode.BINARY, Opcode.CONT})


class LinkClosedError(Exception):
    """Report a connection that ended before the frame that was waited for."""


class DirectFrames:
    """Add the direct hand-over to a connection of ``websockets``.

    Peers send binary frames that are not fragmented; any other data ends the connection.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Frames that came before there was a receiver; None stands for the end.
        self._early: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._receive: Callable[[bytes], None] | None = None
        self._on_lost: Callable[[], None] = lambda: None

    async def next_frame(self) -> bytes:
        """Wait for a frame, as long as there is no receiver."""
        frame = await self._early.get()
        if frame is None:
            raise LinkClosedError
        return frame

    def deliver_to(self, receive: Callable[[bytes], None], on_lost: Callable[[], None]) -> None:
        """Hand over every frame from now on, and tell once that the connection is lost."""
        self._receive = receive
        self._on_lost = on_lost
        while not self._early.empty():
            frame = self._early.get_nowait()
            if frame is None:
                on_lost()
            else:
                receive(frame)

    async def send_frame(self, frame: bytes) -> None:
        """Send a binary frame; wait only while the peer reads too slowly."""
        if self.state is not State.OPEN:
            raise LinkClosedError
        self.protocol.send_binary(frame)
        self.send_data()
        if self.paused:
            await self.drain()

    def process_event(self, event) -> None:
        """Take a frame of data out of the usual way."""
        if not isinstance(event, Frame) or event.opcode not in DATA_OPCODES:
            super().process_event(event)
        elif event.opcode is not Opcode.BINARY or not event.fin:
            self.transport.abort()
        elif self._receive is None:
            self._early.put_nowait(bytes(event.data))
        else:
            self._receive(bytes(event.data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the receiver, or whoever waits for a frame."""
        super().connection_lost(exc)
        if self._receive is None:
            self._early.put_nowait(None)
        else:
            self._on_lost()


class DirectClient(DirectFrames, ClientConnection):
    """Be the opening end of a link."""


class DirectServer(DirectFrames, ServerConnection):
    """Be the accepting end of a link."""
