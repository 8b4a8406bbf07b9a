"""Traces: a span for each hop of a call, exported when an endpoint is set.

The tracing library is imported only when traces are on, so that it costs nothing when they are off.
"""

from bamboojunction.conf.settings import Settings
from bamboojunction.core.outcomes import Outcome


class Hop:
    """Pass the trace of a call on; the hop of a node without a trace endpoint."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str):
        self.traceparent = traceparent

    def end(self, outcome: Outcome) -> None:
        """End the span with the outcome of the hop."""


class Traces:
    """Start hops that are not recorded."""

    __slots__ = ()

    @classmethod
    def from_config(cls, settings: Settings) -> "Traces":
        """Create the traces that the settings ask for."""
        if not settings.telemetry.trace_endpoint:
            return cls()
        from bamboojunction.telemetry.spans import ExportedTraces

        return ExportedTraces.to_endpoint(settings)

    def start_hop(self, name: str, traceparent: str) -> Hop:
        """Start the span of a hop as a child of the caller's."""
        return Hop(traceparent)

    async def close(self) -> None:
        """Export the rest and close."""


NO_TRACES = Traces()
