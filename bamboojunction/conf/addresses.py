"""Parsing of the ``ip:port`` addresses in settings and announcements."""

import ipaddress

PORT_MAX = 65_535


def is_valid_address(address: str) -> bool:
    """Return whether a text is an IPv4 address and a port to which a connection can be opened."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= PORT_MAX


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Raise ``ValueError`` if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
