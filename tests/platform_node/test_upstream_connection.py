"""Exchanges with an upstream: truncated, malformed and surplus responses must be detected.

A response that is incomplete or belongs to another request must never reach a caller.
"""

import asyncio
import gc
import socket
import struct
import unittest
import weakref
from unittest import mock

from bamboojunction.core.calls import Call
from bamboojunction.core.memory_budget import MemoryBudget
from bamboojunction.core.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.platform.requests import response_owner
from bamboojunction.platform_node.gate import UpstreamSender
from bamboojunction.upstreams import pool as pool_module
from bamboojunction.upstreams.connection import ExchangeFailure, RawResponse, UpstreamConnection
from bamboojunction.upstreams.pool import UpstreamPool
from tests.endless import FILLER, RESPONSES, SOCKET_BUFFER_BYTES_MAX, EndlessServer

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
BODY_MAX_BYTES = 100_000
CHUNKED_START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MORE_RESPONSES = {
    "reason phrase": (b"HTTP/1.1 200 ", FILLER),
    "chunk extension": (CHUNKED_START + b"1;", FILLER),
    "chunk extensions": (CHUNKED_START, b"1;" + FILLER + b"\r\nx\r\n"),
    "interim reason phrase": (b"HTTP/1.1 100 ", FILLER),
}
MEMORY_BYTES = 1_000_000
STAMP = "Bamboojunction-Server-Stamp: s\r\n"
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


def response(
    request_id: str, body: bytes = b"ok", status: str = "200 OK", extra: str = STAMP
) -> bytes:
    head = f"HTTP/1.1 {status}\r\nBamboojunction-Request-Id: {request_id}\r\n{extra}"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def refusal(request_id: str) -> bytes:
    extra = "Bamboojunction-Not-Executed: 1\r\n"
    return response(request_id, b"", "503 Service Unavailable", extra)


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def start_pool(self, upstream: ScriptedUpstream) -> UpstreamPool:
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        pool = UpstreamPool(f"{host}:{port}", BODY_MAX_BYTES, MemoryBudget(MEMORY_BYTES))
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

    async def test_request_whose_reused_connection_was_closed_is_not_sent_again(self):
        """Repeats below the gate were outside the retry budget and the route's attempts."""
        upstream = ScriptedUpstream(COMPLETE_RESPONSE, b"", at_end="close")
        pool = await self.start_pool(upstream)
        await pool.exchange(REQUEST, is_idempotent=True)
        result = await pool.exchange(REQUEST, is_idempotent=True)
        self.assertIs(result, ExchangeFailure.CLOSED)
        self.assertEqual(upstream.requests, 2)

    async def test_request_that_reached_an_upstream_which_then_ended_was_sent(self):
        """A request that crashed its upstream was reported as not sent, and moved on for free."""
        upstream = ScriptedUpstream(COMPLETE_RESPONSE, b"", at_end="close")
        pool = await self.start_pool(upstream)
        await pool.exchange(REQUEST, is_idempotent=True)
        with mock.patch.object(UpstreamPool, "_connect", return_value=None):
            result = await pool.exchange(REQUEST, is_idempotent=True)
        self.assertIs(result, ExchangeFailure.CLOSED)

    async def test_connection_that_the_upstream_just_closed_carries_no_further_request(self):
        """A request was reported as lost that was never sent, as its connection was closing."""
        pool = await self.start_pool(ScriptedUpstream(COMPLETE_RESPONSE, at_end="close"))
        at_end: list[asyncio.Task] = []

        class Connection(UpstreamConnection):
            def eof_received(self) -> bool:
                stays_open = super().eof_received()
                if not at_end:
                    at_end.append(asyncio.create_task(pool.exchange(REQUEST, is_idempotent=False)))
                return stays_open

        with mock.patch.object(pool_module, "UpstreamConnection", Connection):
            await pool.exchange(REQUEST, is_idempotent=False)
            async with asyncio.timeout(5.0):
                while not at_end:
                    await asyncio.sleep(0.01)
                result = await at_end[0]
        self.assertEqual(getattr(result, "status", result), 200)

    async def test_lost_response_of_a_non_idempotent_request_is_never_sent_again(self):
        upstream = ScriptedUpstream(b"", at_end="close")
        pool = await self.start_pool(upstream)
        self.assertIs(await pool.exchange(REQUEST, is_idempotent=False), ExchangeFailure.CLOSED)
        self.assertEqual(upstream.requests, 1)

    async def test_exchange_ends_at_its_deadline_and_its_connection_is_dropped(self):
        upstream = ScriptedUpstream(b"HTTP/1.1 200 OK\r\n", COMPLETE_RESPONSE)
        pool = await self.start_pool(upstream)
        for _ in range(2):
            deadline = asyncio.get_running_loop().time() + 0.05
            result = await pool.exchange(REQUEST, is_idempotent=False, deadline=deadline)
            self.assertIs(result, ExchangeFailure.DEADLINE)
        self.assertEqual(upstream.connections, 2)

    async def test_refused_connection_is_not_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        pool = UpstreamPool(f"127.0.0.1:{port}", BODY_MAX_BYTES, MemoryBudget(MEMORY_BYTES))
        self.assertIs(await pool.exchange(REQUEST, is_idempotent=False), ExchangeFailure.NOT_SENT)

    async def test_response_to_another_request_is_skipped_and_its_connection_dropped(self):
        upstream = ScriptedUpstream(response("1"), response("1", b"late copy") + response("2"))
        pool = await self.start_pool(upstream)
        for request_id in ("1", "2"):
            result = await pool.exchange(
                REQUEST, True, lambda headers, wanted=request_id: response_owner(headers, wanted)
            )
            self.assertEqual(result.body, b"ok")
        await pool.exchange(REQUEST, True)
        self.assertEqual(upstream.connections, 2)

    async def test_endless_responses_to_other_requests_are_a_failure(self):
        pool = await self.start_pool(ScriptedUpstream(20 * response("other")))
        result = await pool.exchange(REQUEST, False, lambda headers: response_owner(headers, "1"))
        self.assertIs(result, ExchangeFailure.MALFORMED)

    async def test_bytes_without_end_are_cut_at_a_bound(self):
        """Chunks of one byte with long extensions went on until the body reached its bound."""
        for name, (start, repeated) in (RESPONSES | MORE_RESPONSES).items():
            with self.subTest(name):
                upstream = EndlessServer(start, repeated)
                pool = await self.start_pool(upstream)
                async with asyncio.timeout(5.0):
                    result = await pool.exchange(REQUEST, is_idempotent=False)
                    self.assertIs(result, ExchangeFailure.OVERSIZED)
                    await upstream.is_cut.wait()
                self.assertLess(upstream.sent_bytes, SOCKET_BUFFER_BYTES_MAX)

    async def test_endless_bodies_are_freed_without_the_garbage_collector(self):
        """Bodies of failed responses stayed in memory, outside the budget, until a collection."""
        upstream = EndlessServer(*RESPONSES["body without length"])
        pool = await self.start_pool(upstream)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        references: list[weakref.ref] = []

        def create_connection(*arguments) -> UpstreamConnection:
            connection = UpstreamConnection(*arguments)
            references.append(weakref.ref(connection))
            return connection

        with mock.patch.object(pool_module, "UpstreamConnection", create_connection):
            result = await pool.exchange(REQUEST, is_idempotent=False)
        self.assertIs(result, ExchangeFailure.OVERSIZED)
        async with asyncio.timeout(5.0):
            while any(reference() is not None for reference in references):
                await asyncio.sleep(0.01)
        self.assertEqual(len(references), 1)

    async def test_bodies_of_all_connections_share_one_bound(self):
        memory = MemoryBudget(MEMORY_BYTES)
        body = bytes(BODY_MAX_BYTES)
        incomplete = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) + 1}\r\n\r\n".encode() + body
        pool = await self.start_pool(ScriptedUpstream(incomplete))
        pool._memory = memory
        async with asyncio.timeout(5.0), asyncio.TaskGroup() as tasks:
            pending = [tasks.create_task(pool.exchange(REQUEST, False)) for _ in range(12)]
            while sum(task.done() for task in pending) < 2:
                await asyncio.sleep(0.01)
            self.assertLessEqual(memory.held_bytes, MEMORY_BYTES)
            for task in pending:
                task.cancel()
        self.assertEqual(memory.held_bytes, 0)


class SenderTests(unittest.IsolatedAsyncioTestCase):
    """The outcome of a call, from what the upstream sends on a connection that is in use again."""

    async def send_twice(self, *scripts: bytes):
        upstream = ScriptedUpstream(*scripts)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        pool = UpstreamPool(f"{host}:{port}", BODY_MAX_BYTES, MemoryBudget(MEMORY_BYTES))
        self.addCleanup(pool.close)
        sender = UpstreamSender(pool, CurrentRoutes())
        now = asyncio.get_running_loop().time()
        outcomes = []
        for request_id in ("1", "2"):
            call = Call(request_id, "charge", "billing", now + 1.0, method="POST")
            outcomes.append((await sender.send(call, [])).outcome)
        return outcomes

    async def test_refusal_written_again_does_not_refuse_the_next_request(self):
        first, second = await self.send_twice(refusal("1"), refusal("1") + response("2"))
        self.assertEqual(first, NotRun(NotRunReason.UPSTREAM_REFUSED))
        self.assertEqual((second.status, second.body), (200, b"ok"))

    async def test_refusal_written_again_before_the_upstream_hangs_leaves_the_outcome_unknown(self):
        _, second = await self.send_twice(refusal("1"), refusal("1"))
        self.assertEqual(second, Unknown(UnknownReason.DEADLINE))

    async def test_refusal_without_an_id_proves_nothing(self):
        script = (
            b"HTTP/1.1 503 Service Unavailable\r\nBamboojunction-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        first, _ = await self.send_twice(script, response("2"))
        self.assertEqual(first, Unknown(UnknownReason.TRUNCATED))
