"""Tracing: a span for each hop of a call, exported when a trace endpoint is set.

OpenTelemetry is imported only when tracing is enabled, so that it costs nothing otherwise.
"""

from bamboojunction.conf.settings import Settings
from bamboojunction.core.outcomes import Outcome


class HopSpan:
    """An unrecorded span of one hop, which only propagates the caller's trace context."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str):
        self.traceparent = traceparent

    def end(self, outcome: Outcome) -> None:
        """End the span; an unrecorded span ignores the outcome."""


class Tracer:
    """A tracer whose spans are not recorded, for a node without a trace endpoint."""

    __slots__ = ()

    @classmethod
    def from_config(cls, settings: Settings) -> "Tracer":
        """Return an exporting tracer if a trace endpoint is set, or one that records nothing."""
        if not settings.telemetry.trace_endpoint:
            return cls()
        from bamboojunction.telemetry.spans import ExportingTracer

        return ExportingTracer.from_config(settings)

    def start_span(self, name: str, traceparent: str) -> HopSpan:
        """Return a span that propagates the caller's traceparent unchanged."""
        return HopSpan(traceparent)

    async def close(self) -> None:
        """Export pending spans and shut down."""


NOOP_TRACER = Tracer()
