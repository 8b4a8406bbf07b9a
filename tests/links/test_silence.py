"""A link ends after intervals of silence, not after a pause of its own process."""

import asyncio
import unittest
from unittest import mock

from websockets.protocol import State

from bamboojunction.nodes.codec import encode
from bamboojunction.nodes.link import SILENT_INTERVALS_MAX, Handlers, Link, LinkFailure
from bamboojunction.nodes.messages import Heartbeat

INTERVAL_SECONDS = 0.4


class QuietConnection:
    """Take frames, and hand over those that a test sends."""

    state = State.OPEN

    def __init__(self):
        self.sent: list[bytes] = []
        self.transport = self
        self.is_aborted = False

    def deliver_to(self, receive, on_lost):
        self.receive = receive

    async def send_frame(self, frame):
        self.sent.append(frame)

    def abort(self):
        self.is_aborted = True


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connection = QuietConnection()
        self.link = Link(self.connection, "peer", Handlers({}), INTERVAL_SECONDS)
        self.request = asyncio.create_task(self.link.request(1, b"request"))
        await asyncio.sleep(0)
        self.link.check_silence(False, 0)

    async def check(self, times: int, was_paused: bool = False) -> None:
        for token in range(times):
            self.link.check_silence(was_paused, token)
            await asyncio.sleep(0)

    async def test_silent_intervals_end_the_link_after_heartbeats(self):
        await self.check(SILENT_INTERVALS_MAX - 1)
        self.assertFalse(self.request.done())
        self.assertEqual(len(self.connection.sent), SILENT_INTERVALS_MAX)
        await self.check(1)
        self.assertEqual(await self.request, LinkFailure.LOST)
        self.assertTrue(self.connection.is_aborted)

    async def test_any_word_of_the_peer_begins_the_count_again(self):
        await self.check(SILENT_INTERVALS_MAX - 1)
        self.connection.receive(encode(Heartbeat(1, True)))
        await self.check(SILENT_INTERVALS_MAX)
        self.assertFalse(self.request.done())
        self.request.cancel()

    async def test_pause_of_this_process_begins_the_count_again(self):
        await self.check(SILENT_INTERVALS_MAX - 1)
        await self.check(1, was_paused=True)
        await self.check(SILENT_INTERVALS_MAX - 1)
        self.assertFalse(self.request.done())
        self.request.cancel()

    async def test_slow_turns_of_the_event_loop_are_not_silence(self):
        loop = asyncio.get_running_loop()
        late = loop.time() + 1.9 * INTERVAL_SECONDS * 2
        with mock.patch.object(loop, "time", lambda: late):
            await self.check(2)
        self.assertFalse(self.request.done())
        self.request.cancel()
