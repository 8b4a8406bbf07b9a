"""A node that was tried before it listened is called at once when it is known to be up."""

import asyncio
import unittest

from bamboo_standins.process_fleet import free_port
from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.outcomes import Ran
from bamboojunction.links.handshake import Identity
from bamboojunction.links.link import LinkFailure, MessageHandlers
from bamboojunction.links.messages import CallRequest
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.links.server import LinkServer

HOST = "127.0.0.1"
SECRET = b"a secret of enough length"


class ReconnectTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.port = free_port(HOST)
        self.settings = LinkSettings()
        self.pool = LinkPool(Identity("peer", "incarnation", SECRET), self.settings, HOST)
        self.addAsyncCleanup(self.pool.close)

    async def start_server(self) -> None:
        server = LinkServer(
            Identity("server", "incarnation", SECRET),
            self.settings,
            self.serve,
            None,
            MessageHandlers({}),
        )
        await server.start(HOST, self.port)
        self.addAsyncCleanup(server.close)

    async def serve(self, call: CallRequest) -> GateReply:
        return GateReply(Ran(200, (), b"whole"))

    async def send_request(self):
        fields = ("", "", "", 5.0, 0, 0, "", 0, "GET", "/", (), b"", "")
        request = CallRequest(self.pool.next_request_id(), 0, *fields)
        async with asyncio.timeout(30):
            return await self.pool.request(f"{HOST}:{self.port}", request)

    async def test_failed_node_is_not_tried_again_at_once(self):
        self.assertIs(await self.send_request(), LinkFailure.NOT_SENT)
        await self.start_server()
        self.assertIs(await self.send_request(), LinkFailure.NOT_SENT)

    async def test_node_that_is_known_to_be_up_is_tried_at_once(self):
        self.assertIs(await self.send_request(), LinkFailure.NOT_SENT)
        await self.start_server()
        self.pool.forget_failures([f"{HOST}:{self.port}"])
        self.assertEqual((await self.send_request()).body, b"whole")

    async def test_request_to_an_address_that_is_none_is_not_sent(self):
        """A port out of range, as another writer announced it, failed the caller's request."""
        for address in ("127.0.0.1:99999", "127.0.0.1:http", "127.0.0.1", "", "127.0.0.1:-1"):
            with self.subTest(address=address):
                fields = ("", "", "", 5.0, 0, 0, "", 0, "GET", "/", (), b"", "")
                request = CallRequest(self.pool.next_request_id(), 0, *fields)
                async with asyncio.timeout(30):
                    result = await self.pool.request(address, request)
                self.assertIs(result, LinkFailure.NOT_SENT)
