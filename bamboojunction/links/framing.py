"""Encoding and decoding of whole binary WebSocket frames (RFC 6455, section 5.2).

The ``websockets`` library does the handshake, control frames and compression. Nearly all frames of
a link are unfragmented, uncompressed and binary; its generic parser and serializer take most of
the time that a link adds to a call.
"""

import os
import struct
from enum import Enum, auto
from typing import NamedTuple

from websockets.frames import apply_mask

# FIN is set, the reserved bits are not, and the opcode is "binary".
PLAIN_BINARY_FRAME = 0x82
MASK_BIT = 0x80
LENGTH_16_BITS, LENGTH_64_BITS = 126, 127
MASK_KEY_BYTES = 4
# Mask keys have to be unpredictable. They are taken from blocks of this size, as a read of the
# system's random numbers is a system call.
RANDOM_BLOCK_BYTES = 4_096


class MaskKeySource:
    """A source of unpredictable mask keys for the frames of a client."""

    __slots__ = ("_block", "_offset")

    def __init__(self):
        self._block = b""
        self._offset = 0

    def next_key(self) -> bytes:
        """Return a key that was not returned before."""
        if self._offset >= len(self._block):
            self._block = os.urandom(RANDOM_BLOCK_BYTES)
            self._offset = 0
        offset = self._offset
        self._offset += MASK_KEY_BYTES
        return self._block[offset : self._offset]


def encode_binary_frame(payload: bytes, mask_key: bytes | None) -> bytes:
    """Return a binary frame; frames of a client have a mask key, those of a server have none."""
    mask_bit = 0 if mask_key is None else MASK_BIT
    size = len(payload)
    if size < LENGTH_16_BITS:
        head = bytes((PLAIN_BINARY_FRAME, mask_bit | size))
    elif size < 1 << 16:
        head = struct.pack("!BBH", PLAIN_BINARY_FRAME, mask_bit | LENGTH_16_BITS, size)
    else:
        head = struct.pack("!BBQ", PLAIN_BINARY_FRAME, mask_bit | LENGTH_64_BITS, size)
    if mask_key is None:
        return head + payload
    return head + mask_key + apply_mask(payload, mask_key)


class FrameStatus(Enum):
    """What stands at the start of received bytes."""

    # The bytes are not a whole frame yet.
    INCOMPLETE = auto()
    PLAIN_BINARY = auto()
    # Any other whole frame, or an invalid one, which the library has to handle.
    OTHER = auto()


class ScannedFrame(NamedTuple):
    """A frame at the start of received bytes; ``end`` is the offset of the first byte behind it."""

    status: FrameStatus
    end: int = 0
    payload: bytes = b""


_INCOMPLETE = ScannedFrame(FrameStatus.INCOMPLETE)


def scan_frame(
    received: bytes | bytearray, start: int, is_masked: bool, payload_max_bytes: int
) -> ScannedFrame:
    """Return the frame at ``start``; ``is_masked`` tells whether the peer has to mask frames.

    A frame whose head breaks these rules is returned as one of another kind that takes all of the
    received bytes, so that the library closes the connection.
    """
    available = len(received) - start
    if available < 2:
        return _INCOMPLETE
    second = received[start + 1]
    size = second & ~MASK_BIT
    offset = start + 2
    if size >= LENGTH_16_BITS:
        length_struct = "!H" if size == LENGTH_16_BITS else "!Q"
        offset += struct.calcsize(length_struct)
        if len(received) < offset:
            return _INCOMPLETE
        (size,) = struct.unpack_from(length_struct, received, start + 2)
    if bool(second & MASK_BIT) is not is_masked or size > payload_max_bytes:
        return ScannedFrame(FrameStatus.OTHER, len(received))
    payload_start = offset + MASK_KEY_BYTES if is_masked else offset
    end = payload_start + size
    if len(received) < end:
        return _INCOMPLETE
    if received[start] != PLAIN_BINARY_FRAME:
        return ScannedFrame(FrameStatus.OTHER, end)
    payload = bytes(received[payload_start:end])
    if is_masked:
        payload = apply_mask(payload, bytes(received[offset:payload_start]))
    return ScannedFrame(FrameStatus.PLAIN_BINARY, end, payload)
