"""The number of calls that one run of each kind makes, learned from answers."""

from collections.abc import Iterable, Mapping

# Kinds stored; the kind that was added first is evicted.
KINDS_MAX = 1_024
# Services stored for each kind, those with most calls, which also bounds the size of an answer.
SERVICES_MAX = 32
# Weight of the latest run in the mean.
LATEST_WEIGHT = 0.1

CallsByService = Mapping[str, float]


class ChainCosts:
    """The mean number of calls by service that one run of each kind leads to, at any depth.

    The run itself is not included. Kinds that are not known are taken to make no calls.
    """

    __slots__ = ("_mean_by_kind",)

    def __init__(self):
        self._mean_by_kind: dict[str, dict[str, float]] = {}

    def calls(self, kind: str) -> CallsByService:
        """Return the mean number of calls by service that a run of a kind leads to."""
        return self._mean_by_kind.get(kind, {})

    def calls_of_run(self, child_calls: Iterable[tuple[str, str]]) -> CallsByService:
        """Return the number of calls by service that one run led to.

        ``child_calls`` are the kind and the service of each call that the run itself made.
        """
        total_by_service: dict[str, float] = {}
        for kind, service in child_calls:
            for name, calls in ((service, 1.0), *self.calls(kind).items()):
                total_by_service[name] = total_by_service.get(name, 0.0) + calls
        return total_by_service

    def record_run(self, kind: str, calls_by_service: CallsByService) -> None:
        """Record the number of calls that a complete run of a kind led to."""
        mean = self._mean_by_kind.get(kind)
        if mean is None:
            if len(self._mean_by_kind) >= KINDS_MAX:
                del self._mean_by_kind[next(iter(self._mean_by_kind))]
            self._mean_by_kind[kind] = _most(dict(calls_by_service))
            return
        if not mean and not calls_by_service:
            return
        for service in mean.keys() | calls_by_service.keys():
            previous = mean.get(service, 0.0)
            latest = calls_by_service.get(service, 0.0)
            mean[service] = previous + LATEST_WEIGHT * (latest - previous)
        self._mean_by_kind[kind] = _most(mean)


def _most(calls_by_service: dict[str, float]) -> dict[str, float]:
    if len(calls_by_service) <= SERVICES_MAX:
        return calls_by_service
    most = sorted(calls_by_service.items(), key=lambda entry: -entry[1])
    return dict(most[:SERVICES_MAX])
