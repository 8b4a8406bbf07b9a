"""Listening sockets."""

import socket
import struct
from pathlib import Path

LISTEN_BACKLOG = 1024
_TABLE = Path("/proc/net/tcp")
_PROCESSES = Path("/proc")


def listen(host: str, port: int) -> socket.socket:
    """Return a TCP socket that listens on an address."""
    return socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)


def find_holder(host: str, port: int) -> str:
    """Return the process that has an IPv4 address, as far as ``/proc`` shows it to this one.

    The result is empty if no process is found.
    """
    try:
        (packed,) = struct.unpack("=I", socket.inet_aton(host))
        wanted = f"{packed:08X}:{port:04X}"
        rows = [line.split() for line in _TABLE.read_text().splitlines()[1:]]
        inodes = {row[9] for row in rows if row[1] == wanted}
        links = {f"socket:[{inode}]" for inode in inodes}
        for process in _PROCESSES.glob("[0-9]*"):
            if _has_open(process, links):
                # A name may hold any bytes, and a long one is cut, maybe within a character.
                name = " ".join((process / "comm").read_text("utf-8", "replace").split())
                return f"process {process.name} ({name})"
    except (OSError, IndexError):
        # A process may end while it is looked at, or may not be visible.
        return ""
    return ""


def _has_open(process: Path, links: set[str]) -> bool:
    try:
        return any(str(entry.readlink()) in links for entry in (process / "fd").iterdir())
    except OSError:
        return False
