"""Event loop that runs the controllers of a process in one thread."""

import heapq
import itertools
import queue
from collections.abc import Callable
from typing import Any

from kumquatlift.clock import Clock
from kumquatlift.log import get_logger
from kumquatlift.timer import TimerHandle

# Events handled before the batch callbacks run. The limit bounds how long a burst of events delays
# replies and syncs.
MAX_BATCH = 200
_MAX_WAIT_S = 1.0


class EventLoop:
    """Runs posted functions and timers in one thread, so that controllers need no locks.

    Args:
        clock: Clock for the timers.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._events: queue.SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = (
            queue.SimpleQueue()
        )
        self._timers: list[tuple[float, int, TimerHandle]] = []
        self._order = itertools.count()
        self._batch_callbacks: list[Callable[[], None]] = []
        self._is_stopped = False

    def post(self, function: Callable[..., None], *args: Any) -> None:
        """Run a function in the loop's thread; thread-safe."""
        self._events.put((function, args))

    def call_at(self, when: float, function: Callable[[], None]) -> TimerHandle:
        """Run a function when the clock reaches ``when``; only for the loop's own thread."""
        handle = TimerHandle(function=function)
        heapq.heappush(self._timers, (when, next(self._order), handle))
        return handle

    def call_after(self, seconds: float, function: Callable[[], None]) -> TimerHandle:
        """Run a function after a number of seconds; only for the loop's own thread."""
        return self.call_at(self._clock.now() + seconds, function)

    def call_every(self, seconds: float, function: Callable[[], None]) -> None:
        """Run a function periodically; only for the loop's own thread."""

        def repeat() -> None:
            self.call_after(seconds, repeat)
            function()

        self.call_after(seconds, repeat)

    def after_batch(self, function: Callable[[], None]) -> None:
        """Run a function after each batch of events, in the order of registration."""
        self._batch_callbacks.append(function)

    def stop(self) -> None:
        """Make ``run`` return; thread-safe."""
        self._is_stopped = True
        self.post(_do_nothing)

    def run(self) -> None:
        """Run events and timers until ``stop`` is called."""
        while not self._is_stopped:
            self._run_batch(self._wait_s())

    def run_pending(self) -> None:
        """Run posted events and due timers without waiting; for simulations on a manual clock."""
        self._run_batch(0.0)

    def _wait_s(self) -> float:
        if not self._timers:
            return _MAX_WAIT_S
        return min(_MAX_WAIT_S, max(0.0, self._timers[0][0] - self._clock.now()))

    def _run_batch(self, wait_s: float) -> None:
        try:
            function, args = self._events.get(timeout=wait_s) if wait_s else self._events.get(False)
            self._call_and_log_errors(function, *args)
            for _ in range(MAX_BATCH):
                function, args = self._events.get(False)
                self._call_and_log_errors(function, *args)
        except queue.Empty:
            pass
        now = self._clock.now()
        while self._timers and self._timers[0][0] <= now:
            handle = heapq.heappop(self._timers)[2]
            if handle.function is not None:
                self._call_and_log_errors(handle.function)
        for callback in self._batch_callbacks:
            self._call_and_log_errors(callback)

    @staticmethod
    def _call_and_log_errors(function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except Exception as exc:
            # An exception in one event must not stop the controllers of the process.
            get_logger().error("event_failed", error=repr(exc), exc_info=True)


def _do_nothing() -> None:
    return
