"""Estimates of when an upstream would complete a call, from the answers that it gave."""

from dataclasses import dataclass

from bamboojunction.core.load import LoadReport

# The weight of a new sample once a mean has settled.
SAMPLE_WEIGHT = 0.2
# The time in which what was learnt of one upstream fades by half into what is usual.
TIME_HALF_LIFE_SECONDS = 10.0
REPORT_HALF_LIFE_SECONDS = 1.0
# Kinds remembered for one upstream; the kind that was seen first makes room.
KINDS_MAX = 128
NETWORK_RISE = 0.05
# Work beyond the slots counts this much more, as a gate sheds before its queue has grown long.
CROWDING_FACTOR = 8.0


@dataclass(slots=True)
class MeanTime:
    """Hold a moving mean in seconds and when it last took a sample."""

    mean: float = 0.0
    samples: int = 0
    sampled_at: float = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Take in a sample; the first few count equally."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (seconds - self.mean)
        self.sampled_at = now


class ServiceTimes:
    """Hold the measured service times by kind, and over all kinds."""

    __slots__ = ("by_kind", "overall")

    def __init__(self):
        self.by_kind: dict[str, MeanTime] = {}
        self.overall = MeanTime()

    def add(self, kind: str, seconds: float, now: float) -> None:
        """Take in the service time of one call."""
        measured = self.by_kind.get(kind)
        if measured is None:
            if len(self.by_kind) >= KINDS_MAX:
                del self.by_kind[next(iter(self.by_kind))]
            measured = self.by_kind[kind] = MeanTime()
        measured.add(seconds, now)
        self.overall.add(seconds, now)

    def add_lower_bound(self, kind: str, seconds: float, now: float) -> None:
        """Take in a call that took at least this long before its caller gave up."""
        measured = self.by_kind.get(kind)
        if measured is None or measured.mean < seconds:
            self.add(kind, seconds, now)


class ServiceEstimates:
    """Hold what is known of a whole service, for the upstreams of which less is known."""

    __slots__ = ("pressure", "times")

    def __init__(self):
        self.times = ServiceTimes()
        self.pressure = 0.0

    def note_pressure(self, pressure: float) -> None:
        """Take in how much work per slot one upstream reported."""
        self.pressure += SAMPLE_WEIGHT * (pressure - self.pressure)


class UpstreamEstimates:
    """Estimate the completion time of a call at one upstream."""

    __slots__ = (
        "_pressure",
        "_reported_at",
        "_service",
        "in_flight",
        "limit",
        "network",
        "times",
        "unreported",
    )

    def __init__(self, service: ServiceEstimates, network: float):
        self._service = service
        self._pressure = 0.0
        self._reported_at: float | None = None
        self.limit = 1
        self.network = network
        self.times = ServiceTimes()
        self.in_flight = 0
        self.unreported = 0

    @property
    def answered(self) -> bool:
        """Return whether the upstream has reported at all."""
        return self._reported_at is not None

    def sent(self) -> None:
        """Count an attempt that left."""
        self.in_flight += 1
        self.unreported += 1

    def ended(self) -> None:
        """Count an attempt that ended without a report."""
        self.in_flight = max(0, self.in_flight - 1)
        self.unreported = min(self.unreported, self.in_flight)

    def reported(self, report: LoadReport, now: float) -> None:
        """Take in the load report of an answer; the gate had seen all earlier attempts."""
        self.limit = max(1, report.limit)
        self._pressure = (report.queued + report.in_flight) / self.limit
        self._reported_at = now
        self.unreported = 0
        self._service.note_pressure(self._pressure)

    def measured(self, kind: str, service_seconds: float, elapsed: float, now: float) -> None:
        """Take in the time of a call that ran; waiting in the queue is no network time."""
        self.times.add(kind, service_seconds, now)
        self._service.times.add(kind, service_seconds, now)
        sample = max(0.0, elapsed - service_seconds)
        if sample < self.network:
            self.network = sample
        else:
            self.network += NETWORK_RISE * min(sample - self.network, self.network)

    def timed_out(self, kind: str, elapsed: float, now: float) -> None:
        """Take in a call that gave no answer for a time."""
        self.times.add_lower_bound(kind, elapsed, now)

    def completion_seconds(self, kind: str, pressure: float, now: float) -> float:
        """Return the expected time from sending a call to its answer."""
        crowding = max(0.0, pressure - 1.0) * CROWDING_FACTOR
        return self.service_seconds(kind, now) * (1.0 + pressure + crowding) + self.network

    def pressure(self, now: float) -> float:
        """Return the work per slot; an old report fades into the mean of the service."""
        usual = self._service.pressure
        own = self.in_flight / self.limit
        if self._reported_at is None:
            return max(usual, own)
        trust = 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_SECONDS)
        others = usual + trust * (self._pressure - usual)
        return max(others + self.unreported / self.limit, own)

    def service_seconds(self, kind: str, now: float) -> float:
        """Return the time of a kind here; an old measurement fades into a guess."""
        guess = self._guess(kind)
        measured = self.times.by_kind.get(kind)
        if measured is None:
            return guess
        trust = 0.5 ** ((now - measured.sampled_at) / TIME_HALF_LIFE_SECONDS)
        return guess + trust * (measured.mean - guess)

    def _guess(self, kind: str) -> float:
        """Return the kind's usual time in the whole service, or that of all kinds."""
        usual = self._service.times
        measured = usual.by_kind.get(kind)
        return usual.overall.mean if measured is None else measured.mean
