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

    __slots__ = ("_departed", "_service", "instance_id", "is_serving", "latest", "on_change")

    def __init__(self, service: str):
        self._service = service
        self._departed: set[str] = set()
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
        if instance_id != self.instance_id:
            return Change.NONE
        was_serving = self.is_serving
        self.is_serving = False
        self._departed = {instance_id}
        return Change.GONE if was_serving else Change.NONE

    def _beat(self, beat: Heartbeat) -> Change:
        if beat.service != self._service:
            return Change.NONE
        known = self.latest
        is_new = known is None or beat.started_at > known.started_at
        if not is_new:
            same = beat.started_at == known.started_at and beat.instance_id == known.instance_id
            if not same or beat.sequence <= known.sequence:
                return Change.NONE
        elif known is None and beat.instance_id in self._departed:
            return Change.NONE
        was_serving = self.is_serving
        self.latest = beat
        self.instance_id = beat.instance_id
        if is_new:
            self._departed.clear()
        self.is_serving = not beat.is_draining and beat.instance_id not in self._departed
        if is_new:
            return Change.STARTED if self.is_serving else Change.DRAINING
        if was_serving and not self.is_serving:
            return Change.DRAINING
        return Change.STARTED if self.is_serving and not was_serving else Change.NONE
