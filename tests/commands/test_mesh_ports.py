"""Ports that other processes have do not end a node that starts."""

import asyncio
import os
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp

from bamboo_standins.process_fleet import free_port
from bamboojunction.management.commands import mesh
from bamboojunction.platform.node_settings import load_node_settings
from tests.commands.node_program import (
    CALLERS,
    HOST,
    LINKS,
    READY,
    REPORTS,
    end,
    read_until,
    start_program,
    write_settings,
)


def take(port: int) -> socket.socket:
    return socket.create_server((HOST, port))


class PortTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.port_by_example = write_settings(Path(folder.name))

    async def start(self, **environment: str) -> asyncio.subprocess.Process:
        process = await start_program(self.path, environment)
        self.addAsyncCleanup(end, process)
        return process

    async def test_node_uses_the_next_link_port_if_the_first_is_taken(self):
        """An outgoing connection on the first port of the range ended the node at each start."""
        port = self.port_by_example[LINKS]
        with take(port):
            lines = await read_until(await self.start(), b"node.started")
        self.assertNotIn(f"link_address={HOST}:{port} ".encode(), lines[-1])
        self.assertIn(f"link_address={HOST}:".encode(), lines[-1])

    async def test_node_waits_for_a_fixed_port_that_is_taken(self):
        with take(self.port_by_example[CALLERS]):
            process = await self.start()
            lines = await read_until(process, b"trying again")
        self.assertIn(f"process {os.getpid()} ".encode(), lines[-1])
        await read_until(process, b"node.started")

    async def test_node_serves_without_metrics_until_their_port_is_free(self):
        """A socket on the port of the metrics ended the node at each start, with status 3."""
        port = free_port(HOST)
        with take(port):
            process = await self.start(**{mesh.METRICS_PORT_VARIABLE: str(port)})
            lines = await read_until(process, b"metrics.port_taken")
            self.assertTrue(any(b"node.started" in line for line in lines))
            self.assertEqual(await self.status(self.port_by_example[READY], "/readyz"), 503)
        await read_until(process, b"metrics.listening")
        self.assertEqual(await self.status(port, "/metrics"), 200)

    async def test_port_of_the_metrics_is_no_matter_of_the_start(self):
        """An odd value ended the node with a traceback; a link took the port of the metrics."""
        for value in ("", "x", "-1", "70000", str(self.port_by_example[REPORTS])):
            with self.subTest(value):
                process = await self.start(**{mesh.METRICS_PORT_VARIABLE: value})
                lines = await read_until(process, b"node.started")
                self.assertNotIn(b"Traceback", b"".join(lines))
                self.assertEqual(await self.status(self.port_by_example[REPORTS], "/x"), 400)
                await end(process)
        link_port = str(self.port_by_example[LINKS])
        process = await self.start(**{mesh.METRICS_PORT_VARIABLE: link_port})
        lines = await read_until(process, b"metrics.listening")
        self.assertIn(f"address={HOST}:{link_port}".encode(), lines[-1])

    async def status(self, port: int, path: str) -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{HOST}:{port}{path}") as response,
        ):
            return response.status

    async def test_signal_ends_the_wait_for_a_port(self):
        with take(self.port_by_example[CALLERS]):
            process = await self.start()
            await read_until(process, b"trying again")
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5.0):
                self.assertEqual(await process.wait(), 0)

    async def test_port_that_stays_taken_is_named_without_a_traceback(self):
        port = self.port_by_example[CALLERS]
        settings = load_node_settings(self.path).unwrap()
        with take(port), mock.patch.object(mesh, "PORT_WAIT_SECONDS", 0.1):
            problem = str(mesh.open_listeners(settings).unwrap_err())
        self.assertIn(f"the address of callers {HOST}:{port} cannot be used", problem)
        self.assertIn(f"process {os.getpid()} ", problem)
        self.assertNotIn("\n", problem)
