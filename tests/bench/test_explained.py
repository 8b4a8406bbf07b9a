"""The share of failed requests that logs explain."""

import unittest

from bamboo_bench.explained import explain_failures


def attempt(request_id: str, instance: str, outcome: str) -> str:
    return (
        f"event=request.attempt node=n-1 id={request_id} kind=read service=menu "
        f"instance={instance} outcome={outcome} ms=3 step=answer"
    )


def answered(request_id: str, status: int, kind: str = "read") -> str:
    return (
        f"event=request.answered node=n-1 id={request_id} "
        f'kind="{kind}" status={status} ms=9 version=9'
    )


LOG = [
    attempt("a", "", "not-run:shed-at-edge"),
    answered("a", 503),
    attempt("b.1", "n-3", "not-run:upstream-refused"),
    answered("b.1", 503),
    attempt("b", "n-2", "ran:500"),
    answered("b", 500),
    answered("c", 502),
    answered("d", 200),
    answered("e", 404, kind=""),
]


class ExplainedTests(unittest.TestCase):
    def test_failures_of_callers_are_counted_by_cause(self):
        figures = explain_failures(LOG)
        self.assertEqual(
            sorted(figures.causes),
            [
                "answered 404: no route of version ... matches",
                "answered 500: not-run:upstream-refused at ... for ...",
                "answered 503: not-run:shed-at-edge at ... for ...",
            ],
        )
        self.assertEqual(figures.unexplained, ["c"])
        self.assertEqual(figures.explained_share, 0.75)

    def test_without_failures_all_is_explained(self):
        self.assertEqual(explain_failures([]).explained_share, 1.0)


if __name__ == "__main__":
    unittest.main()
