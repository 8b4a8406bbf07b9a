"""Standard streams that are closed, full or not read do not end a node that starts."""

import asyncio
import contextlib
import fcntl
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


def fill_pipe() -> tuple[int, int]:
    """Return the ends of a pipe that has no room left."""
    reader, writer = os.pipe()
    os.write(writer, b"x" * fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ))
    return reader, writer


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

    async def start(self, output: int, redirection: str = "") -> asyncio.subprocess.Process:
        """Start the program with a value of its environment that it has to write a line about."""
        command = f"exec {sys.executable} -m {PROGRAM} {redirection}"
        environment = {SETTINGS_FILE_VARIABLE: str(self.path), METRICS_PORT_VARIABLE: "x"}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, env=environment, stdout=output, stderr=output
        )
        self.addAsyncCleanup(end, process)
        return process

    async def test_node_serves_whatever_becomes_of_its_output(self):
        """A closed or full output, or one whose reader is gone, ended the node at its start."""
        for redirection in REDIRECTIONS:
            with self.subTest(redirection):
                reader, writer = os.pipe()
                os.close(reader)
                process = await self.start(writer, redirection)
                os.close(writer)
                answer = await first_line(process, self.port_by_example[READY])
                self.assertIn(b" 503 ", answer)
                await end(process)

    async def test_signal_ends_the_wait_for_a_port_while_nobody_reads_the_output(self):
        """A line that found no room held the start, and with it SIGTERM."""
        reader, writer = fill_pipe()
        self.addCleanup(os.close, reader)
        with take(self.port_by_example[CALLERS]):
            process = await self.start(writer)
            os.close(writer)
            status = Path(f"/proc/{process.pid}/status")
            while "SigBlk:\t0000000000000000" in status.read_text():
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5.0):
                self.assertEqual(await process.wait(), 0)


class ProductNodeStreamTests(unittest.IsolatedAsyncioTestCase):
    async def test_bamboo_node_serves_whatever_becomes_of_its_output(self):
        """A closed or full output ended the node at its start."""
        caller_port = free_port(HOST)
        link = f"link_address = {HOST}:{free_port(HOST)}\n"
        addresses = f"{link}caller_address = {HOST}:{caller_port}\n"
        names = "instance = a\nservice = b\ndata_centre = c\nregion = d\n"
        upstream = f"[upstream]\naddress = {HOST}:{free_port(HOST)}\n"
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(f"[node]\n{names}{addresses}{upstream}")
            file.flush()
            for redirection in REDIRECTIONS:
                with self.subTest(redirection):
                    program = "-m bamboojunction.management.commands.node"
                    command = f"exec {sys.executable} {program} {file.name} {redirection}"
                    reader, writer = os.pipe()
                    os.close(reader)
                    process = await asyncio.create_subprocess_exec(
                        "/bin/sh", "-c", command, stdout=writer, stderr=writer
                    )
                    os.close(writer)
                    self.addAsyncCleanup(end, process)
                    answer = await first_line(process, caller_port)
                    self.assertIn(b" 400 ", answer)
                    await end(process)
