"""Ports that other processes have do not end a node that starts."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp

from bamboo_standins.process_fleet import free_port
from bamboojunction.callers.sockets import find_holder
from bamboojunction.checks.machine import check_machine
from bamboojunction.management.commands import mesh
from bamboojunction.platform.node_settings import (
    PlatformNodeSettings,
    load_node_settings,
    parse_node_settings,
)
from bamboojunction.platform_node.listeners import Listeners
from tests.commands.node_program import (
    CALLERS,
    HOST,
    LINKS,
    READY,
    REPORTS,
    UPSTREAM,
    end,
    read_until,
    start_program,
    take,
    write_settings,
)

# An address on which no other test listens, as neighbouring ports have to be free.
OWN_HOST = f"127.94.{os.getpid() % 250}.1"


class PortTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.port_by_example = write_settings(Path(folder.name))

    async def start(self, **environment: str) -> asyncio.subprocess.Process:
        process = await start_program(self.path, environment=environment)
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

    async def test_node_starts_with_a_range_that_begins_at_the_port_of_another_purpose(self):
        """The check machine.E002 ended the node at each start, though the range had free ports."""
        first, own = self.port_by_example[LINKS], self.port_by_example[CALLERS]
        text = self.path.read_text().replace(str(first + 15), str(own + 15)).replace(HOST, OWN_HOST)
        self.path.write_text(text.replace(str(first), str(own)))
        metrics = {mesh.METRICS_PORT_VARIABLE: str(own + 1)}
        with take(own + 1, OWN_HOST), take(own + 2, OWN_HOST):
            lines = await read_until(await self.start(**metrics), b"metrics.port_taken")
        self.assertIn(f"link_address={OWN_HOST}:{own + 3}\n".encode(), b"".join(lines))

    def test_links_take_the_first_port_that_is_free_and_has_no_other_purpose(self):
        examples = (UPSTREAM, CALLERS, READY, REPORTS)
        for example, count, is_metrics_taken in itertools.product(examples, range(3), (0, 1)):
            first = self.port_by_example[example]
            taken = [*range(first + 2, first + 2 + count), *[first + 1] * is_metrics_taken]
            with self.subTest(example=example, taken=taken), contextlib.ExitStack() as stack:
                for port in taken:
                    stack.enter_context(take(port, OWN_HOST))
                settings = self.settings_with_range(first, first + 15)
                self.assertEqual(check_machine(settings), [])
                opened = Listeners.open(settings, metrics_port=first + 1).unwrap()
                stack.callback(opened.close)
                self.assertEqual(opened.link_address, f"{OWN_HOST}:{first + 2 + count}")

    def test_range_without_a_port_for_links_is_refused_in_one_line(self):
        first = self.port_by_example[CALLERS]
        for last in (first, 0, first - 1):
            with self.subTest(last=last):
                messages = check_machine(self.settings_with_range(first, last))
                self.assertEqual([message.message_id for message in messages], ["machine.E002"])

    def settings_with_range(self, first: int, last: int) -> PlatformNodeSettings:
        text = self.path.read_bytes().replace(HOST.encode(), OWN_HOST.encode())
        settings = parse_node_settings(text).unwrap()
        address = f"{OWN_HOST}:{first}"
        return dataclasses.replace(settings, link_address=address, link_port_max=last)

    def test_holder_whose_name_is_no_text_is_named(self):
        """The name of a process, cut within a character, ended a start that waited for a port."""
        comm = Path("/proc/self/comm")
        self.addCleanup(comm.write_bytes, comm.read_bytes())
        comm.write_bytes(b"a\n\xc3")
        port = self.port_by_example[CALLERS]
        with take(port):
            self.assertEqual(find_holder(HOST, port), f"process {os.getpid()} (a \ufffd)")

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
