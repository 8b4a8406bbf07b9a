"""The order of work and answers on a connection with pipelined requests, for random histories."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

import tests.fuzz.profiles  # noqa: F401
from bamboojunction.core.pipelining import (
    CONCURRENT_MAX,
    PipelinedRequest,
    RequestPipeline,
    Stage,
)

# A request is added as idempotent or not, one in work is answered, or the close begins.
HISTORIES = st.lists(
    st.sampled_from(["add idempotent", "add other", "close"]) | st.integers(0, 20), max_size=60
)


def add(pipeline: RequestPipeline, number: int, may_run_ahead: bool) -> PipelinedRequest:
    request = PipelinedRequest(number, may_run_ahead)
    pipeline.add(request)
    return request


class PipelineTests(unittest.TestCase):
    def test_idempotent_requests_run_side_by_side_and_are_answered_in_order(self):
        pipeline = RequestPipeline()
        slow, fast = add(pipeline, 1, True), add(pipeline, 2, True)
        self.assertEqual(pipeline.start_next(), [slow, fast])
        pipeline.answer(fast, "second")
        self.assertEqual(pipeline.pop_answered(), [])
        pipeline.answer(slow, "first")
        self.assertEqual(pipeline.pop_answered(), [slow, fast])

    def test_other_requests_wait_for_those_ahead(self):
        pipeline = RequestPipeline()
        first, charge, last = (
            add(pipeline, 1, True),
            add(pipeline, 2, False),
            add(pipeline, 3, True),
        )
        self.assertEqual(pipeline.start_next(), [first])
        pipeline.answer(first, "")
        pipeline.pop_answered()
        self.assertEqual(pipeline.start_next(), [charge, last])

    def test_requests_behind_a_closing_response_are_never_started(self):
        pipeline = RequestPipeline()
        running, waiting = add(pipeline, 1, False), add(pipeline, 2, False)
        pipeline.start_next()
        pipeline.close_soon()
        pipeline.answer(running, "")
        answered = pipeline.pop_answered()
        self.assertTrue(answered[-1].closes_connection)
        self.assertEqual(pipeline.start_next(), [])
        self.assertIs(waiting.stage, Stage.WAITING)

    def test_close_waits_for_every_request_in_work(self):
        pipeline = RequestPipeline()
        requests = [add(pipeline, number, True) for number in range(3)]
        pipeline.start_next()
        pipeline.close_soon()
        for request in requests:
            pipeline.answer(request, "")
        answered = pipeline.pop_answered()
        self.assertEqual([request.closes_connection for request in answered], [False, False, True])

    def test_number_in_work_is_bounded(self):
        pipeline = RequestPipeline()
        for number in range(3 * CONCURRENT_MAX):
            add(pipeline, number, True)
        self.assertEqual(len(pipeline.start_next()), CONCURRENT_MAX)

    @given(HISTORIES)
    def test_any_history_keeps_the_order_and_answers_all_that_was_started(self, history):
        pipeline = RequestPipeline()
        started, answered, is_closing = [], [], False
        for number, step in enumerate(history):
            if step == "close":
                is_closing = True
                pipeline.close_soon()
            elif isinstance(step, str):
                add(pipeline, number, step == "add idempotent")
            else:
                in_work = [request for request in started if request.stage is Stage.IN_WORK]
                if in_work:
                    pipeline.answer(in_work[step % len(in_work)], "")
            answered += pipeline.pop_answered()
            if answered and answered[-1].closes_connection:
                break
            new = pipeline.start_next()
            in_work = [request for request in started if request.stage is not Stage.ANSWERED]
            for request in new:
                self.assertTrue(request.may_run_ahead or (request is new[0] and not in_work))
            started += new
        numbers = [request.content for request in answered]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(answered, started[: len(answered)])
        if answered and answered[-1].closes_connection:
            # Nothing that was passed on stays without an answer.
            self.assertTrue(is_closing)
            self.assertEqual(answered, started)
