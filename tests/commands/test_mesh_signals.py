"""Signals that arrive while a node on the platform starts do not end its process."""

import asyncio
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from bamboo_standins.process_fleet import free_port
from bamboojunction.platform.node_settings import SETTINGS_FILE_VARIABLE
from tests.adapter.test_node_settings import SETTINGS_FILE

PROGRAM = "bamboojunction.management.commands.mesh"
HOST = "127.0.0.1"
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
            path = Path(folder) / "settings.yaml"
            text = SETTINGS_FILE.replace(b"10.1.0.8", HOST.encode()).replace(
                b"10.200.1.7", HOST.encode()
            )
            for port in (8301, 8302, 8304, 8306, 7620):
                text = text.replace(str(port).encode(), str(free_port(HOST)).encode())
            path.write_bytes(text)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                PROGRAM,
                env={SETTINGS_FILE_VARIABLE: str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            # Gives the interpreter time to run the program's first lines, which block the signals.
            await asyncio.sleep(0.15)
            process.send_signal(signal.SIGHUP)
            lines = []
            try:
                async with asyncio.timeout(20.0):
                    while not any(b"node.reloaded" in line for line in lines):
                        line = await process.stdout.readline()
                        self.assertTrue(line, lines)
                        lines.append(line)
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()
        self.assertTrue(any(b"node.started" in line for line in lines))
