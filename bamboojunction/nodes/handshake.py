"""Mutual authentication of two nodes by the secret that their settings share."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from bamboojunction.nodes.messages import Hello

NONCE_BYTES = 16


@dataclass(slots=True, frozen=True)
class Identity:
    """Name this node and hold the secret of all nodes."""

    instance: str
    incarnation: str
    secret: bytes

    def hello(self, nonce: bytes, proof: bytes = b"") -> Hello:
        """Return this node's hello."""
        return Hello(self.instance, self.incarnation, proof, nonce)


def new_nonce() -> bytes:
    """Return a nonce that is used for one link only."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(secret: bytes, role: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Return the proof that a side of a link knows the secret."""
    return hmac.new(secret, role + client_nonce + server_nonce, hashlib.sha256).digest()


def is_proof(
    proof: bytes, secret: bytes, role: bytes, client_nonce: bytes, server_nonce: bytes
) -> bool:
    """Return whether a proof is right, in constant time."""
    return hmac.compare_digest(proof, prove(secret, role, client_nonce, server_nonce))
