"""Removal of failed instances from the view, by agreement of their monitors."""

from dataclasses import dataclass, field

from bamboojunction.core.membership.failure_detector import FailureDetector
from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.view import Announcement, MembershipView

# A monitor reports an instance that has not answered its probes for this long. Each removal that
# turns out to be wrong doubles the timeout of that instance.
SILENCE_TIMEOUT_SECONDS = 8.0
SILENCE_TIMEOUT_DOUBLINGS_MAX = 5
# The time for which the report of another monitor is valid.
REPORT_VALID_SECONDS = 6.0
# A node that has received no message for this long is isolated itself and removes no instance.
ISOLATED_AFTER_SECONDS = 4.0
# An instance without updates for this long is removed, even if no monitor reports it.
NO_UPDATE_EXPIRY_SECONDS = 24 * 3600.0
# The tombstone of a gone instance is kept this long, so that an outdated copy of its announcement
# does not bring it back.
TOMBSTONE_TTL_SECONDS = 3600.0


@dataclass(slots=True)
class RemovalPolicy:
    """Collects the reports of monitors and decides which instances to remove from the view."""

    own_instance: str
    ring: Ring
    view: MembershipView
    detector: FailureDetector
    _report_times: dict[tuple[str, str], dict[str, float]] = field(default_factory=dict)
    _refuted_removals: dict[str, int] = field(default_factory=dict)
    _updated_at: dict[str, float] = field(default_factory=dict)

    def silent_instances(self, now: float) -> list[Announcement]:
        """Return the instances monitored by this node whose silence has to be reported."""
        monitored = self.ring.monitored_by(self.own_instance)
        return [
            self.view.by_instance[instance]
            for instance in monitored
            if self.detector.silent_seconds(instance, now) >= self._silence_timeout(instance)
        ]

    def should_remove(self, entry: Announcement, now: float) -> bool:
        """Return whether the evidence about a silent instance is sufficient to remove it.

        Another monitor must have reported it recently, if there is one, and this node must not be
        isolated. All monitors of an instance are in its own data centre, so a network partition
        between data centres removes no instance.
        """
        last_message_at = self.detector.last_message_at
        if last_message_at is None or now - last_message_at > ISOLATED_AFTER_SECONDS:
            return False
        others = self.other_monitors_of(entry.instance)
        reports = self._report_times.get((entry.instance, entry.incarnation), {})
        fresh = [
            name
            for name in others
            if now - reports.get(name, -REPORT_VALID_SECONDS) < REPORT_VALID_SECONDS
        ]
        return not others or bool(fresh)

    def other_monitors_of(self, instance: str) -> list[str]:
        """Return the monitors of an instance without this node."""
        monitors = self.ring.monitors_of(instance)
        return [name for name in monitors if name != self.own_instance]

    def record_report(self, reporter: str, instance: str, incarnation: str, now: float) -> None:
        """Record that another monitor reported an instance as silent."""
        if instance in self.view.by_instance:
            self._report_times.setdefault((instance, incarnation), {})[reporter] = now

    def record_update(self, before: Announcement | None, entry: Announcement, now: float) -> None:
        """Record an update of an instance, which refutes a removal of the same incarnation."""
        self._updated_at[entry.instance] = now
        self.detector.forget(entry.instance)
        was_gone = before is not None and before.is_gone
        if was_gone and before.incarnation == entry.incarnation and not entry.is_gone:
            self._refuted_removals[entry.instance] = (
                self._refuted_removals.get(entry.instance, 0) + 1
            )

    def expired(self, now: float) -> list[Announcement]:
        """Return the other present instances without updates for ``NO_UPDATE_EXPIRY_SECONDS``."""
        return [
            entry
            for entry in self.view.present()
            if now - self._updated_at.setdefault(entry.instance, now) > NO_UPDATE_EXPIRY_SECONDS
            and entry.instance != self.own_instance
        ]

    def purge_tombstones(self, now: float) -> None:
        """Delete expired tombstones, and reports that are no longer valid."""
        gone = [entry.instance for entry in self.view.by_instance.values() if entry.is_gone]
        for instance in gone:
            if now - self._updated_at.setdefault(instance, now) > TOMBSTONE_TTL_SECONDS:
                self.view.forget(instance)
                self._updated_at.pop(instance)
                self._refuted_removals.pop(instance, None)
        known = self.view.by_instance
        self._report_times = {
            key: reports
            for key, reports in self._report_times.items()
            if key[0] in known and now - max(reports.values()) < REPORT_VALID_SECONDS
        }

    def _silence_timeout(self, instance: str) -> float:
        doublings = min(self._refuted_removals.get(instance, 0), SILENCE_TIMEOUT_DOUBLINGS_MAX)
        return SILENCE_TIMEOUT_SECONDS * 2**doublings
