"""The record of upstream incarnations that have reported that they leave.

A report may arrive after a later one, and also after the node that acknowledged the later one has
started again. The record therefore outlives the process: the node publishes it in place of its
announcement, and reads it before it trusts the first report of an upstream.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bamboojunction.core.membership.view import InstanceState

# How long a record is kept after the departure. Reports are late by seconds, and an upstream may
# serve for some time after its departure.
RETENTION_SECONDS = 600.0
# The number of incarnations that are remembered; the oldest are forgotten.
INCARNATIONS_MAX = 16


@dataclass(slots=True, frozen=True)
class UpstreamDeparture:
    """A departure of one upstream incarnation.

    ``started_at`` is the start of the incarnation in Unix milliseconds, None if it is not known
    yet. ``drained_at_sequence`` is the number of the report that said that it drains, None if it
    said that it is gone.
    """

    upstream_id: str
    started_at: int | None
    drained_at_sequence: int | None = None

    def covers(self, started_at: int, sequence: int) -> bool:
        """Return whether a report of this upstream id was made before the departure."""
        if self.started_at is not None and started_at != self.started_at:
            return started_at < self.started_at
        return self.drained_at_sequence is None or sequence <= self.drained_at_sequence


@dataclass(slots=True, frozen=True)
class DepartureRecord:
    """The departures at one instance, as its node publishes them."""

    instance: str
    departures: tuple[UpstreamDeparture, ...] = ()
    state: InstanceState = InstanceState.GONE


class DepartureLog:
    """The departures that the node of an instance has acknowledged, by upstream id."""

    __slots__ = ("_by_upstream_id",)

    def __init__(self):
        self._by_upstream_id: dict[str, UpstreamDeparture] = {}

    def record(self, departure: UpstreamDeparture) -> None:
        """Remember the departure, unless one of a later start of the same id is known."""
        known = self._by_upstream_id.pop(departure.upstream_id, None)
        if known is not None:
            departure = _merge(known, departure)
        self._by_upstream_id[departure.upstream_id] = departure
        while len(self._by_upstream_id) > INCARNATIONS_MAX:
            del self._by_upstream_id[next(iter(self._by_upstream_id))]

    def restore(self, departures: Iterable[UpstreamDeparture]) -> None:
        """Remember the departures that an earlier process of the node has acknowledged."""
        for departure in departures:
            self.record(departure)

    def has_left(self, upstream_id: str, started_at: int, sequence: int) -> bool:
        """Return whether a report was made before a departure of its incarnation.

        If the start of the departed incarnation is not known, the first later report supplies it.
        """
        departure = self._by_upstream_id.get(upstream_id)
        if departure is None:
            return False
        if departure.started_at is None:
            departure = UpstreamDeparture(upstream_id, started_at, departure.drained_at_sequence)
            self._by_upstream_id[upstream_id] = departure
        return departure.covers(started_at, sequence)

    def departures(self) -> tuple[UpstreamDeparture, ...]:
        """Return all remembered departures, the oldest first."""
        return tuple(self._by_upstream_id.values())


def _merge(known: UpstreamDeparture, reported: UpstreamDeparture) -> UpstreamDeparture:
    """Return what is known of an upstream id after another report of a departure.

    A departure whose start is not known is taken as that of the start known before.
    """
    if reported.started_at is None:
        reported = replace(reported, started_at=known.started_at)
    if known.started_at is None or known.started_at < reported.started_at:
        return reported
    if known.started_at > reported.started_at or known.drained_at_sequence is None:
        return known
    if reported.drained_at_sequence is None:
        return reported
    return max(known, reported, key=lambda departure: departure.drained_at_sequence)
