"""Parsing of the ``ip:port`` addresses in settings and announcements."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Raise ``ValueError`` if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
