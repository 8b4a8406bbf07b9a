"""Tests that the fault proxy injects each kind of fault into connections."""

import asyncio
import unittest

from bamboo_standins.fault_proxy import Direction, FaultProxy, ProxyFaults


async def echo(reader, writer):
    try:
        while chunk := await reader.read(1024):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


class FaultProxyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.proxy = FaultProxy("127.0.0.1:0", target)
        self.port = await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(b"hello")
        return reader

    async def test_bytes_pass_without_faults(self):
        reader = await self.connect()
        self.assertEqual(await reader.readexactly(5), b"hello")

    # A soak test saw no request banned, as the proxy accepted connections to crashed upstreams.
    async def test_connections_are_refused_until_it_is_started_again(self):
        reader = await self.connect()
        self.proxy.refuse()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        self.assertEqual(await reader.readexactly(5), b"hello")
        self.assertEqual(await self.proxy.start(), self.port)
        self.assertEqual(await (await self.connect()).readexactly(5), b"hello")

    async def test_delay_holds_each_direction(self):
        self.proxy.set_faults(ProxyFaults(delay_seconds=0.05))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reader = await self.connect()
        await reader.readexactly(5)
        self.assertGreaterEqual(loop.time() - started_at, 0.1)

    async def test_cut_resets_open_and_new_connections(self):
        reader = await self.connect()
        await reader.readexactly(5)
        self.proxy.set_faults(ProxyFaults(cut=True))
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await (await self.connect()).readexactly(1)

    async def test_half_open_swallows_one_direction(self):
        self.proxy.set_faults(ProxyFaults(half_open=Direction.TO_CLIENT))
        reader = await self.connect()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)

    async def test_stall_holds_bytes_until_it_is_lifted(self):
        self.proxy.set_faults(ProxyFaults(stall=True))
        reader = await self.connect()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)
        self.proxy.set_faults(ProxyFaults())
        self.assertEqual(await reader.readexactly(5), b"hello")

    async def test_connection_drops_after_bytes(self):
        self.proxy.set_faults(ProxyFaults(drop_after_bytes=7))
        reader = await self.connect()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(5)
