"""Frames that bypass the library's parser: any split, invalid heads, and frames of other kinds."""

import asyncio
import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.protocol import State
from websockets.uri import parse_uri

from bamboojunction.links.framing import (
    RANDOM_BLOCK_BYTES,
    FrameStatus,
    MaskKeySource,
    encode_binary_frame,
    scan_frame,
)
from bamboojunction.links.websocket import LinkClientConnection

MASK_KEY = b"\x01\x02\x03\x04"
PAYLOAD_MAX_BYTES = 100_000
SIZES = (0, 1, 125, 126, 65_535, 65_536)


class FrameTests(unittest.TestCase):
    def test_frames_are_those_of_the_library(self):
        for size in SIZES:
            payload = bytes(size)
            library_frame = Frame(Opcode.BINARY, payload).serialize(mask=False)
            self.assertEqual(encode_binary_frame(payload, None), library_frame)

    def test_frames_of_both_sides_survive_a_round_trip(self):
        for size in SIZES:
            for mask_key in (None, MASK_KEY):
                payload = (b"payload-" * 10_000)[:size]
                encoded = encode_binary_frame(payload, mask_key)
                frame = scan_frame(b"xx" + encoded, 2, mask_key is not None, PAYLOAD_MAX_BYTES)
                self.assertEqual(frame, (FrameStatus.PLAIN_BINARY, len(encoded) + 2, payload))

    def test_each_prefix_of_a_frame_is_incomplete(self):
        encoded = encode_binary_frame(b"x" * 130, MASK_KEY)
        for size in range(len(encoded)):
            status = scan_frame(encoded[:size], 0, True, PAYLOAD_MAX_BYTES).status
            self.assertIs(status, FrameStatus.INCOMPLETE, size)

    def test_invalid_and_other_frames_are_left_to_the_library(self):
        too_large = encode_binary_frame(bytes(PAYLOAD_MAX_BYTES + 1), MASK_KEY)
        frames = {
            "unmasked": encode_binary_frame(b"x", None),
            "ping": Frame(Opcode.PING, b"").serialize(mask=True),
            "fragment": Frame(Opcode.BINARY, b"x", fin=False).serialize(mask=True),
            "too large": too_large[:20],
        }
        for name, frame in frames.items():
            with self.subTest(name):
                scanned = scan_frame(frame, 0, True, PAYLOAD_MAX_BYTES)
                self.assertEqual(scanned, (FrameStatus.OTHER, len(frame), b""))

    def test_mask_keys_do_not_repeat(self):
        source = MaskKeySource()
        count = RANDOM_BLOCK_BYTES // 2
        keys = {source.next_key() for _ in range(count)}
        # Two of so many random keys are alike once in 2,000 runs; all are if a block is reused.
        self.assertGreater(len(keys), count - 3)


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self):
        self.written = b""
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted

    def can_write_eof(self) -> bool:
        return False

    close = abort

    def set_write_buffer_limits(self, *limits) -> None:
        pass

    pause_reading = resume_reading = set_write_buffer_limits


def open_connection() -> LinkClientConnection:
    """Return a client connection after its handshake, with a fake transport."""
    protocol = ClientProtocol(parse_uri("ws://127.0.0.1/"), max_size=PAYLOAD_MAX_BYTES)
    connection = LinkClientConnection(protocol)
    connection.connection_made(FakeTransport())
    connection.response = object()
    protocol.state = State.OPEN
    protocol.parser = protocol.parse()
    next(protocol.parser)
    return connection


class ConnectionTests(unittest.IsolatedAsyncioTestCase):
    @given(
        payloads=st.lists(st.binary(max_size=300), max_size=5),
        cuts=st.lists(st.integers(0, 1500), max_size=8),
        ping_at=st.integers(0, 5),
    )
    def test_frames_arrive_whole_and_in_order_for_any_split(self, payloads, cuts, ping_at):
        async def receive():
            connection = open_connection()
            received = []
            connection.set_receiver(received.append, lambda: None)
            frames = [encode_binary_frame(payload, None) for payload in payloads]
            frames.insert(ping_at, Frame(Opcode.PING, b"p").serialize(mask=False))
            stream = b"".join(frames)
            edges = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
            for start, end in itertools.pairwise(edges):
                connection.data_received(stream[start:end])
            return connection, received

        connection, received = asyncio.run(receive())
        self.assertEqual(received, payloads)
        # The library answered the ping.
        self.assertEqual(connection.transport.written[0] & 0x0F, Opcode.PONG)

    async def test_frames_behind_an_abort_are_not_delivered(self):
        connection = open_connection()
        received = []

        def abort(frame: bytes) -> None:
            received.append(frame)
            connection.transport.abort()

        connection.set_receiver(abort, lambda: None)
        connection.data_received(encode_binary_frame(b"1", None) * 3)
        self.assertEqual(received, [b"1"])

    async def test_invalid_frame_closes_the_connection(self):
        connection = open_connection()
        received = []
        connection.set_receiver(received.append, lambda: None)
        frame = encode_binary_frame(b"1", None)
        connection.data_received(frame + encode_binary_frame(b"2", MASK_KEY) + frame)
        self.assertEqual(received, [b"1"])
        self.assertIsNot(connection.state, State.OPEN)
