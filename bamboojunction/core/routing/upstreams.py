"""The upstreams of one service as a router knows them."""

import math
import random
from dataclasses import dataclass, field

from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.routing.ejection import Health, Standing
from bamboojunction.core.routing.estimates import ServiceEstimates, UpstreamEstimates

# One-way and return together, until the first answer tells better.
NEAR_NETWORK_SECONDS = 0.0005
FAR_NETWORK_SECONDS = 0.003
OTHER_REGION_NETWORK_SECONDS = 0.06
DUE_SCAN_SECONDS = 0.05


@dataclass(slots=True)
class KnownUpstream:
    """Hold everything that a router knows of one incarnation of an instance."""

    announcement: Announcement
    near: bool
    estimates: UpstreamEstimates
    health: Health = field(default_factory=Health)


class RandomList:
    """Hold upstreams so that adding, removing and drawing cost the same at any length."""

    __slots__ = ("_index_by_instance", "entries")

    def __init__(self):
        self.entries: list[KnownUpstream] = []
        self._index_by_instance: dict[str, int] = {}

    def add(self, upstream: KnownUpstream) -> None:
        """Add an upstream that is not in the list."""
        self._index_by_instance[upstream.announcement.instance] = len(self.entries)
        self.entries.append(upstream)

    def discard(self, instance: str) -> None:
        """Remove an instance if it is there; the last one takes its place."""
        index = self._index_by_instance.pop(instance, None)
        if index is None:
            return
        last = self.entries.pop()
        if index < len(self.entries):
            self.entries[index] = last
            self._index_by_instance[last.announcement.instance] = index

    def draw(self, count: int, rng: random.Random) -> list[KnownUpstream]:
        """Return upstreams at random, all of them when there are no more.

        One of many may be drawn twice, which leaves one less to compare.
        """
        entries = self.entries
        length = len(entries)
        if length > count:
            draw = rng.random
            return [entries[int(draw() * length)] for _ in range(count)]
        if length < 2:
            return entries
        start = int(rng.random() * length)
        return entries[start:] + entries[:start]


class ServiceUpstreams:
    """Sort the upstreams of a service into those that take calls, near and far, and the rest."""

    __slots__ = ("_next_due_at", "by_instance", "estimates", "far", "near", "out")

    def __init__(self):
        self.by_instance: dict[str, KnownUpstream] = {}
        self.near = RandomList()
        self.far = RandomList()
        self.out: dict[str, KnownUpstream] = {}
        self.estimates = ServiceEstimates()
        self._next_due_at = math.inf

    def update(self, instances: list[Announcement], data_centre: str, region: str) -> None:
        """Replace the instances; a new incarnation starts without a past."""
        wanted = {entry.instance: entry for entry in instances}
        for instance in [name for name in self.by_instance if name not in wanted]:
            self._remove(instance)
        for announcement in instances:
            known = self.by_instance.get(announcement.instance)
            if known is None:
                self._add(announcement, data_centre, region)
            elif known.announcement.incarnation != announcement.incarnation:
                self._remove(announcement.instance)
                self._add(announcement, data_centre, region)
            else:
                known.announcement = announcement

    def place(self, upstream: KnownUpstream) -> None:
        """Move an upstream to the list that its standing asks for."""
        instance = upstream.announcement.instance
        home = self.near if upstream.near else self.far
        if upstream.health.standing is Standing.ACTIVE:
            if self.out.pop(instance, None) is not None:
                home.add(upstream)
            return
        if instance not in self.out:
            home.discard(instance)
            self.out[instance] = upstream
        self._next_due_at = min(self._next_due_at, upstream.health.due_at)

    def due_probe(self, now: float) -> KnownUpstream | None:
        """Return an ejected upstream that may take one attempt, if any is due."""
        if now < self._next_due_at:
            return None
        due = [upstream for upstream in self.out.values() if upstream.health.probe_due(now)]
        later = (
            upstream.health.due_at
            for upstream in self.out.values()
            if upstream.health.standing is Standing.EJECTED and not upstream.health.probing
        )
        next_due_at = min(later, default=math.inf)
        self._next_due_at = max(now + DUE_SCAN_SECONDS, next_due_at)
        return due[0] if due else None

    def may_eject_faulty(self) -> bool:
        """Return whether faults may take one more out: at least half stay in."""
        return (len(self.out) + 1) * 2 <= len(self.by_instance)

    def _add(self, announcement: Announcement, data_centre: str, region: str) -> None:
        near = announcement.data_centre == data_centre
        if near:
            network = NEAR_NETWORK_SECONDS
        elif announcement.region == region:
            network = FAR_NETWORK_SECONDS
        else:
            network = OTHER_REGION_NETWORK_SECONDS
        upstream = KnownUpstream(announcement, near, UpstreamEstimates(self.estimates, network))
        self.by_instance[announcement.instance] = upstream
        (self.near if near else self.far).add(upstream)

    def _remove(self, instance: str) -> None:
        del self.by_instance[instance]
        self.near.discard(instance)
        self.far.discard(instance)
        self.out.pop(instance, None)
