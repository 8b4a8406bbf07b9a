"""Who watches whom: a ring of the instances of each data centre, in the order of their hashes."""

import bisect

import xxhash

from bamboojunction.core.membership.view import MembershipView

# So many successors on the ring are watched, and so many predecessors watch.
MONITORS = 3
# So many instances of a data centre wait for changes at the platform on behalf of the others.
PLATFORM_WATCHERS = 6


class Ring:
    """Order the present instances of one data centre; recomputed when the view changes."""

    __slots__ = ("_data_centre", "_places", "_revision", "_successors", "_view")

    def __init__(self, view: MembershipView, data_centre: str):
        self._view = view
        self._data_centre = data_centre
        self._revision = -1
        self._places: list[tuple[int, str]] = []
        self._successors: dict[str, list[str]] = {}

    def instances(self) -> list[str]:
        """Return all instances in the order of the ring."""
        return [instance for _, instance in self._current()]

    def successors(self, instance: str) -> list[str]:
        """Return the others in the order in which they follow an instance."""
        places = self._current()
        if instance not in self._successors:
            place = bisect.bisect_right(places, (_hash(instance), instance))
            names = [name for _, name in places[place:] + places[:place] if name != instance]
            self._successors[instance] = names
        return self._successors[instance]

    def monitored_by(self, instance: str) -> list[str]:
        """Return the instances that an instance watches."""
        return self.successors(instance)[:MONITORS]

    def monitors_of(self, instance: str) -> list[str]:
        """Return the instances that watch an instance."""
        return self.successors(instance)[-MONITORS:]

    def watches_platform(self, instance: str) -> bool:
        """Return whether an instance is one of those that wait for changes at the platform."""
        return instance in self.instances()[:PLATFORM_WATCHERS]

    def _current(self) -> list[tuple[int, str]]:
        if self._revision != self._view.revision:
            self._revision = self._view.revision
            self._successors.clear()
            self._places = sorted(
                (_hash(entry.instance), entry.instance)
                for entry in self._view.present()
                if entry.data_centre == self._data_centre
            )
        return self._places


def _hash(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())
