"""Figures that several scenarios work out from a ledger."""

from collections.abc import Callable, Iterable

from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, RequestRecord, Window

RECOVERY_STEP_SECONDS = 0.5
RECOVERED_SHARE = 0.95


def usual_rates(deployment: Deployment, load: float) -> dict[str, float]:
    """Return arrivals a second by kind that load the contended service to a part of its slots."""
    total = deployment.capacity(deployment.contended) * load
    shares = sum(kind.share for kind in deployment.kinds)
    return {kind.row.kind: total * kind.share / shares for kind in deployment.kinds}


def useful_share(ledger: Ledger, deployment: Deployment, window: str, service: str) -> float:
    """Return the part of a service's slot time that went into requests that succeeded."""
    seconds = ledger.window(window).seconds
    return ledger.usage(window, service).useful / (deployment.slots(service) * seconds)


def wasted_share(ledger: Ledger, deployment: Deployment, window: str) -> float:
    """Return the wasted part of the slot time that was spent at all services."""
    usages = [ledger.usage(window, service.name) for service in deployment.services]
    wasted = sum(usage.wasted for usage in usages)
    spent = wasted + sum(usage.useful for usage in usages)
    return wasted / spent if spent else 0.0


def succeeded_share(requests: Iterable[RequestRecord]) -> float:
    """Return the part of requests that got their whole answer within their deadline."""
    requests = list(requests)
    done = sum(1 for request in requests if in_time(request))
    return done / len(requests) if requests else 1.0


def in_time(request: RequestRecord) -> bool:
    """Return whether the whole answer came within the deadline of the first try."""
    return request.succeeded and request.finished <= request.deadline


def recovery_seconds(
    ledger: Ledger, before: Window, end: float, until: float, wanted: Callable | None = None
) -> float:
    """Return the seconds after ``end`` until arrivals succeed as often as before for good."""
    wanted = wanted or (lambda request: True)
    usual = succeeded_share(filter(wanted, ledger.arrived_in(before)))
    recovered_at = end
    start = end
    while start + RECOVERY_STEP_SECONDS <= until:
        step = Window("step", start, start + RECOVERY_STEP_SECONDS)
        share = succeeded_share(filter(wanted, ledger.arrived_in(step)))
        if share < RECOVERED_SHARE * usual:
            recovered_at = step.end
        start = step.end
    return recovered_at - end


def latency_at(requests: Iterable[RequestRecord], quantile: float) -> float:
    """Return a quantile of the latencies of the requests that succeeded, in seconds."""
    latencies = sorted(request.latency for request in requests if request.succeeded)
    if not latencies:
        return float("inf")
    return latencies[min(len(latencies) - 1, int(quantile * len(latencies)))]


def weight_share(deployment: Deployment, *ranks: int) -> float:
    """Return the part of contended slots that the weights give to some ranks."""
    weight_by_rank = {kind.row.rank: kind.row.weight for kind in deployment.kinds}
    return sum(weight_by_rank[rank] for rank in ranks) / sum(weight_by_rank.values())
