"""Estimates of the completion time of a call at an upstream, from its answers and reports."""

import math
from dataclasses import dataclass

from bamboojunction.core.load_reports import LoadReport

# The weight of a new sample in a moving mean; the first samples weigh more.
SMOOTHING_FACTOR = 0.2
# Half-lives with which the data on one upstream decays into the means of its service.
SERVICE_TIME_HALF_LIFE_SECONDS = 10.0
REPORT_HALF_LIFE_SECONDS = 1.0
# Kinds stored per upstream and per service; the kind that was added first is evicted.
KINDS_MAX = 128
NETWORK_RISE_FACTOR = 0.05
# Factor on utilization above 1: a gate sheds load before its queue gets long, so a full upstream is
# worse than its queue shows.
EXCESS_LOAD_FACTOR = 8.0
# An upstream whose gate reports that it admits nothing gets no call for this long. The next call
# tells whether that has changed.
CLOSED_SECONDS = 0.5
# The completion time of an upstream is multiplied by its accepted share of calls to the negative
# power: above 1, as a refusal costs a retry besides the time.
REFUSAL_EXPONENT = 2
ACCEPTED_SHARE_MIN = 0.05


@dataclass(slots=True)
class MeanTime:
    """A moving mean in seconds and the time of its last sample."""

    mean: float = 0.0
    samples: int = 0
    sampled_at: float = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Add a sample; the first few have equal weight."""
        self.samples += 1
        weight = max(SMOOTHING_FACTOR, 1.0 / self.samples)
        self.mean += weight * (seconds - self.mean)
        self.sampled_at = now


class ServiceTimes:
    """Mean service times by kind and over all kinds."""

    __slots__ = ("by_kind", "overall")

    def __init__(self):
        self.by_kind: dict[str, MeanTime] = {}
        self.overall = MeanTime()

    def add(self, kind: str, seconds: float, now: float) -> None:
        """Add the service time of a call."""
        mean_time = self.by_kind.get(kind)
        if mean_time is None:
            if len(self.by_kind) >= KINDS_MAX:
                del self.by_kind[next(iter(self.by_kind))]
            mean_time = self.by_kind[kind] = MeanTime()
        mean_time.add(seconds, now)
        self.overall.add(seconds, now)

    def add_lower_bound(self, kind: str, seconds: float, now: float) -> None:
        """Add a call that timed out after the given time, unless the mean is already higher."""
        mean_time = self.by_kind.get(kind)
        if mean_time is None or mean_time.mean < seconds:
            self.add(kind, seconds, now)


class ServiceEstimates:
    """The means of a whole service, used for upstreams with no or only old data."""

    __slots__ = ("service_times", "utilization")

    def __init__(self):
        self.service_times = ServiceTimes()
        self.utilization = 0.0

    def record_utilization(self, utilization: float) -> None:
        """Add the utilization that an upstream reported."""
        self.utilization += SMOOTHING_FACTOR * (utilization - self.utilization)


class UpstreamEstimates:
    """The load and the service times of one upstream, to estimate when it completes a call.

    Utilization is the number of queued and running calls per slot and may exceed 1.
    """

    __slots__ = (
        "_refused_share",
        "_reported_at",
        "_reported_utilization",
        "_service_estimates",
        "closed_until",
        "in_flight",
        "limit",
        "network_seconds",
        "sent_since_report",
        "service_times",
    )

    def __init__(self, service_estimates: ServiceEstimates, network_seconds: float):
        self._service_estimates = service_estimates
        self._refused_share = 0.0
        self._reported_utilization = 0.0
        self._reported_at: float | None = None
        self.limit = 1
        self.network_seconds = network_seconds
        self.service_times = ServiceTimes()
        self.in_flight = 0
        self.sent_since_report = 0
        # Until then the upstream's gate is expected to refuse all calls.
        self.closed_until = -math.inf

    @property
    def has_report(self) -> bool:
        """Return whether the upstream has ever sent a load report."""
        return self._reported_at is not None

    def record_sent(self) -> None:
        """Count a sent attempt."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_end(self) -> None:
        """Count an attempt that ended, with or without a load report."""
        self.in_flight = max(0, self.in_flight - 1)
        self.sent_since_report = min(self.sent_since_report, self.in_flight)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record the load report of an answer; it is taken to include all attempts sent so far."""
        self.limit = max(1, report.limit)
        self._reported_utilization = (report.queued + report.in_flight) / self.limit
        self._reported_at = now
        self._refused_share = report.refused_share
        self.closed_until = now + CLOSED_SECONDS if report.level.is_closed else -math.inf
        self.sent_since_report = 0
        self._service_estimates.record_utilization(self._reported_utilization)

    def record_success(
        self, kind: str, service_seconds: float, elapsed_seconds: float, now: float
    ) -> None:
        """Record the times of a call that succeeded.

        The network time follows lower samples at once and higher ones slowly, since the sample also
        contains the time that the call waited in the queue.
        """
        self.service_times.add(kind, service_seconds, now)
        self._service_estimates.service_times.add(kind, service_seconds, now)
        sample = max(0.0, elapsed_seconds - service_seconds)
        if sample < self.network_seconds:
            self.network_seconds = sample
        else:
            self.network_seconds += NETWORK_RISE_FACTOR * min(
                sample - self.network_seconds, self.network_seconds
            )

    def record_timeout(self, kind: str, elapsed_seconds: float, now: float) -> None:
        """Record a call that had no answer after ``elapsed_seconds``."""
        self.service_times.add_lower_bound(kind, elapsed_seconds, now)

    def completion_seconds(self, kind: str, utilization: float, now: float) -> float:
        """Return the expected time in seconds from sending a call to receiving its answer.

        The time of an upstream that refuses a part of the calls is prolonged, since a refused call
        has to be sent again and spends a retry.
        """
        excess = max(0.0, utilization - 1.0) * EXCESS_LOAD_FACTOR
        seconds = self.service_seconds(kind, now) * (1.0 + utilization + excess)
        if self._refused_share:
            seconds *= self._refusal_factor(now)
        return seconds + self.network_seconds

    def _refusal_factor(self, now: float) -> float:
        """Return the factor for refused calls, which decays so that the upstream is tried again."""
        weight = 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_SECONDS)
        accepted_share = max(ACCEPTED_SHARE_MIN, 1.0 - weight * self._refused_share)
        return accepted_share**-REFUSAL_EXPONENT

    def utilization(self, now: float) -> float:
        """Return the estimated utilization; the last report decays into the mean of the service."""
        service_mean = self._service_estimates.utilization
        own_utilization = self.in_flight / self.limit
        if self._reported_at is None:
            return max(service_mean, own_utilization)
        weight = 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_SECONDS)
        reported = service_mean + weight * (self._reported_utilization - service_mean)
        return max(reported + self.sent_since_report / self.limit, own_utilization)

    def service_seconds(self, kind: str, now: float) -> float:
        """Return the service time of a kind; an old mean decays into that of the service."""
        service_wide = self._service_wide_seconds(kind)
        mean_time = self.service_times.by_kind.get(kind)
        if mean_time is None:
            return service_wide
        weight = 0.5 ** ((now - mean_time.sampled_at) / SERVICE_TIME_HALF_LIFE_SECONDS)
        return service_wide + weight * (mean_time.mean - service_wide)

    def _service_wide_seconds(self, kind: str) -> float:
        """Return the mean service time of a kind in the whole service, or that of all kinds."""
        service_times = self._service_estimates.service_times
        mean_time = service_times.by_kind.get(kind)
        return service_times.overall.mean if mean_time is None else mean_time.mean
