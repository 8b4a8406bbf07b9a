"""Decoding of JSON in which another writer has left values that cannot be decoded.

The decoder gives up on the whole text when one value is nested too deeply or one string is not
valid. Such values are replaced then, so that the others can be read.
"""

import re
from typing import TypeVar

import msgspec

# Values nested more deeply are replaced by null.
NESTING_MAX = 64
_OPENING = b"[{"
# Strings, and runs of brackets. The pattern does not backtrack.
_TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL)
_NULL = b"null"
_EMPTY_STRING = b'""'

Decoded = TypeVar("Decoded")


def decode_leniently(content: bytes, result_type: type[Decoded]) -> Decoded:
    """Decode JSON; replace what cannot be decoded only if there is such a value.

    Raise ``msgspec.DecodeError`` if the text as a whole is no JSON of that type.
    """
    try:
        return msgspec.json.decode(content, type=result_type)
    except (RecursionError, msgspec.DecodeError):
        return msgspec.json.decode(replace_undecodable(content), type=result_type)


def replace_undecodable(content: bytes) -> bytes:
    """Replace values nested beyond ``NESTING_MAX`` by null, and invalid strings by empty ones.

    Brackets are counted without recursion, so any depth is handled.
    """
    parts: list[bytes] = []
    depth = kept_until = 0
    for match in _TOKENS.finditer(content):
        token = match.group()
        if token[0] == ord('"'):
            if depth <= NESTING_MAX and not _is_valid_string(token):
                parts += (content[kept_until : match.start()], _EMPTY_STRING)
                kept_until = match.end()
        elif token[0] in _OPENING:
            if depth <= NESTING_MAX < depth + len(token):
                parts += (content[kept_until : match.start() + NESTING_MAX - depth], _NULL)
                kept_until = len(content)
            depth += len(token)
        else:
            if depth - len(token) <= NESTING_MAX < depth:
                kept_until = match.start() + depth - NESTING_MAX
            depth -= len(token)
    parts.append(content[kept_until:])
    return b"".join(parts)


def _is_valid_string(token: bytes) -> bool:
    # Only escapes are checked while a value is skipped; the bytes are checked when it is decoded.
    if b"\\" not in token:
        return True
    try:
        msgspec.json.decode(token, type=str)
    except msgspec.DecodeError:
        return False
    return True
