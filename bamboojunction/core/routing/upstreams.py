"""The upstreams of a service with the estimates and health that the router keeps on them."""

import math
import random
from dataclasses import dataclass, field

from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.routing.ejection import HealthState, UpstreamHealth
from bamboojunction.core.routing.estimates import ServiceEstimates, UpstreamEstimates

# Round-trip times assumed for an upstream until its first answer has been measured.
LOCAL_NETWORK_SECONDS = 0.0005
SAME_REGION_NETWORK_SECONDS = 0.003
OTHER_REGION_NETWORK_SECONDS = 0.06
PROBE_SCAN_INTERVAL_SECONDS = 0.05


@dataclass(slots=True)
class KnownUpstream:
    """One incarnation of an upstream instance with its estimates and health."""

    announcement: Announcement
    is_local: bool
    estimates: UpstreamEstimates
    health: UpstreamHealth = field(default_factory=UpstreamHealth)


class SamplingList:
    """A list of upstreams that adds, removes and samples them in constant time."""

    __slots__ = ("_index_by_instance", "entries")

    def __init__(self):
        self.entries: list[KnownUpstream] = []
        self._index_by_instance: dict[str, int] = {}

    def add(self, upstream: KnownUpstream) -> None:
        """Add an upstream that is not in the list."""
        self._index_by_instance[upstream.announcement.instance] = len(self.entries)
        self.entries.append(upstream)

    def discard(self, instance: str) -> None:
        """Remove an instance if it is in the list; the last entry moves to its position."""
        index = self._index_by_instance.pop(instance, None)
        if index is None:
            return
        last = self.entries.pop()
        if index < len(self.entries):
            self.entries[index] = last
            self._index_by_instance[last.announcement.instance] = index

    def sample(self, count: int, rng: random.Random) -> list[KnownUpstream]:
        """Return ``count`` upstreams drawn at random with replacement.

        If the list has at most ``count`` entries, all are returned once, starting at a random one.
        """
        entries = self.entries
        length = len(entries)
        if length > count:
            uniform = rng.random
            return [entries[int(uniform() * length)] for _ in range(count)]
        if length < 2:
            return entries
        start = int(rng.random() * length)
        return entries[start:] + entries[:start]


class ServiceUpstreams:
    """The upstreams of a service: available ones by locality, and ejected or draining ones."""

    __slots__ = ("_next_probe_at", "by_instance", "estimates", "local", "remote", "unavailable")

    def __init__(self):
        self.by_instance: dict[str, KnownUpstream] = {}
        self.local = SamplingList()
        self.remote = SamplingList()
        self.unavailable: dict[str, KnownUpstream] = {}
        self.estimates = ServiceEstimates()
        self._next_probe_at = math.inf

    def update(self, instances: list[Announcement], data_centre: str, region: str) -> None:
        """Replace the instances; a new incarnation starts with fresh estimates and health.

        ``data_centre`` and ``region`` are those of this node.
        """
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

    def reassign(self, upstream: KnownUpstream) -> None:
        """Move an upstream to the collection that matches its health state."""
        instance = upstream.announcement.instance
        candidates = self.local if upstream.is_local else self.remote
        if upstream.health.state is HealthState.ACTIVE:
            if self.unavailable.pop(instance, None) is not None:
                candidates.add(upstream)
            return
        if instance not in self.unavailable:
            candidates.discard(instance)
            self.unavailable[instance] = upstream
        self._next_probe_at = min(self._next_probe_at, upstream.health.next_probe_at)

    def next_probe(self, now: float) -> KnownUpstream | None:
        """Return an ejected upstream for which a probe is due, or None."""
        if now < self._next_probe_at:
            return None
        due = [
            upstream for upstream in self.unavailable.values() if upstream.health.is_probe_due(now)
        ]
        probe_times = (
            upstream.health.next_probe_at
            for upstream in self.unavailable.values()
            if upstream.health.state is HealthState.EJECTED and not upstream.health.is_probing
        )
        next_probe_at = min(probe_times, default=math.inf)
        self._next_probe_at = max(now + PROBE_SCAN_INTERVAL_SECONDS, next_probe_at)
        return due[0] if due else None

    def may_eject_on_failures(self) -> bool:
        """Return whether the failure rate may eject another upstream; at least half must stay."""
        return (len(self.unavailable) + 1) * 2 <= len(self.by_instance)

    def _add(self, announcement: Announcement, data_centre: str, region: str) -> None:
        is_local = announcement.data_centre == data_centre
        if is_local:
            network_seconds = LOCAL_NETWORK_SECONDS
        elif announcement.region == region:
            network_seconds = SAME_REGION_NETWORK_SECONDS
        else:
            network_seconds = OTHER_REGION_NETWORK_SECONDS
        upstream = KnownUpstream(
            announcement, is_local, UpstreamEstimates(self.estimates, network_seconds)
        )
        self.by_instance[announcement.instance] = upstream
        (self.local if is_local else self.remote).add(upstream)

    def _remove(self, instance: str) -> None:
        del self.by_instance[instance]
        self.local.discard(instance)
        self.remote.discard(instance)
        self.unavailable.pop(instance, None)
