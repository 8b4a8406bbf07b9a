"""Output of log lines that never blocks the event loop, with bounded memory and volume."""

import os

LINES_PER_SECOND = 200.0
LINES_BURST = 400.0
# Failures and refusals may use the last part of the burst, which other lines leave alone.
RESERVED_LINES = 200.0
PENDING_BYTES_MAX = 1_000_000


class LineOutput:
    """Write lines to a descriptor without waiting; what has no room is counted and left out.

    ``left_out`` counts the lines lost since the last report.
    """

    __slots__ = ("_descriptor", "_pending", "_tokens", "_updated_at", "left_out")

    def __init__(self, descriptor: int, now: float):
        self._descriptor = descriptor
        self._pending = bytearray()
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
        if self._tokens - 1.0 < floor or len(self._pending) > PENDING_BYTES_MAX:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, text: str) -> None:
        """Queue a line until the next flush."""
        self._pending += text.encode()

    def flush(self) -> None:
        """Write what is pending, as far as the descriptor takes it."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; what waits would only use memory.
            self._pending.clear()
            return
        del self._pending[:written]
