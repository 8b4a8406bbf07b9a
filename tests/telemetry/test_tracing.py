"""Hops are recorded as spans of one trace, or only propagate it when tracing is disabled."""

import subprocess
import sys
import unittest

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from bamboojunction.conf.loader import parse_settings
from bamboojunction.core.outcomes import Ran
from bamboojunction.telemetry.spans import OUTCOME_ATTRIBUTE, ExportingTracer
from bamboojunction.telemetry.tracing import Tracer
from tests.conf.test_loader import VALID

TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class TracesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.settings = parse_settings(VALID, "node.ini").unwrap()
        self.exporter = InMemorySpanExporter()
        processor = SimpleSpanProcessor(self.exporter)
        self.tracer = ExportingTracer(self.settings.node, processor)

    async def test_hops_form_a_chain_under_the_callers_span(self):
        outer = self.tracer.start_span("router", TRACEPARENT)
        inner = self.tracer.start_span("gate", outer.traceparent)
        inner.end(Ran(200))
        outer.end(Ran(200))
        gate, router = self.exporter.get_finished_spans()
        self.assertEqual(f"{router.parent.span_id:016x}", "b7ad6b7169203331")
        self.assertEqual(gate.parent.span_id, router.context.span_id)
        self.assertEqual(f"{gate.context.trace_id:032x}", TRACEPARENT.split("-")[1])
        self.assertEqual(gate.attributes[OUTCOME_ATTRIBUTE], "ran")
        await self.tracer.close()

    def test_missing_or_malformed_parent_starts_a_new_trace(self):
        for parent in ("", "nonsense", "00-0-0-01"):
            with self.subTest(parent=parent):
                span = self.tracer.start_span("router", parent)
                self.assertRegex(span.traceparent, r"^00-[0-9a-f]{32}-[0-9a-f]{16}-0[13]$")

    def test_unsampled_trace_is_not_recorded(self):
        span = self.tracer.start_span("router", TRACEPARENT[:-2] + "00")
        span.end(Ran(200))
        self.assertTrue(span.traceparent.endswith("-00"))
        self.assertEqual(self.exporter.get_finished_spans(), ())

    async def test_traceparent_is_propagated_when_tracing_is_disabled(self):
        tracer = Tracer.from_config(self.settings)
        span = tracer.start_span("router", TRACEPARENT)
        span.end(Ran(200))
        await tracer.close()
        self.assertEqual(span.traceparent, TRACEPARENT)

    def test_tracing_library_is_not_imported_when_tracing_is_disabled(self):
        script = (
            "import sys, bamboojunction.telemetry.tracing, bamboojunction.node.process;"
            "sys.exit('opentelemetry' in sys.modules)"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", script]).returncode, 0)
