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
