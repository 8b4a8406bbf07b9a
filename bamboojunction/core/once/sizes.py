"""Memory limits for the records of keys, and the estimated size of a record."""

from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Outcome, Ran

MEBIBYTE = 1024 * 1024

HOME_BYTES_MAX = 48 * MEBIBYTE
GATE_BYTES_MAX = 48 * MEBIBYTE

# Size of a record without its nonce, headers and body.
RECORD_OVERHEAD_BYTES = 900
# Size of a header without its name and value.
HEADER_OVERHEAD_BYTES = 160


def estimate_record_bytes(key: ActionKey, outcome: Outcome | None) -> int:
    """Return the estimated size of a record in bytes."""
    size = RECORD_OVERHEAD_BYTES + len(key.nonce)
    if isinstance(outcome, Ran):
        headers_size = sum(
            HEADER_OVERHEAD_BYTES + len(name) + len(value) for name, value in outcome.headers
        )
        size += len(outcome.body) + headers_size
    return size
