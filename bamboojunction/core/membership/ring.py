"""A hash ring of the instances of a data centre, which determines who monitors whom."""

import bisect

import xxhash

from bamboojunction.core.membership.view import MembershipView

# Each instance monitors this many successors on the ring, so as many predecessors monitor it.
MONITORS_PER_INSTANCE = 3
# This many instances of each ring watch the platform for changes on behalf of the others.
PLATFORM_WATCHERS_PER_RING = 6


class Ring:
    """The present instances of one data centre, ordered by hash; follows changes of the view.

    ``watchers_max`` of them watch the platform for changes on behalf of the others.
    """

    __slots__ = (
        "_data_centre",
        "_sorted_positions",
        "_successors",
        "_view",
        "_view_revision",
        "_watchers_max",
    )

    def __init__(
        self,
        view: MembershipView,
        data_centre: str,
        watchers_max: int = PLATFORM_WATCHERS_PER_RING,
    ):
        self._view = view
        self._data_centre = data_centre
        self._watchers_max = watchers_max
        self._view_revision = -1
        self._sorted_positions: list[tuple[int, str]] = []
        self._successors: dict[str, list[str]] = {}

    def instances(self) -> list[str]:
        """Return all instances in ring order."""
        return [instance for _, instance in self._positions()]

    def successors(self, instance: str) -> list[str]:
        """Return the other instances in ring order, starting after an instance."""
        positions = self._positions()
        if instance not in self._successors:
            index = bisect.bisect_right(positions, (_hash(instance), instance))
            names = [name for _, name in positions[index:] + positions[:index] if name != instance]
            self._successors[instance] = names
        return self._successors[instance]

    def monitored_by(self, instance: str) -> list[str]:
        """Return the instances that an instance monitors."""
        return self.successors(instance)[:MONITORS_PER_INSTANCE]

    def monitors_of(self, instance: str) -> list[str]:
        """Return the instances that monitor an instance."""
        return self.successors(instance)[-MONITORS_PER_INSTANCE:]

    def watches_platform(self, instance: str) -> bool:
        """Return whether an instance is one of those that watch the platform for changes."""
        return instance in self.instances()[: self._watchers_max]

    def _positions(self) -> list[tuple[int, str]]:
        if self._view_revision != self._view.revision:
            self._view_revision = self._view.revision
            self._successors.clear()
            self._sorted_positions = sorted(
                (_hash(entry.instance), entry.instance)
                for entry in self._view.present()
                if entry.data_centre == self._data_centre
            )
        return self._sorted_positions


def _hash(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())
