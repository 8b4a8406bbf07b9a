"""The view of the upstream instances that have announced themselves."""

from dataclasses import dataclass, replace
from enum import StrEnum


class InstanceState(StrEnum):
    """Say whether an instance takes new work."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Announcement:
    """Describe one incarnation of an instance, as its own node wrote it.

    ``address`` is the ``ip:port`` of the node's link listener. ``sequence`` grows with each
    announcement of the same incarnation; ``started_at`` (seconds of wall time) orders incarnations.
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

    @property
    def order(self) -> tuple[float, str, int]:
        """Return the sort key by which later announcements replace earlier ones."""
        return (self.started_at, self.incarnation, self.sequence)


class MembershipView:
    """Merge announcements from the platform and from peers."""

    __slots__ = ("by_instance",)

    def __init__(self):
        self.by_instance: dict[str, Announcement] = {}

    def merge(self, announcement: Announcement) -> bool:
        """Take in an announcement and return whether it was news."""
        known = self.by_instance.get(announcement.instance)
        if known is not None and known.order >= announcement.order:
            return False
        self.by_instance[announcement.instance] = announcement
        return True

    def serving(self, service: str) -> list[Announcement]:
        """Return the instances of a service that take new work."""
        return [
            announcement
            for announcement in self.by_instance.values()
            if announcement.service == service and announcement.state is InstanceState.SERVING
        ]


def drained(announcement: Announcement) -> Announcement:
    """Return the announcement that says an instance is leaving."""
    return replace(announcement, sequence=announcement.sequence + 1, state=InstanceState.DRAINING)
