"""Tests of what a caller of the soak test records of an exchange."""

import asyncio
import unittest

from bamboo_bench.soak.exchange import Exchange, create_session, send
from bamboo_bench.soak.invariants import EndKind

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answers = []
        self.request_count = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        self.session = create_session()
        self.addAsyncCleanup(self.session.close)

    async def serve(self, reader, writer):
        """Give the next answer to each request, and close after one that is not whole."""
        while await reader.read(4096):
            self.request_count += 1
            answer = self.answers.pop(0)
            writer.write(answer)
            if answer != ANSWER:
                break
        writer.close()

    async def exchange(self) -> Exchange:
        clock = asyncio.get_running_loop().time
        return await send(self.session, "GET", self.url, {}, 1.0, clock)

    # The library sent reads again by itself, so that no caller saw their connection close.
    async def test_kept_connection_that_closes_is_seen_and_nothing_is_sent_again(self):
        self.answers = [ANSWER, b""]
        first = (await self.exchange()).ending
        self.assertEqual((first.kind, first.status, first.is_kept), (EndKind.WHOLE, 200, False))
        second = (await self.exchange()).ending
        self.assertEqual((second.kind, second.is_kept), (EndKind.CLOSED, True))
        self.assertEqual(self.request_count, 2)
        self.assertTrue(first.at <= second.sent_at <= second.at)

    async def test_answer_that_ends_early_is_no_whole_one(self):
        self.answers = [ANSWER[:-1]]
        ending = (await self.exchange()).ending
        self.assertEqual((ending.kind, ending.status), (EndKind.BROKEN, 200))
