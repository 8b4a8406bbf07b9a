"""The routers that least expected completion is compared with."""

import random

from bamboojunction.core.load import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.routing.router import AttemptEnd, Chosen, RouteRequest


class LoadRouter:
    """Compare the work per slot, as last reported plus what was sent since, and nothing else.

    ``choices`` limits the comparison to so many instances drawn at random (0: all of them).
    """

    __slots__ = ("_by_service", "_choices", "_random", "_reports", "_unreported")

    def __init__(self, rng: random.Random, choices: int):
        self._random = rng
        self._choices = choices
        self._by_service: dict[str, list[Announcement]] = {}
        self._reports: dict[str, LoadReport] = {}
        self._unreported: dict[str, int] = {}

    def update(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service."""
        self._by_service[service] = list(instances)

    def choose(self, request: RouteRequest, now: float) -> Chosen | NotRun:
        """Choose the instance with the least work per slot among those that are compared."""
        known = self._by_service.get(request.service, [])
        fresh = [entry.instance for entry in known if entry.instance not in request.excluded]
        names = fresh or [entry.instance for entry in known]
        if not names:
            return NotRun(NotRunReason.NO_UPSTREAM)
        count = min(self._choices or len(names), len(names))
        return Chosen(min(self._random.sample(names, count), key=self._load))

    def sent(self, instance: str, kind: str, now: float) -> None:
        """Count an attempt that the next report will tell of."""
        self._unreported[instance] = self._unreported.get(instance, 0) + 1

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Take in a report."""
        if end.report is not None:
            self._reports[end.instance] = end.report
            self._unreported[end.instance] = 0

    def _load(self, instance: str) -> float:
        report = self._reports.get(instance, LoadReport())
        work = report.queued + report.in_flight + self._unreported.get(instance, 0)
        return work / max(1, report.limit)
