"""Listening sockets."""

import socket

LISTEN_BACKLOG = 1024


def listen(host: str, port: int) -> socket.socket:
    """Return a TCP socket that listens on an address."""
    return socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)
