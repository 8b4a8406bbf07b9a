"""Output of log lines that never blocks the event loop, with bounded memory and volume."""

import os
from collections import deque

LINES_PER_SECOND = 200.0
LINES_BURST = 400.0
# Failures and refusals may use the last part of the burst, which other lines leave alone.
RESERVED_LINES = 200.0
PENDING_BYTES_MAX = 1_000_000


class LineOutput:
    """Write lines to a descriptor without waiting; what has no room is counted and left out.

    ``left_out`` counts the lines lost since the last report.
    """

    __slots__ = ("_descriptor", "_pending", "_pending_bytes", "_tokens", "_updated_at", "left_out")

    def __init__(self, descriptor: int, now: float):
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._tokens = LINES_BURST
        self._updated_at = now
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def admits(self, now: float, is_important: bool) -> bool:
        """Take room for one line, or count it as left out."""
        earned = (now - self._updated_at) * LINES_PER_SECOND
        self._tokens = min(LINES_BURST, self._tokens + max(0.0, earned))
        self._updated_at = now
        floor = 0.0 if is_important else RESERVED_LINES
        if self._tokens - 1.0 < floor or self._pending_bytes > PENDING_BYTES_MAX:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, text: str) -> None:
        """Queue a line and write as much as the descriptor takes now."""
        line = text.encode()
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what is pending, as far as the descriptor takes it."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; what waits would only use memory.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
