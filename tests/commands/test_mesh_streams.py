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

    async def wait_until_ready_answers(self, process: asyncio.subprocess.Process) -> bytes:
        async with asyncio.timeout(20.0):
            while process.returncode is None:
                with contextlib.suppress(OSError):
                    port = self.port_by_example[READY]
                    reader, writer = await asyncio.open_connection(HOST, port)
                    writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                    answer = await reader.readline()
                    writer.close()
                    return answer
                await asyncio.sleep(0.05)
        return b"the program ended"

    async def test_node_serves_whatever_becomes_of_its_output(self):
        """A closed or full output, or one whose reader is gone, ended the node at its start."""
        for redirection in REDIRECTIONS:
            with self.subTest(redirection):
                reader, writer = os.pipe()
                os.close(reader)
                process = await self.start(writer, redirection)
                os.close(writer)
                self.assertIn(b" 503 ", await self.wait_until_ready_answers(process))
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
