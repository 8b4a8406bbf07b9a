"""Requests on a stalled link, whose peer keeps the connection open but stops reading.

Such requests must end as lost, cancellation must not block, and the link must be replaced.
"""

import asyncio
import math
import unittest

from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
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
LARGE_BODY = b"x" * 1_000_000
WAIT_SECONDS = 30


class StallTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = LinkSettings(heartbeat_seconds=0.2)
        port = free_port(HOST)
        server = LinkServer(
            Identity("server", "incarnation", SECRET),
            settings,
            self.serve,
            None,
            MessageHandlers({}),
        )
        await server.start(HOST, port)
        self.addAsyncCleanup(server.close)
        self.server_address = f"{HOST}:{port}"
        self.proxy = FaultProxy(f"{HOST}:0", self.server_address)
        self.address = f"{HOST}:{await self.proxy.start()}"
        self.addAsyncCleanup(self.proxy.stop)
        self.pool = LinkPool(Identity("peer", "incarnation", SECRET), settings, HOST)
        self.addAsyncCleanup(self.pool.close)

    async def serve(self, call: CallRequest) -> GateReply:
        return GateReply(Ran(200, (), b"whole"))

    async def send_request(self, body: bytes = b"", seconds: float = math.inf):
        fields = ("", "", "", 5.0, 0, 0, "", 0, "GET", "/", (), body, "")
        request = CallRequest(self.pool.next_request_id(), 0, *fields)
        deadline = asyncio.get_running_loop().time() + seconds
        async with asyncio.timeout(WAIT_SECONDS):
            return await self.pool.request(self.address, request, deadline)

    async def test_request_on_a_stalled_link_ends_at_its_deadline(self):
        await self.send_request()
        self.proxy.set_faults(ProxyFaults(stall=True))
        self.assertIs(await self.send_request(seconds=0.05), LinkFailure.DEADLINE)

    async def test_request_whose_link_never_opened_was_not_sent(self):
        self.proxy.set_faults(ProxyFaults(stall=True))
        self.assertIs(await self.send_request(seconds=0.05), LinkFailure.NOT_SENT)

    async def test_requests_that_fill_the_write_buffer_end_as_lost(self):
        await self.send_request()
        self.proxy.set_faults(ProxyFaults(stall=True))
        answers = await asyncio.gather(*(self.send_request(LARGE_BODY) for _ in range(40)))
        self.assertEqual(set(answers), {LinkFailure.LOST})

    async def test_stalled_link_is_replaced(self):
        await self.send_request()
        self.proxy.set_faults(ProxyFaults(stall=True))
        self.assertEqual(await self.send_request(), LinkFailure.LOST)
        self.proxy.set_faults(ProxyFaults())
        async with asyncio.timeout(WAIT_SECONDS):
            while isinstance(answer := await self.send_request(), LinkFailure):
                await asyncio.sleep(0.05)
        self.assertEqual(answer.body, b"whole")

    async def test_cancelling_a_request_does_not_wait_for_a_stalled_link(self):
        await self.send_request()
        self.proxy.set_faults(ProxyFaults(stall=True))
        large_requests = [asyncio.create_task(self.send_request(LARGE_BODY)) for _ in range(40)]
        await asyncio.sleep(0.1)
        request = asyncio.create_task(self.send_request())
        await asyncio.sleep(0)
        request.cancel()
        done, _ = await asyncio.wait([request], timeout=WAIT_SECONDS)
        self.assertTrue(request in done and request.cancelled())
        self.assertFalse(all(task.done() for task in large_requests))
        await asyncio.gather(*large_requests)

    async def test_links_share_one_silence_check_task(self):
        await self.send_request()
        second_proxy = FaultProxy(f"{HOST}:0", self.server_address)
        self.address = f"{HOST}:{await second_proxy.start()}"
        self.addAsyncCleanup(second_proxy.stop)
        await self.send_request()
        names = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
        self.assertEqual(names.count("LinkPool._watch_silence"), 1, names)
        # Each of the two links has a task only at its server end.
        self.assertEqual(names.count("serve.<locals>.protocol_handler"), 2, names)
