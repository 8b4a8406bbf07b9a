"""Non-blocking output of log lines with a rate limit and a bounded buffer."""

import os

LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# The part of the token bucket that is reserved for important lines, such as failures and
# rejections.
RESERVED_BURST_LINES = 200.0
PENDING_BYTES_MAX = 1_000_000


class LineOutput:
    """A non-blocking writer of lines, rate limited by a token bucket.

    ``dropped_lines`` counts the lines that were dropped since the last report.
    """

    __slots__ = ("_descriptor", "_pending", "_refilled_at", "_tokens", "dropped_lines")

    def __init__(self, descriptor: int, now: float):
        self._descriptor = descriptor
        self._pending = bytearray()
        self._tokens = BURST_LINES
        self._refilled_at = now
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def admit(self, now: float, is_important: bool) -> bool:
        """Take a token for one line and return True, or count the line as dropped."""
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + max(0.0, refill))
        self._refilled_at = now
        reserved = 0.0 if is_important else RESERVED_BURST_LINES
        if self._tokens - 1.0 < reserved or len(self._pending) > PENDING_BYTES_MAX:
            self.dropped_lines += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, text: str) -> None:
        """Append a line to the buffer that the next flush writes."""
        self._pending += text.encode()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log; keeping the buffer would only use memory.
            self._pending.clear()
            return
        del self._pending[:written]
