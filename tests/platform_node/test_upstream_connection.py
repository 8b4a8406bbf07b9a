"""Exchanges with an upstream: truncated, malformed and surplus responses must be detected.

A response that is incomplete or belongs to another request must never reach a caller.
"""

import asyncio
import socket
import struct
import unittest

from bamboojunction.upstreams.connection import ExchangeFailure, RawResponse
from bamboojunction.upstreams.pool import UpstreamPool

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedUpstream:
    """An upstream that sends the next scripted response for each request on a connection."""

    def __init__(self, *scripts: bytes, at_end: str = "keep"):
        self.scripts = scripts
        self.at_end = at_end
        self.requests = 0
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        for script in self.scripts:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.requests += 1
            writer.write(script)
            await writer.drain()
        if self.at_end == "close":
            writer.close()
        elif self.at_end == "reset":
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def start_pool(self, upstream: ScriptedUpstream) -> UpstreamPool:
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        pool = UpstreamPool(f"{host}:{port}")
        self.addCleanup(pool.close)
        return pool

    async def exchange_once(
        self, *scripts: bytes, at_end: str = "keep"
    ) -> RawResponse | ExchangeFailure:
        pool = await self.start_pool(ScriptedUpstream(*scripts, at_end=at_end))
        return await pool.exchange(REQUEST, is_idempotent=False)

    async def test_complete_response_is_read_and_its_connection_reused(self):
        upstream = ScriptedUpstream(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        pool = await self.start_pool(upstream)
        for _ in range(2):
            result = await pool.exchange(REQUEST, is_idempotent=True)
            self.assertEqual((result.status, result.body), (200, b"ok"))
        self.assertEqual(upstream.connections, 1)

    async def test_truncated_answers_are_failures(self):
        short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        for script in (short, chunked, b"HTTP/1.1 200 OK\r\nConte"):
            with self.subTest(script=script):
                self.assertIs(
                    await self.exchange_once(script, at_end="close"), ExchangeFailure.TRUNCATED
                )

    async def test_bytes_that_are_no_answer_are_a_failure(self):
        self.assertIs(
            await self.exchange_once(b"\x00\x01garbage\r\n\r\n"), ExchangeFailure.MALFORMED
        )

    async def test_answer_without_a_length_ends_with_its_connection(self):
        script = b"HTTP/1.1 200 OK\r\n\r\nall of it"
        result = await self.exchange_once(script, at_end="close")
        self.assertEqual(result.body, b"all of it")

    async def test_response_without_a_length_that_is_reset_is_incomplete(self):
        script = b"HTTP/1.1 200 OK\r\n\r\npart of"
        self.assertIs(await self.exchange_once(script, at_end="reset"), ExchangeFailure.TRUNCATED)

    async def test_extra_bytes_close_the_connection_and_are_never_returned(self):
        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
        upstream = ScriptedUpstream(COMPLETE_RESPONSE + extra, COMPLETE_RESPONSE)
        pool = await self.start_pool(upstream)
        for _ in range(2):
            result = await pool.exchange(REQUEST, is_idempotent=True)
            self.assertEqual(result.body, b"ok")
        self.assertEqual(upstream.connections, 2)

    async def test_interim_response_is_skipped(self):
        result = await self.exchange_once(b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE)
        self.assertEqual((result.status, result.body), (200, b"ok"))

    async def test_idempotent_request_is_sent_again_when_a_reused_connection_was_closed(self):
        upstream = ScriptedUpstream(COMPLETE_RESPONSE, at_end="close")
        pool = await self.start_pool(upstream)
        await pool.exchange(REQUEST, is_idempotent=True)
        result = await pool.exchange(REQUEST, is_idempotent=True)
        self.assertEqual(result.status, 200)
        self.assertEqual(upstream.requests, 2)

    async def test_lost_response_of_a_non_idempotent_request_is_never_sent_again(self):
        upstream = ScriptedUpstream(b"", at_end="close")
        pool = await self.start_pool(upstream)
        self.assertIs(await pool.exchange(REQUEST, is_idempotent=False), ExchangeFailure.CLOSED)
        self.assertEqual(upstream.requests, 1)

    async def test_refused_connection_is_not_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        pool = UpstreamPool(f"127.0.0.1:{port}")
        self.assertIs(await pool.exchange(REQUEST, is_idempotent=False), ExchangeFailure.NOT_SENT)
