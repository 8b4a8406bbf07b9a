"""Encoding of link messages as CBOR."""

from typing import get_args

import cbor2
import msgspec
from result import Err, Ok, Result

from bamboojunction.links.messages import AnyMessage

# Converting to a single message type is much cheaper than to the union: msgspec rebuilds the
# description of the union for each frame.
TYPE_BY_TAG = {
    message_type.__struct_config__.tag: message_type for message_type in get_args(AnyMessage)
}


def encode(message: AnyMessage) -> bytes:
    """Return the CBOR encoding of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(frame: bytes) -> Result[AnyMessage, str]:
    """Decode a frame into a message, or return why it is malformed."""
    try:
        fields = cbor2.loads(frame)
        return Ok(msgspec.convert(fields, TYPE_BY_TAG[fields[0]]))
    except (cbor2.CBORError, msgspec.ValidationError, LookupError, TypeError, ValueError) as error:
        return Err(f"malformed frame: {error}")
    except RecursionError:
        return Err("malformed frame: nested too deeply")
