"""A node starts and reloads with a settings file in which fields are odd."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from tests.commands.node_program import end, read_until, start_program, write_settings

ODD = (
    (b"memory_mb: 300", b"memory_mb: null"),
    (b"history_s: 30", b"history_s: [30]"),
    (b"budget_ratio: 0.2", b"budget_ratio: -1"),
    (b'zone: "lac"', b"zone: 7"),
    (b"new_field: true", b"new_field: {a: ~}"),
)


class OddSettingsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, _ = write_settings(Path(folder.name))
        self.text = self.path.read_bytes()

    def write(self, *changes: tuple[bytes, bytes]) -> None:
        text = self.text
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new)
        self.path.write_bytes(text)

    async def start(self) -> asyncio.subprocess.Process:
        process = await start_program(self.path)
        self.addAsyncCleanup(end, process)
        return process

    async def test_node_starts_with_odd_fields_and_tells_each(self):
        """An empty ``limits.memory_mb`` ended the node with status 2 at each start."""
        self.write(*ODD)
        process = await self.start()
        lines = b"".join(await read_until(process, b"field=provider.provider.history_s"))
        self.assertIn(b"event=node.started", lines)
        self.assertIn(b"field=self.limits.memory_mb value=empty used=200.0", lines)
        self.assertEqual(lines.count(b"settings.defaulted"), 4)

    async def test_odd_fields_keep_their_values_at_a_reload(self):
        self.write((b"grace_s: 6", b"grace_s: 5"))
        process = await self.start()
        await read_until(process, b"node.started")
        self.write((b"grace_s: 6", b"grace_s: ~"))
        process.send_signal(signal.SIGHUP)
        lines = await read_until(process, b"node.reloaded")
        self.assertIn(b'grace_s value=empty used="the value in force"', lines[-2])
        self.assertIn(b"stop_seconds=5", lines[-1])
        self.write((b"grace_s: 6", b"grace_s: 7"), (b"service:", b"serves:"))
        process.send_signal(signal.SIGHUP)
        lines = await read_until(process, b"node.reload_failed")
        self.assertIn(b"self.service is absent", lines[-1])
        self.write((b"grace_s: 6", b"grace_s: 7"))
        process.send_signal(signal.SIGHUP)
        self.assertIn(b"stop_seconds=7", (await read_until(process, b"node.reloaded"))[-1])

    async def test_field_that_is_needed_ends_the_start_with_one_line(self):
        for change in ((b"app_addr", b"app"), (b"port_range", b"x"), (b"127.0.0.1:", b"host:")):
            with self.subTest(change):
                self.write(change)
                process = await self.start()
                output = await process.stdout.read()
                self.assertEqual((await process.wait(), output.count(b"\n")), (2, 1), output)
                self.assertNotIn(b"Traceback", output)
