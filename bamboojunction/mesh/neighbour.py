"""What a node knows of the upstream beside it, from the upstream's own reports."""

from collections.abc import Callable
from enum import Enum, auto

from bamboojunction.platform.heartbeats import Departure, Heartbeat


class Change(Enum):
    """Say what a report changed."""

    NONE = auto()
    STARTED = auto()
    DRAINING = auto()
    GONE = auto()


class Neighbour:
    """Follow the incarnations of the upstream beside this node.

    The latest start wins, then the highest sequence number; older reports change nothing.
    """

    __slots__ = (
        "_service",
        "_started_at_by_departed",
        "instance_id",
        "is_serving",
        "latest",
        "on_change",
    )

    def __init__(self, service: str):
        self._service = service
        self._started_at_by_departed: dict[str, int | None] = {}
        self.latest: Heartbeat | None = None
        self.instance_id = ""
        self.is_serving = False
        self.on_change: Callable[[Change], None] = lambda change: None

    @property
    def is_known(self) -> bool:
        """Return whether the upstream has reported."""
        return self.latest is not None

    def take(self, report: Heartbeat | Departure) -> Change:
        """Take in a report and return what it changed."""
        match report:
            case Departure(instance_id=instance_id):
                change = self._depart(instance_id)
            case Heartbeat():
                change = self._beat(report)
        if change is not Change.NONE:
            self.on_change(change)
        return change

    def misdirected(self) -> None:
        """Forget the upstream: another instance answers at its address."""
        if self.is_serving:
            self.is_serving = False
            self.latest = None
            self.on_change(Change.GONE)

    def _depart(self, instance_id: str) -> Change:
        is_known = self.latest is not None and instance_id == self.instance_id
        self._started_at_by_departed[instance_id] = self.latest.started_at if is_known else None
        if not is_known or not self.is_serving:
            return Change.NONE
        self.is_serving = False
        return Change.GONE

    def _has_departed(self, beat: Heartbeat) -> bool:
        """Return whether the incarnation that reports has said that it stops.

        When its start was unknown then, the first heartbeat that follows tells it.
        """
        if beat.instance_id not in self._started_at_by_departed:
            return False
        started_at = self._started_at_by_departed[beat.instance_id]
        if started_at is None:
            self._started_at_by_departed[beat.instance_id] = started_at = beat.started_at
        return beat.started_at <= started_at

    def _beat(self, beat: Heartbeat) -> Change:
        if beat.service != self._service or not self._is_later(beat):
            return Change.NONE
        is_new = self.latest is None or beat.started_at > self.latest.started_at
        was_serving = self.is_serving
        self.latest = beat
        self.instance_id = beat.instance_id
        self.is_serving = not beat.is_draining and not self._has_departed(beat)
        if self.is_serving:
            return Change.STARTED if is_new or not was_serving else Change.NONE
        return Change.DRAINING if was_serving else Change.NONE

    def _is_later(self, beat: Heartbeat) -> bool:
        known = self.latest
        if known is None or beat.started_at > known.started_at:
            return True
        is_same = beat.started_at == known.started_at and beat.instance_id == known.instance_id
        return is_same and beat.sequence > known.sequence
