"""Log output never blocks, is rate limited and has a bounded buffer."""

import os
import unittest

from bamboojunction.telemetry.line_output import (
    BURST_LINES,
    LINES_PER_SECOND,
    PENDING_BYTES_MAX,
    RESERVED_BURST_LINES,
    LineOutput,
)


class LineOutputTests(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.output = LineOutput(writer, 0.0)

    def test_buffer_is_bounded_when_nobody_reads_the_pipe(self):
        line = "x" * 999 + "\n"
        written = 0
        for second in range(100):
            for _ in range(int(LINES_PER_SECOND)):
                if self.output.admit(float(second), True):
                    self.output.write(line)
                    self.output.flush()
                    written += len(line)
        self.assertLessEqual(written, PENDING_BYTES_MAX + 65_536 + 2 * len(line))
        self.assertGreater(self.output.dropped_lines, 0)

    def test_pending_lines_are_written_whole_and_in_order_later(self):
        lines = [f"{number} {'x' * 500}\n" for number in range(300)]
        for number, line in enumerate(lines):
            self.assertTrue(self.output.admit(float(number), True))
            self.output.write(line)
        self.output.flush()
        read = b""
        while read.count(b"\n") < len(lines):
            read += os.read(self.reader, 65_536)
            self.output.flush()
        self.assertEqual(read.decode(), "".join(lines))

    def test_rate_is_limited_and_important_lines_have_a_reserve(self):
        plain = sum(self.output.admit(1.0, False) for _ in range(1_000))
        self.assertLessEqual(plain, BURST_LINES - RESERVED_BURST_LINES)
        important = sum(self.output.admit(1.0, True) for _ in range(1_000))
        self.assertGreaterEqual(important, RESERVED_BURST_LINES - 1)
        self.assertEqual(self.output.dropped_lines, 2_000 - plain - important)
        later = sum(self.output.admit(2.0, True) for _ in range(1_000))
        self.assertLessEqual(later, LINES_PER_SECOND)

    def test_flush_to_a_closed_pipe_discards_pending_lines(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        output = LineOutput(writer, 0.0)
        os.close(reader)
        output.write("lost\n")
        output.flush()
