"""Figures that several scenarios work out from a ledger."""

from collections.abc import Callable, Iterable

from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, RequestRecord, Window

RECOVERY_INTERVAL_SECONDS = 0.5
RECOVERED_SUCCESS_RATIO = 0.95


def usual_rates(deployment: Deployment, load: float) -> dict[str, float]:
    """Return arrivals a second by kind that load the contended service to a part of its slots."""
    total_rate = deployment.capacity(deployment.bottleneck_service) * load
    total_share = sum(spec.share for spec in deployment.kinds)
    return {spec.row.kind: total_rate * spec.share / total_share for spec in deployment.kinds}


def useful_slot_share(ledger: Ledger, deployment: Deployment, window: str, service: str) -> float:
    """Return the part of a service's slot time that went into requests that succeeded."""
    seconds = ledger.window(window).seconds
    return ledger.usage(window, service).useful_seconds / (deployment.slots(service) * seconds)


def wasted_slot_share(ledger: Ledger, deployment: Deployment, window: str) -> float:
    """Return the wasted part of the slot time that was spent at all services."""
    usages = [ledger.usage(window, service.name) for service in deployment.services]
    wasted_seconds = sum(usage.wasted_seconds for usage in usages)
    spent_seconds = wasted_seconds + sum(usage.useful_seconds for usage in usages)
    return wasted_seconds / spent_seconds if spent_seconds else 0.0


def success_rate(requests: Iterable[RequestRecord]) -> float:
    """Return the part of requests that got their whole answer within their deadline."""
    requests = list(requests)
    succeeded_count = sum(1 for request in requests if succeeded_in_time(request))
    return succeeded_count / len(requests) if requests else 1.0


def succeeded_in_time(request: RequestRecord) -> bool:
    """Return whether the whole answer came within the deadline of the first try."""
    return request.succeeded and request.finished_at <= request.deadline


def recovery_seconds(
    ledger: Ledger,
    before: Window,
    fault_end: float,
    until: float,
    is_included: Callable | None = None,
) -> float:
    """Return the seconds after ``end`` until arrivals succeed as often as before for good."""
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
    """Return a quantile of the latencies of the requests that succeeded, in seconds."""
    latencies = sorted(request.latency_seconds for request in requests if request.succeeded)
    if not latencies:
        return float("inf")
    return latencies[min(len(latencies) - 1, int(quantile * len(latencies)))]


def weight_share(deployment: Deployment, *ranks: int) -> float:
    """Return the part of contended slots that the weights give to some ranks."""
    weight_by_rank = {spec.row.rank: spec.row.weight for spec in deployment.kinds}
    return sum(weight_by_rank[rank] for rank in ranks) / sum(weight_by_rank.values())
