"""Refusal of requests that crash upstreams."""

from dataclasses import dataclass

import xxhash

CRASHES_TO_BAN = 2
BAN_SECONDS = 300.0


@dataclass(slots=True, frozen=True)
class Ban:
    """Refuse a fingerprint until ``until``, in seconds on the local monotonic clock."""

    fingerprint: int
    until: float


def fingerprint_of(kind: str, method: str, path: str, body: bytes) -> int:
    """Return the fingerprint of a request: the same request has the same one at every node."""
    digest = xxhash.xxh3_64(kind.encode())
    digest.update(method.encode())
    digest.update(path.encode())
    digest.update(body)
    return digest.intdigest()


class PoisonGuard:
    """Count the crashes at which each fingerprint was in flight and ban repeated suspects."""

    __slots__ = ("_crashes_by_fingerprint", "bans_by_fingerprint")

    def __init__(self):
        self._crashes_by_fingerprint: dict[int, int] = {}
        self.bans_by_fingerprint: dict[int, Ban] = {}

    def crashed(self, in_flight: list[int], now: float) -> list[Ban]:
        """Count a crash against the calls that were in flight and return the new bans."""
        return [ban for suspect in in_flight if (ban := self._suspect(suspect, now))]

    def learn(self, ban: Ban) -> bool:
        """Take in a ban from a peer and return whether it was news."""
        known = self.bans_by_fingerprint.get(ban.fingerprint)
        if known is not None and known.until >= ban.until:
            return False
        self.bans_by_fingerprint[ban.fingerprint] = ban
        return True

    def is_banned(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is refused now."""
        ban = self.bans_by_fingerprint.get(fingerprint)
        return ban is not None and ban.until > now

    def _suspect(self, fingerprint: int, now: float) -> Ban | None:
        crashes = self._crashes_by_fingerprint.get(fingerprint, 0) + 1
        self._crashes_by_fingerprint[fingerprint] = crashes
        if crashes < CRASHES_TO_BAN:
            return None
        ban = Ban(fingerprint, now + BAN_SECONDS)
        self.learn(ban)
        return ban
