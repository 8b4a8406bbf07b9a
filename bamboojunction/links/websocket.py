"""WebSocket connections that pass each binary frame to a callback as it arrives.

The default receive API of ``websockets`` puts messages on a queue that a task awaits. That costs an
event loop iteration per message, which is a large part of a node's cost per call. Plain frames are
also encoded and decoded here instead of by the library, see ``framing``.
"""

import asyncio
import sys
from collections.abc import Callable

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.frames import Frame, Opcode
from websockets.protocol import CLIENT, State

from bamboojunction.links.framing import (
    FrameStatus,
    MaskKeySource,
    encode_binary_frame,
    scan_frame,
)

DATA_OPCODES = frozenset({Opcode.TEXT, Opcode.BINARY, Opcode.CONT})
_mask_keys = MaskKeySource()


class LinkClosedError(Exception):
    """The connection was closed before a frame could be received or sent."""


class FrameCallbackMixin:
    """A mixin for ``websockets`` connections that delivers binary frames to a callback.

    Peers send unfragmented binary frames only; any other data frame aborts the connection.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Frames received before set_receiver was called; None marks the end of the connection.
        self._queued_frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._on_frame: Callable[[bytes], None] | None = None
        self._on_lost: Callable[[], None] = lambda: None
        self._is_client = self.protocol.side is CLIENT
        # The start of a frame whose rest has not arrived. Both ends wait for the handshake before
        # they send frames, so the library's parser never holds a part of one.
        self._incomplete_frame = bytearray()

    async def next_frame(self) -> bytes:
        """Wait for the next frame; use it only before ``set_receiver`` is called."""
        frame = await self._queued_frames.get()
        if frame is None:
            raise LinkClosedError
        return frame

    def set_receiver(self, on_frame: Callable[[bytes], None], on_lost: Callable[[], None]) -> None:
        """Pass queued and future frames to ``on_frame``; call ``on_lost`` once the link is lost."""
        self._on_frame = on_frame
        self._on_lost = on_lost
        while not self._queued_frames.empty():
            frame = self._queued_frames.get_nowait()
            if frame is None:
                on_lost()
            else:
                on_frame(frame)

    async def send_frame(self, frame: bytes) -> None:
        """Send a binary frame; wait only while the write buffer is full."""
        self.write_frame(frame)
        if self.paused:
            await self.drain()

    def write_frame(self, frame: bytes) -> None:
        """Write a binary frame to the buffer of the connection, or raise LinkClosedError."""
        if self.state is not State.OPEN:
            raise LinkClosedError
        if self.protocol.extensions:
            self.protocol.send_binary(frame)
            self.send_data()
        else:
            mask_key = _mask_keys.next_key() if self._is_client else None
            self.transport.write(encode_binary_frame(frame, mask_key))

    def data_received(self, data: bytes) -> None:
        """Deliver whole plain frames; pass any other frame to the library, one at a time."""
        if self.state is not State.OPEN:
            super().data_received(data)
            return
        incomplete_frame = self._incomplete_frame
        if incomplete_frame:
            incomplete_frame += data
            data = incomplete_frame
        start = 0
        while start < len(data):
            frame = scan_frame(
                data, start, not self._is_client, self.protocol.max_message_size or sys.maxsize
            )
            match frame.status:
                case FrameStatus.INCOMPLETE:
                    break
                case FrameStatus.PLAIN_BINARY:
                    self._deliver(frame.payload)
                case FrameStatus.OTHER:
                    super().data_received(bytes(data[start : frame.end]))
            start = frame.end
            if self.state is not State.OPEN or self.transport.is_closing():
                # Nothing follows a close frame or an aborted connection.
                start = len(data)
        # A frame of many parts is not copied with each of them.
        if start or data is not incomplete_frame:
            self._incomplete_frame = bytearray(data[start:])

    def process_event(self, event) -> None:
        """Deliver data frames directly; leave control frames and handshakes to the base class."""
        if not isinstance(event, Frame) or event.opcode not in DATA_OPCODES:
            super().process_event(event)
        elif event.opcode is not Opcode.BINARY or not event.fin:
            self.transport.abort()
        else:
            self._deliver(bytes(event.data))

    def _deliver(self, frame: bytes) -> None:
        if self._on_frame is None:
            self._queued_frames.put_nowait(frame)
        else:
            self._on_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the receiver, or the task that waits in ``next_frame``."""
        super().connection_lost(exc)
        if self._on_frame is None:
            self._queued_frames.put_nowait(None)
        else:
            self._on_lost()


class LinkClientConnection(FrameCallbackMixin, ClientConnection):
    """The client end of a link."""


class LinkServerConnection(FrameCallbackMixin, ServerConnection):
    """The server end of a link."""
