"""Checks of response heads that a parser accepts, although no upstream meant to send them."""

import re
from collections.abc import Iterable

# The start of a status line (RFC 9112, section 4).
_STATUS_LINE_START = re.compile(r"HTTP/\d\.\d \d{3}")


def contains_status_line(reason: str, headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether a second status line lies within the reason phrase or a header value.

    An upstream that breaks off in a head and then sends another response on the connection leaves
    bytes that parse as one head, with the status of the first response and headers of both.
    """
    # The search for the constant is much cheaper, and nearly always enough.
    return any(
        "HTTP/" in text and _STATUS_LINE_START.search(text) is not None
        for text in (reason, *(value for _, value in headers))
    )
