"""Spans that are recorded and exported through OpenTelemetry."""

import asyncio

import requests
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from bamboojunction.conf.settings import NodeSettings, Settings
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown
from bamboojunction.telemetry.traces import Hop, Traces

EXPORT_TIMEOUT_SECONDS = 5
OUTCOME_ATTRIBUTE = "bamboojunction.outcome"
REASON_ATTRIBUTE = "bamboojunction.reason"
STATUS_ATTRIBUTE = "http.response.status_code"


class RecordedHop(Hop):
    """Hold the span of one hop."""

    __slots__ = ("_span",)

    def __init__(self, span: Span):
        context = span.get_span_context()
        super().__init__(
            f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
        )
        self._span = span

    def end(self, outcome: Outcome) -> None:
        """End the span with the outcome of the hop."""
        match outcome:
            case Ran(status=status):
                self._span.set_attribute(OUTCOME_ATTRIBUTE, "ran")
                self._span.set_attribute(STATUS_ATTRIBUTE, status)
            case NotRun(reason=reason):
                self._span.set_attribute(OUTCOME_ATTRIBUTE, "not-run")
                self._span.set_attribute(REASON_ATTRIBUTE, reason.value)
            case Unknown(reason=reason):
                self._span.set_attribute(OUTCOME_ATTRIBUTE, "unknown")
                self._span.set_attribute(REASON_ATTRIBUTE, reason.value)
        self._span.end()


class ExportedTraces(Traces):
    """Record a span for each hop whose caller did not turn sampling off."""

    __slots__ = ("_propagator", "_provider", "_tracer")

    def __init__(self, node: NodeSettings, processor: SpanProcessor):
        resource = Resource(
            {
                "service.name": node.service,
                "service.instance.id": node.instance,
                "cloud.availability_zone": node.data_centre,
                "cloud.region": node.region,
            }
        )
        self._provider = TracerProvider(
            sampler=ParentBased(ALWAYS_ON), resource=resource, shutdown_on_exit=False
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("bamboojunction")
        self._propagator = TraceContextTextMapPropagator()

    @classmethod
    def to_endpoint(cls, settings: Settings) -> "ExportedTraces":
        """Create traces that are exported over OTLP/HTTP in the background."""
        session = requests.Session()
        session.trust_env = False  # The endpoint is reached as set, never through a proxy.
        exporter = OTLPSpanExporter(
            endpoint=settings.telemetry.trace_endpoint,
            timeout=EXPORT_TIMEOUT_SECONDS,
            session=session,
        )
        return cls(settings.node, BatchSpanProcessor(exporter))

    def start_hop(self, name: str, traceparent: str) -> Hop:
        """Start the span of a hop as a child of the caller's, or the root of a new trace."""
        context = self._propagator.extract({"traceparent": traceparent})
        return RecordedHop(self._tracer.start_span(name, context, SpanKind.SERVER))

    async def close(self) -> None:
        """Export the rest and close; the export blocks, so it runs in a thread."""
        await asyncio.to_thread(self._provider.shutdown)
