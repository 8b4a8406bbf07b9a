"""Signals that arrive while a node on the platform starts do not end its process."""

import asyncio
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.commands.node_program import (
    PROGRAM,
    end,
    read_until,
    start_program,
    write_settings,
)

# Runs the program with a stop signal that arrived during its start.
RUN_WITH_PENDING_STOP = f"""
import os, signal
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
os.kill(os.getpid(), signal.SIGTERM)
from {PROGRAM} import main
main()
"""
PRINT_BLOCKED = "print(signal.pthread_sigmask(signal.SIG_BLOCK, []))"


class SignalTests(unittest.IsolatedAsyncioTestCase):
    def test_importing_the_program_does_not_block_signals(self):
        blocked = subprocess.run(
            [sys.executable, "-c", f"import signal, {PROGRAM}; {PRINT_BLOCKED}"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(blocked.stdout.strip(), "set()")

    async def test_reload_signal_during_start_is_handled_later(self):
        with tempfile.TemporaryDirectory() as folder:
            path, _ = write_settings(Path(folder))
            process = await start_program(path)
            # Gives the interpreter time to run the program's first lines, which block the signals.
            await asyncio.sleep(0.15)
            process.send_signal(signal.SIGHUP)
            try:
                lines = await read_until(process, b"node.reloaded")
            finally:
                await end(process)
        self.assertTrue(any(b"node.started" in line for line in lines))

    async def test_stop_signal_during_start_ends_the_node_before_it_serves(self):
        """A node that was stopped as it started took requests, and was late to end."""
        with tempfile.TemporaryDirectory() as folder:
            path, _ = write_settings(Path(folder))
            process = await start_program(path, "-c", RUN_WITH_PENDING_STOP)
            try:
                async with asyncio.timeout(20.0):
                    output, _ = await process.communicate()
            finally:
                await end(process)
        self.assertEqual((process.returncode, output), (0, b""))
