"""Standard streams that neither end nor hold a process, whatever becomes of their readers."""

import contextlib
import os
import sys

STANDARD_ERROR = 2
_MODE_BY_STREAM_NAME = {"stdin": "r", "stdout": "w", "stderr": "w"}


def prepare_standard_streams() -> None:
    """Replace closed standard streams, and let no write to standard error wait.

    A socket would get the descriptor of a closed stream, and log lines would be written to it.
    """
    for descriptor, (name, mode) in enumerate(_MODE_BY_STREAM_NAME.items()):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is the one of this stream.
            os.open(os.devnull, os.O_RDWR)
        if getattr(sys, name) is None:
            setattr(sys, name, os.fdopen(descriptor, mode, closefd=False))
    # Libraries report there as well.
    os.set_blocking(STANDARD_ERROR, False)


def write_error_line(line: str) -> None:
    """Write a line to standard error, or drop what cannot be written at once."""
    with contextlib.suppress(OSError):
        os.write(STANDARD_ERROR, f"{line}\n".encode(errors="backslashreplace"))
