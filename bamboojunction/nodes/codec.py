"""Encoding of link messages as CBOR."""

from typing import get_args

import cbor2
import msgspec
from result import Err, Ok, Result

from bamboojunction.nodes.messages import AnyMessage

# Converting to one type is far cheaper than to the union, whose description msgspec builds anew
# for each frame.
TYPE_BY_TAG = {kind.__struct_config__.tag: kind for kind in get_args(AnyMessage)}


def encode(message: AnyMessage) -> bytes:
    """Return the CBOR form of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(frame: bytes) -> Result[AnyMessage, str]:
    """Read a message, or say why the frame is not one."""
    try:
        fields = cbor2.loads(frame)
        return Ok(msgspec.convert(fields, TYPE_BY_TAG[fields[0]]))
    except (cbor2.CBORError, msgspec.ValidationError, LookupError, TypeError, ValueError) as error:
        return Err(f"malformed frame: {error}")
    except RecursionError:
        return Err("malformed frame: nested too deeply")
