"""The circuit breaker for an upstream that refuses calls although it calls itself healthy.

Load pattern: the upstream refuses every call at once, or a large part of them. Its gate looks idle,
so it attracts the calls of its service, and each of them spends a retry of the fleet. If it refuses
only a part, the breaker stays closed and tells the share, so that routers prefer other instances.
"""

from bamboojunction.core.admission.tickets import CompletionStatus

# Consecutive refusals that open the breaker. An upstream that is only full refuses single calls,
# since calls end in between.
REFUSALS_TO_OPEN = 8
# Time without any other end that has to pass as well: a full upstream with slow calls may refuse
# several in a row.
REFUSING_SECONDS_MIN = 0.2
PROBE_INTERVAL_SECONDS = 0.15
PROBES_TO_CLOSE = 2
REFUSED_SHARE_SMOOTHING_FACTOR = 0.1


class RefusalBreaker:
    """A breaker that opens when the upstream only refuses, and then lets single probes through.

    It closes once a few probes in a row were run. The first of them lets the next follow at once.
    """

    __slots__ = (
        "_last_run_at",
        "_next_probe_at",
        "_probes_run",
        "_refusals",
        "is_open",
        "refused_share",
    )

    def __init__(self):
        self.is_open = False
        # The moving average of the share of calls that the upstream refused.
        self.refused_share = 0.0
        self._refusals = 0
        self._last_run_at = float("-inf")
        self._next_probe_at = 0.0
        self._probes_run = 0

    def admits(self, now: float) -> bool:
        """Return whether a call may be sent to the upstream; an open breaker counts it as probe."""
        if not self.is_open:
            return True
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        return True

    def record_end(self, status: CompletionStatus, now: float) -> None:
        """Record how a call ended at the upstream."""
        match status:
            case CompletionStatus.OVERLOADED:
                self._record_refusal(now)
            case CompletionStatus.SUCCEEDED | CompletionStatus.FAILED:
                self._record_run(now)

    def _record_refusal(self, now: float) -> None:
        self.refused_share += REFUSED_SHARE_SMOOTHING_FACTOR * (1.0 - self.refused_share)
        self._refusals += 1
        self._probes_run = 0
        if (
            self._refusals >= REFUSALS_TO_OPEN
            and now - self._last_run_at >= REFUSING_SECONDS_MIN
            and not self.is_open
        ):
            self.is_open = True
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS

    def _record_run(self, now: float) -> None:
        self.refused_share -= REFUSED_SHARE_SMOOTHING_FACTOR * self.refused_share
        self._refusals = 0
        self._last_run_at = now
        if not self.is_open:
            return
        self._probes_run += 1
        self._next_probe_at = now
        if self._probes_run >= PROBES_TO_CLOSE:
            self.is_open = False
            self._probes_run = 0
