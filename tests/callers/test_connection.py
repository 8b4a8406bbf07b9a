"""Connections of callers over real sockets: pipelining, disconnects, stops and bounds on memory."""

import asyncio
import gc
import unittest
import unittest.mock
import weakref

from bamboojunction.callers import connection as connection_module
from bamboojunction.callers.connection import Rejection
from bamboojunction.callers.forwarding_server import ForwardingServer
from bamboojunction.callers.sockets import listen
from bamboojunction.core.http_messages import HttpRequest, HttpResponse
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.core.pipelining import REQUESTS_MAX

MEMORY_BYTES = 400_000
RESPONSE_BYTES = 60_000


class ScriptedHandler:
    """A handler that holds each request until its target is released."""

    body_max_bytes = 300_000

    def __init__(self):
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.rejections: list[Rejection] = []
        self.release_by_target: dict[str, asyncio.Event] = {}
        self.response_body: bytes | None = None

    def may_run_ahead(self, request: HttpRequest) -> bool:
        return request.method == "GET"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        target = request.target.decode()
        self.started.append(target)
        try:
            if target.startswith("/held"):
                await self.event(target).wait()
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        body = f"{target} {len(request.body)}".encode()
        return HttpResponse(200, (), self.response_body or body)

    def reject(self, rejection: Rejection, headers) -> HttpResponse:
        self.rejections.append(rejection)
        return HttpResponse(503, (), rejection.name.encode())

    def event(self, target: str) -> asyncio.Event:
        return self.release_by_target.setdefault(target, asyncio.Event())


def get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def post(target: str, body: bytes = b"") -> bytes:
    head = f"POST {target} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class ConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handler = ScriptedHandler()
        self.writers: list[asyncio.StreamWriter] = []
        self.memory = MemoryBudget(MEMORY_BYTES)
        listening = listen("127.0.0.1", 0)
        self.port = listening.getsockname()[1]
        self.server = ForwardingServer(self.handler, [listening], self.memory, 60.0)
        await self.server.start()
        self.addAsyncCleanup(self.close_server)

    async def close_server(self) -> None:
        for event in self.handler.release_by_target.values():
            event.set()
        async with asyncio.timeout(5.0):
            await self.server.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        # The connection is closed once its writer is collected.
        self.writers.append(writer)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def send(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await self.connect()
        writer.write(data)
        return reader, writer

    async def read_response(self, reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        async with asyncio.timeout(5.0):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            return head, await reader.readexactly(length)

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_slow_request_holds_up_only_the_answers_behind_it(self):
        reader, _ = await self.send(get("/held") + get("/b") + get("/c"))
        await self.wait_until(lambda: self.handler.started == ["/held", "/b", "/c"])
        self.handler.event("/held").set()
        bodies = [(await self.read_response(reader))[1] for _ in range(3)]
        self.assertEqual(bodies, [b"/held 0", b"/b 0", b"/c 0"])

    async def test_request_that_may_run_once_waits_for_those_ahead(self):
        reader, _ = await self.send(get("/held") + post("/charge", b"x"))
        await self.wait_until(lambda: self.handler.started == ["/held"])
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.started, ["/held"])
        self.handler.event("/held").set()
        await self.read_response(reader)
        self.assertEqual((await self.read_response(reader))[1], b"/charge 1")

    async def test_disconnect_cancels_all_requests_of_the_caller(self):
        _, writer = await self.send(get("/held-1") + get("/held-2"))
        await self.wait_until(lambda: len(self.handler.started) == 2)
        writer.transport.abort()
        await self.wait_until(lambda: sorted(self.handler.cancelled) == ["/held-1", "/held-2"])

    async def test_stop_answers_what_was_passed_on_and_closes_the_rest_unread(self):
        reader, _ = await self.send(get("/held-1") + get("/held-2") + post("/charge") + get("/c"))
        await self.wait_until(lambda: len(self.handler.started) == 2)
        self.server.begin_stop()
        self.handler.event("/held-2").set()
        await asyncio.sleep(0.05)
        self.handler.event("/held-1").set()
        first, _ = await self.read_response(reader)
        second, _ = await self.read_response(reader)
        self.assertNotIn(b"connection: close", first)
        self.assertIn(b"connection: close", second)
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.handler.started, ["/held-1", "/held-2"])

    async def test_stop_still_serves_requests_on_idle_and_new_connections(self):
        idle_reader, idle_writer = await self.send(get("/a"))
        await self.read_response(idle_reader)
        self.server.begin_stop()
        idle_writer.write(get("/b"))
        new_reader, _ = await self.send(get("/c"))
        for reader, body in ((idle_reader, b"/b 0"), (new_reader, b"/c 0")):
            head, received = await self.read_response(reader)
            self.assertEqual(received, body)
            self.assertIn(b"connection: close", head)

    async def test_request_that_asks_for_the_close_is_the_last(self):
        close = b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        reader, _ = await self.send(close + get("/b"))
        head, _ = await self.read_response(reader)
        self.assertIn(b"connection: close", head)
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.handler.started, ["/a"])

    async def test_caller_that_never_reads_is_not_worked_for(self):
        self.handler.response_body = bytes(RESPONSE_BYTES)
        _, writer = await self.connect()
        for number in range(20 * REQUESTS_MAX):
            writer.write(get(f"/{number}"))
        await self.wait_until(lambda: len(self.handler.started) > 8)
        await asyncio.sleep(0.3)
        # Socket buffers of this machine take some megabytes; the rest must not be produced.
        self.assertLess(len(self.handler.started) * RESPONSE_BYTES, 12_000_000)
        self.assertLess(len(self.handler.started), 20 * REQUESTS_MAX)

    async def test_uploads_beyond_the_memory_for_bodies_are_refused_in_time(self):
        size = 150_000
        readers = [(await self.send(post(f"/held-{number}", bytes(size))))[0] for number in (1, 2)]
        await self.wait_until(lambda: len(self.handler.started) == 2)
        self.assertEqual(self.memory.held_bytes, 2 * size)
        refused, _ = await self.send(post("/third", bytes(size)))
        self.assertEqual((await self.read_response(refused))[1], b"OUT_OF_MEMORY")
        self.assertNotIn("/third", self.handler.started)
        # Small requests, such as the reports of upstreams, always get through.
        small, _ = await self.send(post("/small", bytes(1_000)))
        self.assertEqual((await self.read_response(small))[1], b"/small 1000")
        for number, reader in enumerate(readers, 1):
            self.handler.event(f"/held-{number}").set()
            await self.read_response(reader)
        await self.wait_until(lambda: self.memory.held_bytes == 0)

    async def test_chunked_upload_is_read_whole(self):
        head = b"POST /u HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        chunk = b"1000\r\n" + bytes(0x1000) + b"\r\n"
        reader, _ = await self.send(head + 20 * chunk + b"0\r\n\r\n")
        self.assertEqual((await self.read_response(reader))[1], f"/u {20 * 0x1000}".encode())

    async def test_memory_of_an_upload_is_freed_when_its_caller_disconnects(self):
        incomplete = post("/u", bytes(100_000))[:-1]
        _, writer = await self.send(incomplete)
        await self.wait_until(lambda: self.memory.held_bytes > 0)
        writer.transport.abort()
        await self.wait_until(lambda: self.memory.held_bytes == 0)

    async def test_unfinished_upload_is_freed_without_the_garbage_collector(self):
        """The body of an upload whose caller left stayed in memory until a collection."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        _, writer = await self.send(post("/u", bytes(100_000))[:-1])
        await self.wait_until(lambda: self.memory.held_bytes > 0)
        references = [weakref.ref(connection) for connection in self.server._connections]
        writer.transport.abort()
        await self.wait_until(lambda: all(reference() is None for reference in references))
        self.assertEqual(len(references), 1)

    async def test_memory_of_pipelined_uploads_is_freed_when_they_are_not_started(self):
        """An upload behind a request whose caller left kept its part of the memory for bodies."""
        _, writer = await self.send(post("/held") + post("/u", bytes(100_000)))
        await self.wait_until(lambda: self.memory.held_bytes > 0)
        writer.transport.abort()
        await self.wait_until(lambda: self.memory.held_bytes == 0)
        self.assertEqual(self.handler.started, ["/held"])

    async def test_requests_beyond_a_bound_are_rejected(self):
        endless_header = b"GET / HTTP/1.1\r\nx: " + bytes([120]) * 70_000
        body = bytes(ScriptedHandler.body_max_bytes + 1)
        trailer = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: "
        cases = (
            (endless_header, Rejection.HEAD_TOO_LARGE),
            (trailer + bytes([120]) * 600_000, Rejection.HEAD_TOO_LARGE),
            (post("/", body), Rejection.BODY_TOO_LARGE),
            (b"\x00\x01 no request\r\n\r\n", Rejection.MALFORMED),
        )
        for data, rejection in cases:
            with self.subTest(rejection=rejection):
                reader, _ = await self.send(data)
                self.assertEqual((await self.read_response(reader))[1], rejection.name.encode())
        self.assertEqual(self.handler.started, [])

    async def test_rejection_leaves_earlier_requests_their_answers(self):
        reader, _ = await self.send(get("/held") + b"\x00 no request\r\n\r\n")
        await self.wait_until(lambda: self.handler.started == ["/held"])
        self.handler.event("/held").set()
        self.assertEqual((await self.read_response(reader))[1], b"/held 0")
        self.assertEqual((await self.read_response(reader))[1], b"MALFORMED")

    async def test_caller_that_waits_for_the_continue_response_gets_it(self):
        head = b"POST /u HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n"
        reader, writer = await self.send(head)
        async with asyncio.timeout(5.0):
            interim = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(interim.startswith(b"HTTP/1.1 100 "))
        writer.write(b"abc")
        self.assertEqual((await self.read_response(reader))[1], b"/u 3")

    async def test_failure_of_the_handler_is_answered(self):
        async def fail(request):
            raise ValueError("test")

        self.handler.handle = fail
        reader, _ = await self.send(get("/a"))
        self.assertEqual((await self.read_response(reader))[1], b"INTERNAL_ERROR")

    async def test_stalled_upload_is_closed(self):
        self.enterContext(unittest.mock.patch.object(connection_module, "STALLED_SECONDS_MAX", 0.2))
        reader, _ = await self.send(post("/u", bytes(100_000))[:-1])
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.memory.held_bytes, 0)
