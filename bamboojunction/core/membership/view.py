"""The membership view: the latest announcement of every upstream instance."""

import struct
from dataclasses import dataclass, replace
from enum import StrEnum

import xxhash

# The platform collection of the announcements, with one object for each instance.
ANNOUNCEMENT_COLLECTION = "upstreams"
BUCKET_COUNT = 64
# An incarnation whose clock is behind supersedes another by announcing a start time this much later
# than the other's.
START_TIME_STEP_SECONDS = 0.001
_BUCKET_HASHES_FORMAT = struct.Struct(f">{BUCKET_COUNT}I")


class InstanceState(StrEnum):
    """Whether an instance accepts new work."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Announcement:
    """The description of one incarnation of an instance, as published by its own node.

    ``address`` is the ``ip:port`` of the node's listener for links to other nodes and
    ``caller_address`` that of its listener for callers. ``sequence`` increases with each
    announcement of the same incarnation; ``started_at`` (Unix time in seconds) orders incarnations.
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
        """Return the sort key; an announcement replaces those of its instance with a lower key."""
        return (self.started_at, self.incarnation, self.sequence)

    @property
    def is_gone(self) -> bool:
        """Return whether the instance has left or was removed."""
        return self.state is InstanceState.GONE


class MembershipView:
    """The instances known from announcements read from the platform or received from peers.

    ``bucket_hashes`` holds one hash for each bucket of instances and is updated with every change.
    Gone instances are left out, so that two views agree even if they keep tombstones of different
    age.
    """

    __slots__ = (
        "_changed_services",
        "_total_hash",
        "_total_hash_revision",
        "bucket_hashes",
        "by_instance",
        "revision",
    )

    def __init__(self):
        self.by_instance: dict[str, Announcement] = {}
        self.bucket_hashes = [0] * BUCKET_COUNT
        self.revision = 0
        self._changed_services: set[str] = set()
        self._total_hash_revision = -1
        self._total_hash = 0

    def merge(self, announcement: Announcement) -> bool:
        """Merge an announcement and return whether it was newer than the known one."""
        known = self.by_instance.get(announcement.instance)
        if known is not None and known.order >= announcement.order:
            return False
        self._apply_change(known, announcement)
        self.by_instance[announcement.instance] = announcement
        return True

    def forget(self, instance: str) -> None:
        """Delete an instance from the view, without a tombstone."""
        known = self.by_instance.pop(instance, None)
        self._apply_change(known, None)

    def serving(self, service: str) -> list[Announcement]:
        """Return the instances of a service that accept new work."""
        return [
            announcement
            for announcement in self.by_instance.values()
            if announcement.service == service and announcement.state is InstanceState.SERVING
        ]

    def present(self) -> list[Announcement]:
        """Return the instances that are not gone."""
        return [entry for entry in self.by_instance.values() if not entry.is_gone]

    def pop_changed_services(self) -> set[str]:
        """Return the services whose instances changed since the last call of this method."""
        changed = self._changed_services
        self._changed_services = set()
        return changed

    def total_hash(self) -> int:
        """Return one hash of all instances that are not gone, in 63 bits."""
        if self._total_hash_revision != self.revision:
            self._total_hash_revision = self.revision
            self._total_hash = (
                xxhash.xxh3_64_intdigest(_BUCKET_HASHES_FORMAT.pack(*self.bucket_hashes)) >> 1
            )
        return self._total_hash

    def in_buckets(self, buckets: frozenset[int]) -> list[Announcement]:
        """Return the instances of the given buckets that are not gone."""
        return [
            entry
            for entry in self.by_instance.values()
            if not entry.is_gone and bucket_of(entry.instance) in buckets
        ]

    def _apply_change(self, old: Announcement | None, new: Announcement | None) -> None:
        self.revision += 1
        for entry in (old, new):
            if entry is not None:
                self._changed_services.add(entry.service)
            if entry is not None and not entry.is_gone:
                self.bucket_hashes[bucket_of(entry.instance)] ^= _entry_hash(entry)


def bucket_of(instance: str) -> int:
    """Return the number of the bucket to which an instance belongs."""
    return xxhash.xxh32_intdigest(instance.encode()) % BUCKET_COUNT


def with_draining_state(announcement: Announcement) -> Announcement:
    """Return the next announcement of the same incarnation, in the draining state."""
    return with_state(announcement, InstanceState.DRAINING)


def with_state(announcement: Announcement, state: InstanceState) -> Announcement:
    """Return the next announcement of the same incarnation, in the given state."""
    return replace(announcement, sequence=announcement.sequence + 1, state=state)


def superseding(announcement: Announcement, other: Announcement) -> Announcement:
    """Return ``announcement`` with an order above that of another one of the same instance.

    The start time is raised if necessary, since the clock of the new incarnation may be behind that
    of the incarnation that it replaces.
    """
    if announcement.incarnation == other.incarnation:
        sequence = max(announcement.sequence, other.sequence) + 1
        return replace(announcement, sequence=sequence)
    started_at = max(announcement.started_at, other.started_at + START_TIME_STEP_SECONDS)
    return replace(announcement, started_at=started_at)


def _entry_hash(entry: Announcement) -> int:
    text = f"{entry.instance}|{entry.started_at!r}|{entry.incarnation}|{entry.sequence}"
    return xxhash.xxh32_intdigest(text.encode())
