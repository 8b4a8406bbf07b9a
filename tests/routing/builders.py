"""Builders of announcements, route requests and attempt results for the routing tests."""

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import Outcome, Ran
from bamboojunction.core.routing.router import AttemptResult, RouteChoice, Router, RouteRequest

SERVICE = "bayfinder"


def announcement(number: int, data_centre: str = "near", incarnation: str = "1") -> Announcement:
    return Announcement(
        instance=f"{SERVICE}-{number}",
        incarnation=incarnation,
        service=SERVICE,
        data_centre=data_centre,
        region="region",
        address=f"127.0.0.1:{number + 1}",
        started_at=0.0,
    )


def request(**fields) -> RouteRequest:
    defaults = {"service": SERVICE, "kind": "read", "rank": 1, "action": "a", "deadline": 1e9}
    return RouteRequest(**(defaults | fields))


def report(queued: int = 0, in_flight: int = 0, limit: int = 10, draining: bool = False):
    return LoadReport(queued=queued, in_flight=in_flight, limit=limit, draining=draining)


def attempt_result(
    instance: str,
    outcome: Outcome | None = None,
    load: LoadReport | None = None,
    service_seconds: float = 0.05,
    kind: str = "read",
) -> AttemptResult:
    return AttemptResult(
        instance, kind, outcome or Ran(200), load, service_seconds, service_seconds + 0.001
    )


def attempt(router: Router, now: float, outcome: Outcome | None = None, **fields) -> str:
    """Run an attempt that ends at once, and return the chosen instance."""
    chosen = router.choose(request(**fields), now)
    assert isinstance(chosen, RouteChoice)
    router.record_sent(chosen.instance, "read", now)
    router.record_result(attempt_result(chosen.instance, outcome, report()), now)
    return chosen.instance


def record_answer(router: Router, instance: str, now: float, load: LoadReport, **times) -> None:
    """Let an instance answer a call with a load report."""
    router.record_sent(instance, times.get("kind", "read"), now)
    router.record_result(attempt_result(instance, None, load, **times), now)
