"""When an instance is removed from the view without its own word."""

from dataclasses import dataclass, field

from bamboojunction.core.membership.liveness import Liveness
from bamboojunction.core.membership.ring import Ring
from bamboojunction.core.membership.view import Announcement, MembershipView

# A monitor reports an instance that has left its probes unanswered for this long. Each removal
# that turns out wrong doubles the time for that instance.
SILENT_SECONDS = 8.0
SILENT_DOUBLINGS_MAX = 5
# A report of another monitor counts for this long.
REPORT_SECONDS = 6.0
# A monitor that has heard nobody for this long is cut off itself and removes nobody.
CUT_OFF_SECONDS = 4.0
# An instance without any news for this long is gone, whoever could have watched it.
NO_NEWS_SECONDS = 24 * 3600.0
# A gone instance is remembered for this long, so that a late copy does not bring it back.
GONE_SECONDS = 3600.0


@dataclass(slots=True)
class Removal:
    """Collect the reports of the monitors and decide who is gone."""

    own_instance: str
    ring: Ring
    view: MembershipView
    liveness: Liveness
    _reports: dict[tuple[str, str], dict[str, float]] = field(default_factory=dict)
    _refuted: dict[str, int] = field(default_factory=dict)
    _news_at: dict[str, float] = field(default_factory=dict)

    def silent(self, now: float) -> list[Announcement]:
        """Return the monitored instances whose silence has to be reported."""
        monitored = self.ring.monitored_by(self.own_instance)
        return [
            self.view.by_instance[instance]
            for instance in monitored
            if self.liveness.silent_seconds(instance, now) >= self._patience(instance)
        ]

    def is_gone(self, entry: Announcement, now: float) -> bool:
        """Return whether the evidence about a silent instance is enough to remove it.

        Two monitors of its own data centre have to agree. A data centre that is cut off from the
        others thus loses nobody, as no monitor is outside.
        """
        heard_at = self.liveness.last_heard_at
        if heard_at is None or now - heard_at > CUT_OFF_SECONDS:
            return False
        others = self.other_monitors(entry.instance)
        reports = self._reports.get((entry.instance, entry.incarnation), {})
        fresh = [
            name for name in others if now - reports.get(name, -REPORT_SECONDS) < REPORT_SECONDS
        ]
        return not others or bool(fresh)

    def other_monitors(self, instance: str) -> list[str]:
        """Return the other nodes that watch an instance."""
        monitors = self.ring.monitors_of(instance)
        return [name for name in monitors if name != self.own_instance]

    def reported(self, reporter: str, instance: str, incarnation: str, now: float) -> None:
        """Record that another monitor finds an instance silent."""
        if instance in self.view.by_instance:
            self._reports.setdefault((instance, incarnation), {})[reporter] = now

    def noted(self, before: Announcement | None, entry: Announcement, now: float) -> None:
        """Record news of an instance; news after its removal proves the removal wrong."""
        self._news_at[entry.instance] = now
        self.liveness.forget(entry.instance)
        was_gone = before is not None and before.is_gone
        if was_gone and before.incarnation == entry.incarnation and not entry.is_gone:
            self._refuted[entry.instance] = self._refuted.get(entry.instance, 0) + 1

    def without_news(self, now: float) -> list[Announcement]:
        """Return the present instances that nobody has heard of for very long."""
        return [
            entry
            for entry in self.view.present()
            if now - self._news_at.setdefault(entry.instance, now) > NO_NEWS_SECONDS
            and entry.instance != self.own_instance
        ]

    def forget_gone(self, now: float) -> None:
        """Drop the instances that were gone for long, with all that is known of them."""
        gone = [entry.instance for entry in self.view.by_instance.values() if entry.is_gone]
        for instance in gone:
            if now - self._news_at.setdefault(instance, now) > GONE_SECONDS:
                self.view.forget(instance)
                self._news_at.pop(instance)
                self._refuted.pop(instance, None)
        known = self.view.by_instance
        self._reports = {
            key: reports
            for key, reports in self._reports.items()
            if key[0] in known and now - max(reports.values()) < REPORT_SECONDS
        }

    def _patience(self, instance: str) -> float:
        doublings = min(self._refuted.get(instance, 0), SILENT_DOUBLINGS_MAX)
        return SILENT_SECONDS * 2**doublings
