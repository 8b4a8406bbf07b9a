"""Fingerprints of requests, which identify a request across nodes and attempts."""

import xxhash

from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason


def fingerprint_of(kind: str, method: str, path: str, body: bytes, caller: str = "") -> int:
    """Return a hash of a request, which is the same at every node.

    ``caller`` is the service that sent the request, or empty if that is not known.
    """
    digest = xxhash.xxh3_64()
    for part in (kind.encode(), method.encode(), path.encode(), caller.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.intdigest()


def suspect_fingerprint(call: Call, outcome: Outcome) -> int | None:
    """Return the fingerprint of a call if its next attempt must be routed as a suspect.

    Return None when the outcome gives no reason to suspect the call.
    """
    match outcome:
        case Unknown(reason=UnknownReason.LOST_UPSTREAM | UnknownReason.TRUNCATED):
            return fingerprint_of(call.kind, call.method, call.path, call.body)
        case NotRun(reason=NotRunReason.QUARANTINED):
            return fingerprint_of(call.kind, call.method, call.path, call.body)
    return None
