"""A virtual clock that runs callbacks in the order of their times."""

import heapq
from collections.abc import Callable
from itertools import count


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("arguments", "callback", "cancelled")

    def __init__(self, callback: Callable, arguments: tuple):
        self.callback = callback
        self.arguments = arguments
        self.cancelled = False

    def cancel(self) -> None:
        """Keep the callback from running."""
        self.cancelled = True


class VirtualClock:
    """An event loop without waiting: ``now``, in seconds, jumps to the time of each callback.

    Callbacks that are due at the same time run in the order in which they were scheduled.
    """

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()

    def call_at(self, time: float, callback: Callable, *arguments) -> Timer:
        """Schedule a callback at a time, or now if that time has passed."""
        timer = Timer(callback, arguments)
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), timer))
        return timer

    def call_later(self, delay: float, callback: Callable, *arguments) -> Timer:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self.now + delay, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Run every callback that is due by ``end`` and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            time, _, timer = heapq.heappop(heap)
            if timer.cancelled:
                continue
            self.now = time
            timer.callback(*timer.arguments)
        self.now = end
