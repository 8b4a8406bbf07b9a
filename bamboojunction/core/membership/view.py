"""The view of the upstream instances that have announced themselves."""

import struct
from dataclasses import dataclass, replace
from enum import StrEnum

import xxhash

# The platform's collection of announcements, an object for each instance.
COLLECTION = "upstreams"
BUCKETS = 64
# A superseding start time is this much later than the one it replaces.
START_STEP_SECONDS = 0.001
_PACKED_HASHES = struct.Struct(f">{BUCKETS}I")


class InstanceState(StrEnum):
    """Say whether an instance takes new work."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Announcement:
    """Describe one incarnation of an instance, as its own node wrote it.

    ``address`` is the ``ip:port`` of the node's link listener and ``caller_address`` that of its
    face towards callers. ``sequence`` grows with each announcement of the same incarnation;
    ``started_at`` (seconds of wall time) orders incarnations.
    """

    instance: str
    incarnation: str
    service: str
    data_centre: str
    region: str
    address: str
    started_at: float
    sequence: int = 0
    state: InstanceState = InstanceState.SERVING
    caller_address: str = ""

    @property
    def order(self) -> tuple[float, str, int]:
        """Return the sort key by which later announcements replace earlier ones."""
        return (self.started_at, self.incarnation, self.sequence)

    @property
    def is_gone(self) -> bool:
        """Return whether the instance has left or was removed."""
        return self.state is InstanceState.GONE


class MembershipView:
    """Merge announcements from the platform and from peers.

    ``hashes`` holds a hash for each bucket of instances, kept up to date with every change. Gone
    instances are not part of them, so that two views agree however long each remembers.
    """

    __slots__ = (
        "_changed_services",
        "_hashed_revision",
        "_total_hash",
        "by_instance",
        "hashes",
        "revision",
    )

    def __init__(self):
        self.by_instance: dict[str, Announcement] = {}
        self.hashes = [0] * BUCKETS
        self.revision = 0
        self._changed_services: set[str] = set()
        self._hashed_revision = -1
        self._total_hash = 0

    def merge(self, announcement: Announcement) -> bool:
        """Take in an announcement and return whether it was news."""
        known = self.by_instance.get(announcement.instance)
        if known is not None and known.order >= announcement.order:
            return False
        self._replace(known, announcement)
        self.by_instance[announcement.instance] = announcement
        return True

    def forget(self, instance: str) -> None:
        """Drop an instance."""
        known = self.by_instance.pop(instance, None)
        self._replace(known, None)

    def serving(self, service: str) -> list[Announcement]:
        """Return the instances of a service that take new work."""
        return [
            announcement
            for announcement in self.by_instance.values()
            if announcement.service == service and announcement.state is InstanceState.SERVING
        ]

    def present(self) -> list[Announcement]:
        """Return the instances that are not gone."""
        return [entry for entry in self.by_instance.values() if not entry.is_gone]

    def take_changed_services(self) -> set[str]:
        """Return the services whose instances changed since the last call."""
        changed = self._changed_services
        self._changed_services = set()
        return changed

    def total_hash(self) -> int:
        """Return one hash of all instances that are not gone."""
        if self._hashed_revision != self.revision:
            self._hashed_revision = self.revision
            self._total_hash = xxhash.xxh3_64_intdigest(_PACKED_HASHES.pack(*self.hashes)) >> 1
        return self._total_hash

    def in_buckets(self, buckets: frozenset[int]) -> list[Announcement]:
        """Return the instances of some buckets that are not gone."""
        return [
            entry
            for entry in self.by_instance.values()
            if not entry.is_gone and bucket_of(entry.instance) in buckets
        ]

    def _replace(self, old: Announcement | None, new: Announcement | None) -> None:
        self.revision += 1
        for entry in (old, new):
            if entry is not None:
                self._changed_services.add(entry.service)
            if entry is not None and not entry.is_gone:
                self.hashes[bucket_of(entry.instance)] ^= _entry_hash(entry)


def bucket_of(instance: str) -> int:
    """Return the bucket that an instance belongs to."""
    return xxhash.xxh32_intdigest(instance.encode()) % BUCKETS


def drained(announcement: Announcement) -> Announcement:
    """Return the announcement that says an instance is leaving."""
    return with_state(announcement, InstanceState.DRAINING)


def with_state(announcement: Announcement, state: InstanceState) -> Announcement:
    """Return the next announcement of the same incarnation, in a state."""
    return replace(announcement, sequence=announcement.sequence + 1, state=state)


def superseding(announcement: Announcement, other: Announcement) -> Announcement:
    """Return an announcement that is later than another one of the same instance.

    The clock of a replaced instance may be behind the clock of the one that it replaces.
    """
    if announcement.incarnation == other.incarnation:
        sequence = max(announcement.sequence, other.sequence) + 1
        return replace(announcement, sequence=sequence)
    started_at = max(announcement.started_at, other.started_at + START_STEP_SECONDS)
    return replace(announcement, started_at=started_at)


def _entry_hash(entry: Announcement) -> int:
    text = f"{entry.instance}|{entry.started_at!r}|{entry.incarnation}|{entry.sequence}"
    return xxhash.xxh32_intdigest(text.encode())
