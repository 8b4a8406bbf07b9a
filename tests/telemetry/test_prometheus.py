"""The Prometheus metrics that a node on the platform serves as text."""

import unittest

from bamboojunction.telemetry.prometheus import (
    KIND_LABELS_MAX,
    OTHER_KINDS_LABEL,
    PrometheusMetrics,
)


class PrometheusMetricsTests(unittest.TestCase):
    def setUp(self):
        self.metrics = PrometheusMetrics()

    def render(self) -> str:
        return self.metrics.render().decode()

    def test_each_part_of_a_path_has_a_histogram(self):
        self.metrics.record_answer("pay", 200, 0.25)
        self.metrics.record_link_time("pay", "billing", 0.01)
        self.metrics.record_gate_answer("pay", "billing", "ran:200", 0.02, 0.2)
        for service, part in (
            ("", "whole"),
            *(("billing", x) for x in ("link", "queue", "upstream")),
        ):
            line = f'bamboo_seconds_count{{kind="pay",part="{part}",service="{service}"}} 1.0'
            self.assertIn(line, self.render())

    def test_kinds_beyond_the_limit_share_a_label(self):
        for number in range(KIND_LABELS_MAX + 10):
            self.metrics.record_answer(f"kind-{number}", 200, 0.1)
        self.assertIn(
            f'bamboo_answers_total{{kind="{OTHER_KINDS_LABEL}",status="200"}} 10.0', self.render()
        )

    def test_state_is_read_when_metrics_are_rendered(self):
        self.metrics.collect_state = lambda: {"repeats_left": 3.0}
        self.assertIn('bamboo_state{name="repeats_left"} 3.0', self.render())
