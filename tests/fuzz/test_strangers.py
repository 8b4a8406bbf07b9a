"""Tests that a link server withstands unauthenticated clients and faulty peers."""

import asyncio
import unittest

import cbor2
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from bamboo_standins.process_fleet import free_port
from bamboojunction.conf.settings import LinkSettings
from bamboojunction.core.outcomes import Ran
from bamboojunction.links.codec import encode
from bamboojunction.links.handshake import Identity, compute_proof, new_nonce
from bamboojunction.links.link import LinkFailure, MessageHandlers
from bamboojunction.links.messages import CallRequest, Hello
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply
from bamboojunction.links.server import LinkServer

HOST = "127.0.0.1"
SECRET = b"a secret of enough length"
FRAME_MAX_BYTES = 5_000


def make_request(request_id: int, body: bytes = b"") -> CallRequest:
    return CallRequest(
        request_id, 0, "action", "kind", "service", 1.0, 0, 0, "", 0, "GET", "/", (), body, ""
    )


class LinkServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received_calls = []
        self.settings = LinkSettings(frame_max_bytes=FRAME_MAX_BYTES)
        identity = Identity("server", "incarnation", SECRET)
        self.server = LinkServer(
            identity, self.settings, self.handle_call, lambda message: None, MessageHandlers({})
        )
        self.port = free_port(HOST)
        await self.server.start(HOST, self.port)
        self.addAsyncCleanup(self.server.close)

    async def handle_call(self, request: CallRequest) -> GateReply:
        self.received_calls.append(request)
        return GateReply(Ran(200, (), request.body))

    def make_pool(self, secret: bytes) -> LinkPool:
        pool = LinkPool(Identity("peer", "incarnation", secret), self.settings, HOST)
        self.addAsyncCleanup(pool.close)
        return pool

    async def connect(self):
        connection = await connect(f"ws://{HOST}:{self.port}/", compression=None, proxy=None)
        self.addAsyncCleanup(connection.close)
        return connection

    async def connect_as_peer(self):
        """Open a connection and complete the handshake as an authenticated peer."""
        connection = await self.connect()
        nonce = new_nonce()
        await connection.send(encode(Hello("peer", "incarnation", b"", nonce)))
        hello = Hello(*(await self.read_fields(connection)))
        proof = compute_proof(SECRET, b"client", nonce, hello.nonce)
        await connection.send(encode(Hello("peer", "incarnation", proof, nonce)))
        return connection

    async def read_fields(self, connection):
        return cbor2.loads(await connection.recv())[1:]

    async def assert_closed(self, connection):
        with self.assertRaises(ConnectionClosed):
            async with asyncio.timeout(10):
                while True:
                    await connection.recv()

    async def assert_still_serving(self):
        answer = await self.make_pool(SECRET).request(
            f"{HOST}:{self.port}", make_request(1, b"whole")
        )
        self.assertEqual(answer.body, b"whole")

    async def test_peer_with_the_secret_is_served(self):
        await self.assert_still_serving()

    async def test_peer_with_a_wrong_secret_is_refused(self):
        failure = await self.make_pool(b"another").request(f"{HOST}:{self.port}", make_request(1))
        self.assertEqual(failure, LinkFailure.NOT_SENT)
        self.assertEqual(self.received_calls, [])

    async def test_client_that_skips_the_handshake_is_disconnected(self):
        connection = await self.connect()
        await connection.send(encode(make_request(1)))
        await self.assert_closed(connection)
        self.assertEqual(self.received_calls, [])

    async def test_client_that_replays_the_proof_of_the_server_is_disconnected(self):
        connection = await self.connect()
        nonce = new_nonce()
        await connection.send(encode(Hello("peer", "incarnation", b"", nonce)))
        hello = Hello(*(await self.read_fields(connection)))
        await connection.send(encode(Hello("peer", "incarnation", hello.proof, nonce)))
        await self.assert_closed(connection)

    async def test_silent_client_is_disconnected_after_the_handshake_timeout(self):
        await self.assert_closed(await self.connect())

    async def test_malformed_frame_closes_only_the_link_of_its_sender(self):
        connection = await self.connect_as_peer()
        await connection.send(b"\xff\x00garbage")
        await self.assert_closed(connection)
        await self.assert_still_serving()

    async def test_text_frame_closes_only_the_link_of_its_sender(self):
        connection = await self.connect_as_peer()
        await connection.send("text")
        await self.assert_closed(connection)
        await self.assert_still_serving()

    async def test_oversized_frame_closes_only_the_link_of_its_sender(self):
        connection = await self.connect_as_peer()
        await connection.send(encode(make_request(1, b"x" * (FRAME_MAX_BYTES + 1))))
        await self.assert_closed(connection)
        self.assertEqual(self.received_calls, [])
        await self.assert_still_serving()

    async def test_bytes_that_are_not_http_do_not_affect_other_peers(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"\x16\x03\x01\x02\x00" * 100)
        await writer.drain()
        await asyncio.wait_for(reader.read(), 15)
        writer.close()
        await self.assert_still_serving()
