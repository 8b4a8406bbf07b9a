"""The state of the local upstream, derived from its own heartbeats and departures."""

from collections.abc import Callable, Iterable
from enum import Enum, auto

from bamboojunction.core.membership.departures import DepartureLog, UpstreamDeparture
from bamboojunction.core.membership.incarnations import Incarnation, IncarnationOrder
from bamboojunction.platform.heartbeats import Departure, Heartbeat


class UpstreamChange(Enum):
    """How a report changed the state of the local upstream."""

    NONE = auto()
    STARTED = auto()
    DRAINING = auto()
    GONE = auto()


class LocalUpstream:
    """The state of the upstream that runs beside this node, across its restarts.

    A heartbeat takes effect if ``IncarnationOrder`` accepts it. Other heartbeats are ignored, and
    so are those that an incarnation made before it reported its departure. A report that the
    upstream drains takes effect in any case if its id is the current one and the report is not a
    late one of the current incarnation: the clock of the machine may have jumped back before the
    upstream started again.

    A node that is not at its first start may have acknowledged departures before. Until
    ``restore_departures`` is called, the latest heartbeat is therefore only kept; reports that the
    upstream leaves take effect at once.
    """

    __slots__ = (
        "_departures",
        "_held_heartbeat",
        "_incarnations",
        "_service",
        "are_departures_known",
        "instance_id",
        "is_serving",
        "latest_heartbeat",
        "on_change",
    )

    def __init__(self, service: str, are_departures_known: bool = True):
        self._service = service
        self.are_departures_known = are_departures_known
        self._departures = DepartureLog()
        self._incarnations = IncarnationOrder()
        self._held_heartbeat: Heartbeat | None = None
        self.latest_heartbeat: Heartbeat | None = None
        self.instance_id = ""
        self.is_serving = False
        self.on_change: Callable[[UpstreamChange], None] = lambda change: None

    @property
    def is_known(self) -> bool:
        """Return whether a heartbeat of the upstream is known."""
        return self.latest_heartbeat is not None

    @property
    def departures(self) -> tuple[UpstreamDeparture, ...]:
        """Return the departures that the node has acknowledged."""
        return self._departures.departures()

    def apply(self, report: Heartbeat | Departure) -> UpstreamChange:
        """Apply a report and return the change that it made."""
        match report:
            case Departure(instance_id=instance_id):
                change = self._apply_departure(instance_id)
                # The departure of an unknown incarnation has to be published as well.
                self.on_change(change)
                return change
            case Heartbeat(is_draining=False) if not self.are_departures_known:
                self._hold(report)
                return UpstreamChange.NONE
            case Heartbeat():
                change = self._apply_heartbeat(report)
        if change is not UpstreamChange.NONE:
            self.on_change(change)
        return change

    def restore_departures(self, departures: Iterable[UpstreamDeparture]) -> None:
        """Take over the departures that an earlier process of the node has acknowledged."""
        self._departures.restore(departures)
        self.are_departures_known = True
        held, self._held_heartbeat = self._held_heartbeat, None
        if held is not None:
            self.apply(held)
        if self.is_serving and self._has_left(self.latest_heartbeat):
            self.is_serving = False
            self.on_change(UpstreamChange.GONE)

    def handle_misdirected_call(self) -> None:
        """Mark the upstream as gone, because another instance responds at its address."""
        if self.is_serving:
            self.is_serving = False
            self.latest_heartbeat = None
            self._incarnations.forget()
            self.on_change(UpstreamChange.GONE)

    def _hold(self, heartbeat: Heartbeat) -> None:
        held = self._held_heartbeat
        if held is None or (heartbeat.started_at, heartbeat.sequence) > (
            held.started_at,
            held.sequence,
        ):
            self._held_heartbeat = heartbeat

    def _apply_departure(self, instance_id: str) -> UpstreamChange:
        is_known = self.latest_heartbeat is not None and instance_id == self.instance_id
        started_at = self.latest_heartbeat.started_at if is_known else None
        self._departures.record(UpstreamDeparture(instance_id, started_at))
        if not is_known or not self.is_serving:
            return UpstreamChange.NONE
        self.is_serving = False
        return UpstreamChange.GONE

    def _has_left(self, heartbeat: Heartbeat) -> bool:
        return self._departures.has_left(
            heartbeat.instance_id, heartbeat.started_at, heartbeat.sequence
        )

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> UpstreamChange:
        if heartbeat.service != self._service:
            return UpstreamChange.NONE
        incarnation = _incarnation_of(heartbeat)
        was_current = incarnation == self._incarnations.current
        if not self._incarnations.accept(incarnation, heartbeat.sequence):
            return self._apply_uncertain(heartbeat, was_current)
        was_serving = self.is_serving
        self.latest_heartbeat = heartbeat
        self.instance_id = heartbeat.instance_id
        self.is_serving = not self._has_left(heartbeat) and not heartbeat.is_draining
        if heartbeat.is_draining:
            self._record_draining(heartbeat)
        if self.is_serving:
            is_start = not was_current or not was_serving
            return UpstreamChange.STARTED if is_start else UpstreamChange.NONE
        return UpstreamChange.DRAINING if was_serving else UpstreamChange.NONE

    def _apply_uncertain(self, heartbeat: Heartbeat, is_current: bool) -> UpstreamChange:
        """Apply a report that may be of an ended incarnation, or of one that is not known yet."""
        is_current_id = heartbeat.instance_id == self.instance_id
        if is_current or not is_current_id or not heartbeat.is_draining:
            return UpstreamChange.NONE
        if self._has_left(heartbeat) or not self.is_serving:
            return UpstreamChange.NONE
        self._record_draining(heartbeat)
        self.is_serving = False
        return UpstreamChange.DRAINING

    def _record_draining(self, heartbeat: Heartbeat) -> None:
        self._departures.record(
            UpstreamDeparture(heartbeat.instance_id, heartbeat.started_at, heartbeat.sequence)
        )


def _incarnation_of(heartbeat: Heartbeat) -> Incarnation:
    return Incarnation(heartbeat.instance_id, heartbeat.started_at)
