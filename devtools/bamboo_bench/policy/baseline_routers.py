"""Baseline routers for comparison with the core router.

The core router chooses by least expected completion time.
"""

import random

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.routing.router import AttemptResult, RouteChoice, RouteRequest


class LeastLoadRouter:
    """A router that chooses the instance with the least load per slot.

    The load is the last reported one plus the attempts sent since. ``sample_size`` instances are
    drawn at random and compared; 0 compares all.
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

    def update_instances(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service."""
        self._instances_by_service[service] = list(instances)

    def choose(self, request: RouteRequest, now: float) -> RouteChoice | NotRun:
        """Choose the instance with the least load per slot in a random sample.

        Excluded instances are used only if there are no others.
        """
        instances = self._instances_by_service.get(request.service, [])
        candidates = [
            entry.instance for entry in instances if entry.instance not in request.tried_instances
        ]
        names = candidates or [entry.instance for entry in instances]
        if not names:
            return NotRun(NotRunReason.NO_UPSTREAM)
        compared_count = min(self._sample_size or len(names), len(names))
        return RouteChoice(min(self._random.sample(names, compared_count), key=self._load))

    def record_sent(self, instance: str, kind: str, now: float) -> None:
        """Count an attempt that no load report includes yet."""
        self._sent_since_report[instance] = self._sent_since_report.get(instance, 0) + 1

    def record_result(self, end: AttemptResult, now: float) -> None:
        """Store the load report of a reply, if it has one."""
        if end.report is not None:
            self._report_by_instance[end.instance] = end.report
            self._sent_since_report[end.instance] = 0

    def _load(self, instance: str) -> float:
        report = self._report_by_instance.get(instance, LoadReport())
        work = report.queued + report.in_flight + self._sent_since_report.get(instance, 0)
        return work / max(1, report.limit)
