"""Statistics that several scenarios compute from a ledger."""

from collections.abc import Callable, Iterable

from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, RequestRecord, Window

RECOVERY_INTERVAL_SECONDS = 0.5
RECOVERED_SUCCESS_RATIO = 0.95


def usual_rates(deployment: Deployment, load: float) -> dict[str, float]:
    """Return the requests per second of each kind that load the bottleneck service to ``load``.

    ``load`` is a fraction of its capacity; kinds arrive in the usual mix.
    """
    total_rate = deployment.capacity(deployment.bottleneck_service) * load
    total_share = sum(spec.share for spec in deployment.kinds)
    return {spec.row.kind: total_rate * spec.share / total_share for spec in deployment.kinds}


def useful_slot_share(ledger: Ledger, deployment: Deployment, window: str, service: str) -> float:
    """Return the fraction of a service's slot time that was spent on tries that succeeded."""
    seconds = ledger.window(window).seconds
    return ledger.usage(window, service).useful_seconds / (deployment.slots(service) * seconds)


def wasted_slot_share(ledger: Ledger, deployment: Deployment, window: str) -> float:
    """Return the fraction of the slot time spent at all services that was wasted."""
    usages = [ledger.usage(window, service.name) for service in deployment.services]
    wasted_seconds = sum(usage.wasted_seconds for usage in usages)
    spent_seconds = wasted_seconds + sum(usage.useful_seconds for usage in usages)
    return wasted_seconds / spent_seconds if spent_seconds else 0.0


def success_rate(requests: Iterable[RequestRecord]) -> float:
    """Return the fraction of requests that succeeded in time, 1 if there are none."""
    requests = list(requests)
    succeeded_count = sum(1 for request in requests if succeeded_in_time(request))
    return succeeded_count / len(requests) if requests else 1.0


def succeeded_in_time(request: RequestRecord) -> bool:
    """Return whether the request succeeded within the deadline of its first try."""
    return request.succeeded and request.finished_at <= request.deadline


def recovery_seconds(
    ledger: Ledger,
    before: Window,
    fault_end: float,
    until: float,
    is_included: Callable | None = None,
) -> float:
    """Return the seconds after the end of a fault until the success rate has recovered for good.

    It has recovered once every later interval up to ``until`` reaches RECOVERED_SUCCESS_RATIO of
    the success rate in the window ``before``.
    """
    is_included = is_included or (lambda request: True)
    usual_rate = success_rate(filter(is_included, ledger.requests_arrived_in(before)))
    recovered_at = fault_end
    start = fault_end
    while start + RECOVERY_INTERVAL_SECONDS <= until:
        interval = Window("step", start, start + RECOVERY_INTERVAL_SECONDS)
        rate = success_rate(filter(is_included, ledger.requests_arrived_in(interval)))
        if rate < RECOVERED_SUCCESS_RATIO * usual_rate:
            recovered_at = interval.end
        start = interval.end
    return recovered_at - fault_end


def latency_quantile(requests: Iterable[RequestRecord], quantile: float) -> float:
    """Return a quantile of the latencies of successful requests in seconds, inf if none."""
    latencies = sorted(request.latency_seconds for request in requests if request.succeeded)
    if not latencies:
        return float("inf")
    return latencies[min(len(latencies) - 1, int(quantile * len(latencies)))]


def weight_share(deployment: Deployment, *ranks: int) -> float:
    """Return the fraction of the bottleneck's slots that the weights assign to some ranks."""
    weight_by_rank = {spec.row.rank: spec.row.weight for spec in deployment.kinds}
    return sum(weight_by_rank[rank] for rank in ranks) / sum(weight_by_rank.values())
