"""A virtual clock with timed events."""

import heapq
from collections.abc import Callable
from itertools import count


class Timer:
    """Hold one callback that is due at a time and may be cancelled."""

    __slots__ = ("arguments", "callback", "cancelled")

    def __init__(self, callback: Callable, arguments: tuple):
        self.callback = callback
        self.arguments = arguments
        self.cancelled = False

    def cancel(self) -> None:
        """Keep the callback from running."""
        self.cancelled = True


class VirtualClock:
    """Run callbacks in the order of their times; ``now`` is in seconds."""

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()

    def call_at(self, time: float, callback: Callable, *arguments) -> Timer:
        """Run a callback at a time, or as soon as possible when the time has passed."""
        timer = Timer(callback, arguments)
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), timer))
        return timer

    def call_later(self, delay: float, callback: Callable, *arguments) -> Timer:
        """Run a callback after a delay in seconds."""
        return self.call_at(self.now + delay, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Run every callback that is due up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            time, _, timer = heapq.heappop(heap)
            if timer.cancelled:
                continue
            self.now = time
            timer.callback(*timer.arguments)
        self.now = end
