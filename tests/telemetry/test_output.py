"""Log lines never block, use bounded memory and have a bounded volume."""

import os
import unittest

from bamboojunction.telemetry.output import (
    LINES_BURST,
    LINES_PER_SECOND,
    PENDING_BYTES_MAX,
    RESERVED_LINES,
    LineOutput,
)


class LineOutputTests(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.output = LineOutput(writer, 0.0)

    def test_pipe_that_nobody_reads_costs_a_bounded_buffer(self):
        line = "x" * 999 + "\n"
        written = 0
        for second in range(100):
            for _ in range(int(LINES_PER_SECOND)):
                if self.output.admits(float(second), True):
                    self.output.write(line)
                    self.output.flush()
                    written += len(line)
        self.assertLessEqual(written, PENDING_BYTES_MAX + 65_536 + 2 * len(line))
        self.assertGreater(self.output.left_out, 0)

    def test_pending_lines_are_written_whole_and_in_order_later(self):
        lines = [f"{number} {'x' * 500}\n" for number in range(300)]
        for number, line in enumerate(lines):
            self.assertTrue(self.output.admits(float(number), True))
            self.output.write(line)
        self.output.flush()
        read = b""
        while read.count(b"\n") < len(lines):
            read += os.read(self.reader, 65_536)
            self.output.flush()
        self.assertEqual(read.decode(), "".join(lines))

    def test_volume_is_bounded_and_failures_go_first(self):
        plain = sum(self.output.admits(1.0, False) for _ in range(1_000))
        self.assertLessEqual(plain, LINES_BURST - RESERVED_LINES)
        important = sum(self.output.admits(1.0, True) for _ in range(1_000))
        self.assertGreaterEqual(important, RESERVED_LINES - 1)
        self.assertEqual(self.output.left_out, 2_000 - plain - important)
        later = sum(self.output.admits(2.0, True) for _ in range(1_000))
        self.assertLessEqual(later, LINES_PER_SECOND)

    def test_closed_pipe_drops_what_waits(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        output = LineOutput(writer, 0.0)
        os.close(reader)
        output.write("lost\n")
        output.flush()
