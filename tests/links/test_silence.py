"""Detection of unresponsive peers by heartbeats.

A pause of this process or a slow event loop must not be mistaken for a silent peer.
"""

import asyncio
import unittest
from unittest import mock

from websockets.protocol import State

from bamboojunction.links.codec import encode
from bamboojunction.links.link import SILENT_INTERVALS_MAX, Link, LinkFailure, MessageHandlers
from bamboojunction.links.messages import Heartbeat

INTERVAL_SECONDS = 0.4


class FakeConnection:
    """A fake connection that records sent frames and exposes the receive callback."""

    state = State.OPEN

    def __init__(self):
        self.sent: list[bytes] = []
        self.transport = self
        self.is_aborted = False

    def set_receiver(self, on_frame, on_lost):
        self.on_frame = on_frame

    async def send_frame(self, frame):
        self.write_frame(frame)

    def write_frame(self, frame):
        self.sent.append(frame)

    def abort(self):
        self.is_aborted = True


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connection = FakeConnection()
        self.link = Link(self.connection, "peer", MessageHandlers({}), INTERVAL_SECONDS)
        self.request = asyncio.create_task(self.link.request(1, b"request"))
        await asyncio.sleep(0)
        self.link.check_silence(False, 0)

    async def check_silence(self, times: int, was_paused: bool = False) -> None:
        for token in range(times):
            self.link.check_silence(was_paused, token)
            await asyncio.sleep(0)

    async def test_link_is_aborted_after_unanswered_heartbeats(self):
        await self.check_silence(SILENT_INTERVALS_MAX - 1)
        self.assertFalse(self.request.done())
        self.assertEqual(len(self.connection.sent), SILENT_INTERVALS_MAX)
        await self.check_silence(1)
        self.assertEqual(await self.request, LinkFailure.LOST)
        self.assertTrue(self.connection.is_aborted)

    async def test_frame_from_the_peer_resets_the_count(self):
        await self.check_silence(SILENT_INTERVALS_MAX - 1)
        self.connection.on_frame(encode(Heartbeat(1, True)))
        await self.check_silence(SILENT_INTERVALS_MAX)
        self.assertFalse(self.request.done())
        self.request.cancel()

    async def test_pause_of_this_process_resets_the_count(self):
        await self.check_silence(SILENT_INTERVALS_MAX - 1)
        await self.check_silence(1, was_paused=True)
        await self.check_silence(SILENT_INTERVALS_MAX - 1)
        self.assertFalse(self.request.done())
        self.request.cancel()

    async def test_slow_event_loop_is_not_counted_as_silence(self):
        loop = asyncio.get_running_loop()
        # Two intervals, each almost twice as long: just below the limit that counts as a pause.
        late = loop.time() + 1.9 * INTERVAL_SECONDS * 2
        with mock.patch.object(loop, "time", lambda: late):
            await self.check_silence(2)
        self.assertFalse(self.request.done())
        self.request.cancel()
