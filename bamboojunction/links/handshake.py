"""Mutual authentication of two nodes by a shared secret from their settings."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from bamboojunction.links.messages import Hello

NONCE_BYTES = 16


@dataclass(slots=True, frozen=True)
class Identity:
    """The instance and incarnation of this node, with the secret that all nodes share."""

    instance: str
    incarnation: str
    secret: bytes

    def hello(self, nonce: bytes, proof: bytes = b"") -> Hello:
        """Return this node's handshake message."""
        return Hello(self.instance, self.incarnation, proof, nonce)


def new_nonce() -> bytes:
    """Return a random nonce for the handshake of one link."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(secret: bytes, role: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Return the HMAC that proves that one side of a link knows the secret.

    ``role`` is ``b"client"`` or ``b"server"``, so that the proof of one side is not valid for the
    other.
    """
    return hmac.new(secret, role + client_nonce + server_nonce, hashlib.sha256).digest()


def is_valid_proof(
    proof: bytes, secret: bytes, role: bytes, client_nonce: bytes, server_nonce: bytes
) -> bool:
    """Return whether a proof is valid, comparing in constant time."""
    return hmac.compare_digest(proof, compute_proof(secret, role, client_nonce, server_nonce))
