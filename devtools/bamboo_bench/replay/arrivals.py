"""The arrivals of a replay at each service, and how far its repeats exceed the fleet's limit.

The limit is that of the users' platform: in any window, repeats are at most a share of the requests
of clients plus a slack. Calls that a repeated run makes are repeats too, and so are those below.
"""

import bisect
from collections import Counter, defaultdict
from dataclasses import dataclass

from bamboojunction.core.retries.fleet_budget import RetryLimit


@dataclass(slots=True, frozen=True)
class BusiestWindow:
    """The window of a service in which its repeats exceed their limit most, or come closest."""

    ends_at: float
    repeats: int
    limit: float

    @property
    def excess(self) -> float:
        """Return the number of repeats beyond the limit, negative below it."""
        return self.repeats - self.limit


class Arrivals:
    """The requests of clients and the arrivals at upstreams, by service; times are in seconds."""

    def __init__(self):
        self.requests_by_service: defaultdict[str, list[float]] = defaultdict(list)
        self.repeats_by_service: defaultdict[str, list[float]] = defaultdict(list)
        self.count_by_action: Counter[str] = Counter()
        self._below_repeats: set[str] = set()

    def record_request(self, service: str, now: float) -> None:
        """Record that a client sends a request on a route to a service."""
        self.requests_by_service[service].append(now)

    def record_arrival(self, service: str, action: str, now: float) -> bool:
        """Record an arrival at an upstream, and return whether it is a repeat."""
        self.count_by_action[action] += 1
        is_repeat = self.count_by_action[action] > 1 or action in self._below_repeats
        if is_repeat:
            self.repeats_by_service[service].append(now)
        return is_repeat

    def record_call_of_repeat(self, action: str) -> None:
        """Record that a run which is itself a repeat makes a call."""
        self._below_repeats.add(action)

    def busiest_window(self, service: str, retry_limit: RetryLimit) -> BusiestWindow:
        """Return the window with the greatest excess.

        The requests are those of the window, the one before it or the one half a window before it,
        whichever has most.
        """
        repeats, requests = self.repeats_by_service[service], self.requests_by_service[service]
        length = retry_limit.window

        def window(ends_at: float) -> BusiestWindow:
            most = max(
                _count(requests, ends_at - shift - length, ends_at - shift)
                for shift in (0.0, length / 2, length)
            )
            limit = retry_limit.ratio * most + retry_limit.slack
            return BusiestWindow(ends_at, _count(repeats, ends_at - length, ends_at), limit)

        # The number of repeats in a window grows only at an arrival.
        windows = (window(ends_at) for ends_at in [*repeats, length])
        return max(windows, key=lambda one: one.excess)


def _count(times: list[float], after: float, until: float) -> int:
    """Return how many of the sorted times lie in a span, its end included."""
    return bisect.bisect_right(times, until) - bisect.bisect_right(times, after)
