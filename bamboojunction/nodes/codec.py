"""Encoding of link messages as CBOR."""

import cbor2
import msgspec
from result import Err, Ok, Result

from bamboojunction.nodes.messages import AnyMessage


def encode(message: AnyMessage) -> bytes:
    """Return the CBOR form of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(frame: bytes) -> Result[AnyMessage, str]:
    """Read a message, or say why the frame is not one."""
    try:
        return Ok(msgspec.convert(cbor2.loads(frame), AnyMessage))
    except (cbor2.CBORError, msgspec.ValidationError, RecursionError, ValueError) as error:
        return Err(f"malformed frame: {error}")
