"""Standard streams that are closed, full or not read do not end a node that starts."""

import asyncio
import contextlib
import fcntl
import itertools
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from bamboo_standins.process_fleet import free_port
from bamboojunction.management.commands.mesh import METRICS_PORT_VARIABLE
from bamboojunction.platform.node_settings import SETTINGS_FILE_VARIABLE
from tests.commands.node_program import (
    CALLERS,
    HOST,
    PROGRAM,
    READY,
    end,
    take,
    write_settings,
)

REDIRECTIONS = (">&- 2>&-", "<&- >&- 2>&-", ">/dev/full 2>/dev/full", "2>&-", "")
SETTINGS = """[node]
instance = a
service = b
data_centre = c
region = d
link_address = {host}:{links}
caller_address = {host}:{callers}
[upstream]
address = {host}:{upstream}
"""


async def first_line(process: asyncio.subprocess.Process, port: int) -> bytes:
    """Return the first line of an answer, as soon as the process answers."""
    async with asyncio.timeout(20.0):
        while process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                answer = await reader.readline()
                writer.close()
                return answer
            await asyncio.sleep(0.05)
    return b"the program ended"


class StreamTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.port_by_example = write_settings(Path(folder.name))
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)

    async def start(self, program: str, redirection: str = "") -> asyncio.subprocess.Process:
        """Start a program with a value of its environment that it has to write a line about."""
        process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", f"exec {sys.executable} -m {program} {redirection}"),
            env={SETTINGS_FILE_VARIABLE: str(self.path), METRICS_PORT_VARIABLE: "x"},
            stdout=self.writer,
            stderr=self.writer,
        )
        self.addAsyncCleanup(end, process)
        return process

    async def test_programs_serve_whatever_becomes_of_their_output(self):
        """A closed or full output, or one whose reader is gone, ended a node at its start."""
        os.close(self.reader)
        callers, links, upstream = (free_port(HOST) for _ in range(3))
        path = self.path.with_suffix(".ini")
        path.write_text(SETTINGS.format(host=HOST, callers=callers, links=links, upstream=upstream))
        node = f"bamboojunction.management.commands.node {path}"
        programs = ((PROGRAM, self.port_by_example[READY], b" 503 "), (node, callers, b" 400 "))
        for (program, port, status), redirection in itertools.product(programs, REDIRECTIONS):
            with self.subTest(program=program, redirection=redirection):
                process = await self.start(program, redirection)
                self.assertIn(status, await first_line(process, port))
                await end(process)

    async def test_signal_ends_the_wait_for_a_port_while_nobody_reads_the_output(self):
        """A line that found no room held the start, and with it SIGTERM."""
        self.addCleanup(os.close, self.reader)
        os.write(self.writer, b"x" * fcntl.fcntl(self.writer, fcntl.F_GETPIPE_SZ))
        with take(self.port_by_example[CALLERS]):
            process = await self.start(PROGRAM)
            status = Path(f"/proc/{process.pid}/status")
            while "SigBlk:\t0000000000000000" in status.read_text():
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5.0):
                self.assertEqual(await process.wait(), 0)
