"""The routers that least expected completion is compared with."""

import random

from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.routing.router import AttemptEnd, Chosen, RouteRequest


class LeastLoadRouter:
    """Compare the work per slot, as last reported plus what was sent since, and nothing else.

    ``choices`` limits the comparison to so many instances drawn at random (0: all of them).
    """

    __slots__ = (
        "_instances_by_service",
        "_random",
        "_report_by_instance",
        "_sample_size",
        "_sent_since_report",
    )

    def __init__(self, rng: random.Random, sample_size: int):
        self._random = rng
        self._sample_size = sample_size
        self._instances_by_service: dict[str, list[Announcement]] = {}
        self._report_by_instance: dict[str, LoadReport] = {}
        self._sent_since_report: dict[str, int] = {}

    def update(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service."""
        self._instances_by_service[service] = list(instances)

    def choose(self, request: RouteRequest, now: float) -> Chosen | NotRun:
        """Choose the instance with the least work per slot among those that are compared."""
        known = self._instances_by_service.get(request.service, [])
        not_excluded = [entry.instance for entry in known if entry.instance not in request.excluded]
        names = not_excluded or [entry.instance for entry in known]
        if not names:
            return NotRun(NotRunReason.NO_UPSTREAM)
        compared_count = min(self._sample_size or len(names), len(names))
        return Chosen(min(self._random.sample(names, compared_count), key=self._load))

    def sent(self, instance: str, kind: str, now: float) -> None:
        """Count an attempt that the next report will tell of."""
        self._sent_since_report[instance] = self._sent_since_report.get(instance, 0) + 1

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Take in a report."""
        if end.report is not None:
            self._report_by_instance[end.instance] = end.report
            self._sent_since_report[end.instance] = 0

    def _load(self, instance: str) -> float:
        report = self._report_by_instance.get(instance, LoadReport())
        work = report.queued + report.in_flight + self._sent_since_report.get(instance, 0)
        return work / max(1, report.limit)
