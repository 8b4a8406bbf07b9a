"""The state of the local upstream, derived from its own heartbeats and departures."""

from collections.abc import Callable
from enum import Enum, auto

from bamboojunction.platform.heartbeats import Departure, Heartbeat


class UpstreamChange(Enum):
    """How a report changed the state of the local upstream."""

    NONE = auto()
    STARTED = auto()
    DRAINING = auto()
    GONE = auto()


class LocalUpstream:
    """The state of the upstream that runs beside this node, across its restarts.

    A heartbeat takes effect if its start time is later than the current one's, or if it is of the
    same incarnation and has a higher sequence number. Other heartbeats are ignored.
    """

    __slots__ = (
        "_service",
        "_started_at_by_departed_id",
        "instance_id",
        "is_serving",
        "latest_heartbeat",
        "on_change",
    )

    def __init__(self, service: str):
        self._service = service
        self._started_at_by_departed_id: dict[str, int | None] = {}
        self.latest_heartbeat: Heartbeat | None = None
        self.instance_id = ""
        self.is_serving = False
        self.on_change: Callable[[UpstreamChange], None] = lambda change: None

    @property
    def is_known(self) -> bool:
        """Return whether a heartbeat of the upstream is known."""
        return self.latest_heartbeat is not None

    def apply(self, report: Heartbeat | Departure) -> UpstreamChange:
        """Apply a report and return the change that it made."""
        match report:
            case Departure(instance_id=instance_id):
                change = self._apply_departure(instance_id)
            case Heartbeat():
                change = self._apply_heartbeat(report)
        if change is not UpstreamChange.NONE:
            self.on_change(change)
        return change

    def handle_misdirected_call(self) -> None:
        """Mark the upstream as gone, because another instance responds at its address."""
        if self.is_serving:
            self.is_serving = False
            self.latest_heartbeat = None
            self.on_change(UpstreamChange.GONE)

    def _apply_departure(self, instance_id: str) -> UpstreamChange:
        is_known = self.latest_heartbeat is not None and instance_id == self.instance_id
        self._started_at_by_departed_id[instance_id] = (
            self.latest_heartbeat.started_at if is_known else None
        )
        if not is_known or not self.is_serving:
            return UpstreamChange.NONE
        self.is_serving = False
        return UpstreamChange.GONE

    def _has_departed(self, heartbeat: Heartbeat) -> bool:
        """Return whether the reporting incarnation has already announced its departure.

        If its start time was unknown at the departure, the first later heartbeat supplies it.
        """
        if heartbeat.instance_id not in self._started_at_by_departed_id:
            return False
        started_at = self._started_at_by_departed_id[heartbeat.instance_id]
        if started_at is None:
            self._started_at_by_departed_id[heartbeat.instance_id] = started_at = (
                heartbeat.started_at
            )
        return heartbeat.started_at <= started_at

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> UpstreamChange:
        if heartbeat.service != self._service or not self._is_newer(heartbeat):
            return UpstreamChange.NONE
        is_new = (
            self.latest_heartbeat is None or heartbeat.started_at > self.latest_heartbeat.started_at
        )
        was_serving = self.is_serving
        self.latest_heartbeat = heartbeat
        self.instance_id = heartbeat.instance_id
        self.is_serving = not heartbeat.is_draining and not self._has_departed(heartbeat)
        if self.is_serving:
            return UpstreamChange.STARTED if is_new or not was_serving else UpstreamChange.NONE
        return UpstreamChange.DRAINING if was_serving else UpstreamChange.NONE

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        current = self.latest_heartbeat
        if current is None or heartbeat.started_at > current.started_at:
            return True
        is_same_incarnation = (
            heartbeat.started_at == current.started_at
            and heartbeat.instance_id == current.instance_id
        )
        return is_same_incarnation and heartbeat.sequence > current.sequence
