"""Recording and export of spans through OpenTelemetry."""

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
from bamboojunction.telemetry.tracing import HopSpan, Tracer

EXPORT_TIMEOUT_SECONDS = 5
OUTCOME_ATTRIBUTE = "bamboojunction.outcome"
REASON_ATTRIBUTE = "bamboojunction.reason"
STATUS_ATTRIBUTE = "http.response.status_code"


class RecordedHopSpan(HopSpan):
    """The recorded OpenTelemetry span of one hop."""

    __slots__ = ("_span",)

    def __init__(self, span: Span):
        context = span.get_span_context()
        super().__init__(
            f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
        )
        self._span = span

    def end(self, outcome: Outcome) -> None:
        """Set the outcome of the hop as attributes and end the span."""
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


class ExportingTracer(Tracer):
    """A tracer that records a span for each hop, unless the caller's trace is not sampled."""

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
    def from_config(cls, settings: Settings) -> "ExportingTracer":
        """Return a tracer that exports in the background over OTLP/HTTP."""
        session = requests.Session()
        session.trust_env = False  # Ignore the proxies that the environment configures.
        exporter = OTLPSpanExporter(
            endpoint=settings.telemetry.trace_endpoint,
            timeout=EXPORT_TIMEOUT_SECONDS,
            session=session,
        )
        return cls(settings.node, BatchSpanProcessor(exporter))

    def start_span(self, name: str, traceparent: str) -> HopSpan:
        """Start a child span of the caller's span, or the root span of a new trace."""
        context = self._propagator.extract({"traceparent": traceparent})
        return RecordedHopSpan(self._tracer.start_span(name, context, SpanKind.SERVER))

    async def close(self) -> None:
        """Export pending spans and shut down, in a thread because the export blocks."""
        await asyncio.to_thread(self._provider.shutdown)
