"""Addresses as settings and announcements write them."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
