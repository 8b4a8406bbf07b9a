"""Fingerprints of requests."""

import xxhash


def fingerprint_of(kind: str, method: str, path: str, body: bytes) -> int:
    """Return the fingerprint of a request: the same request has the same one at every node."""
    digest = xxhash.xxh3_64()
    for part in (kind.encode(), method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.intdigest()
