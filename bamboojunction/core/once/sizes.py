"""The memory that the records of keys may take."""

from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Outcome, Ran

MEBIBYTE = 1024 * 1024

HOME_BYTES_MAX = 48 * MEBIBYTE
GATE_BYTES_MAX = 48 * MEBIBYTE

# What a record takes besides the text of its key and the answer, in bytes.
RECORD_BYTES = 900
HEADER_BYTES = 160


def record_bytes(key: ActionKey, outcome: Outcome | None) -> int:
    """Return how many bytes a record is counted as."""
    size = RECORD_BYTES + len(key.nonce)
    if isinstance(outcome, Ran):
        text = sum(HEADER_BYTES + len(name) + len(value) for name, value in outcome.headers)
        size += len(outcome.body) + text
    return size
