"""Standard streams that do not end a process, whatever becomes of their readers."""

import contextlib
import io
import os
import sys

STANDARD_OUTPUT, STANDARD_ERROR = 1, 2


class LossyWriter(io.FileIO):
    """A writer to a descriptor that drops what cannot be written."""

    def write(self, data) -> int:
        """Write what the descriptor takes, and return the size of the data."""
        with contextlib.suppress(OSError):
            os.write(self.fileno(), data)
        return len(data)


def replace_standard_streams() -> None:
    """Replace closed standard streams, and let no write to the others fail.

    A socket would get the descriptor of a closed stream, and log lines would be written to it.
    """
    for descriptor in range(STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is the one of this stream.
            os.open(os.devnull, os.O_RDWR)
    sys.stdout, sys.stderr = map(_open_lossy, (STANDARD_OUTPUT, STANDARD_ERROR))


def _open_lossy(descriptor: int) -> io.TextIOWrapper:
    writer = LossyWriter(descriptor, "w", closefd=False)
    return io.TextIOWrapper(writer, "utf-8", errors="backslashreplace", write_through=True)
