"""The server for callers limits the size of headers and closes slow connections."""

import asyncio
import unittest

from bamboo_standins.process_fleet import free_port
from bamboojunction.callers.server import CallerServer
from bamboojunction.conf.settings import CallerSettings

HOST = "127.0.0.1"
HEADER_MAX_BYTES = 2_000


async def app(scope, receive, send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body"})


class ProtocolTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = CallerSettings(header_max_bytes=HEADER_MAX_BYTES, request_seconds=0.5)
        self.port = free_port(HOST)
        server = CallerServer(app, HOST, self.port, settings)
        server.start()
        self.addAsyncCleanup(server.close)

    async def exchange(self, request: bytes) -> bytes:
        """Send bytes, and return everything received until the server closes the connection."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(request)
        try:
            return await asyncio.wait_for(reader.read(), 30)
        except ConnectionResetError:
            return b""

    async def test_request_within_the_limits_is_served(self):
        response = await self.exchange(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 204"))

    async def test_headers_over_the_limit_are_refused(self):
        padding = b"X-Pad: " + b"x" * HEADER_MAX_BYTES
        response = await self.exchange(b"GET / HTTP/1.1\r\n" + padding)
        self.assertTrue(response.startswith(b"HTTP/1.1 400"))

    async def test_request_line_over_the_limit_is_refused(self):
        response = await self.exchange(b"GET /" + b"x" * 2 * HEADER_MAX_BYTES)
        self.assertTrue(response.startswith(b"HTTP/1.1 400"))

    async def test_bytes_that_are_no_http_are_refused(self):
        response = await self.exchange(b"\x16\x03\x01" * 50)
        self.assertTrue(response.startswith(b"HTTP/1.1 400"))

    async def test_caller_that_sends_nothing_is_closed(self):
        self.assertEqual(await self.exchange(b""), b"")

    async def test_caller_that_never_ends_its_headers_is_closed(self):
        self.assertEqual(await self.exchange(b"GET / HTTP/1.1\r\nX-Slow: "), b"")

    async def test_caller_that_never_ends_its_body_is_closed(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n"
        response = await self.exchange(head + b"half")
        self.assertIn(response[:12], (b"", b"HTTP/1.1 204"))
