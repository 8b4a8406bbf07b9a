"""The order of work on the requests that a client pipelines on one connection.

Load pattern: clients send further requests before the first is answered, with deadlines that all
run from the moment of sending. One slow request must not hold up the work on those behind it, and a
request behind a response that closes the connection must never have been passed on.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

# Requests of one connection that may be in work, or answered before it is their turn.
CONCURRENT_MAX = 8
# Requests read ahead on one connection. While reading goes on, a disconnect is noticed.
REQUESTS_MAX = 64


class Stage(Enum):
    """How far a pipelined request has come."""

    WAITING = auto()
    IN_WORK = auto()
    ANSWERED = auto()


@dataclass(slots=True, eq=False)
class PipelinedRequest:
    """A request with its position in the pipeline; ``response`` is set once it is answered.

    ``may_run_ahead`` is set for an idempotent request, which may be in work while those before it
    are. ``closes_connection`` is set if nothing may follow its response.
    """

    content: object
    may_run_ahead: bool
    closes_connection: bool = False
    stage: Stage = Stage.WAITING
    response: object = None


class RequestPipeline:
    """The requests of one connection in the order in which they arrived.

    The first request is always started. One behind it is started if it may run ahead and all before
    it are started. Responses leave in order. Once ``close_soon`` was called, or a request that
    closes the connection was added, no request behind the last one in work is started.
    """

    __slots__ = ("_is_closed", "_is_closing", "_requests")

    def __init__(self):
        self._requests: deque[PipelinedRequest] = deque()
        # Set once the response that closes the connection was removed.
        self._is_closed = False
        self._is_closing = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def is_full(self) -> bool:
        """Return whether no further request should be read before one is answered."""
        return len(self._requests) >= REQUESTS_MAX

    def add(self, request: PipelinedRequest) -> None:
        """Append a request."""
        self._requests.append(request)

    def answer(self, request: PipelinedRequest, response: object) -> None:
        """Set the response of a request in work."""
        request.stage = Stage.ANSWERED
        request.response = response

    def close_soon(self) -> None:
        """Close the connection after the responses to the requests that are already started."""
        self._is_closing = True

    def start_next(self) -> list[PipelinedRequest]:
        """Mark the requests that may start now as in work, and return them."""
        started: list[PipelinedRequest] = []
        if self._is_closed:
            return started
        for position, request in enumerate(self._requests):
            if request.stage is Stage.WAITING:
                is_first = position == 0
                may_overlap = (
                    request.may_run_ahead and not self._is_closing and position < CONCURRENT_MAX
                )
                if not is_first and not may_overlap:
                    break
                request.stage = Stage.IN_WORK
                started.append(request)
            if request.closes_connection:
                break
        return started

    def pop_answered(self) -> list[PipelinedRequest]:
        """Remove and return the answered requests whose turn it is.

        The last one has ``closes_connection`` set if the connection is to be closed after it. The
        requests behind it are then not started; ``clear`` returns them.
        """
        answered: list[PipelinedRequest] = []
        while self._requests and self._requests[0].stage is Stage.ANSWERED:
            request = self._requests.popleft()
            answered.append(request)
            if self._is_closing and not self._is_any_started():
                request.closes_connection = True
            if request.closes_connection:
                self._is_closed = True
                break
        return answered

    def clear(self) -> list[PipelinedRequest]:
        """Remove and return all requests."""
        removed = list(self._requests)
        self._requests.clear()
        return removed

    def _is_any_started(self) -> bool:
        return any(request.stage is not Stage.WAITING for request in self._requests)
