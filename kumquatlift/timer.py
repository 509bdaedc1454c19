"""A timer that calls functions at given times from one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from kumquatlift.clock import Clock
from kumquatlift.log import get_logger

_MAX_WAIT_S = 60.0


class TimerHandle:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("function",)

    def __init__(self, *, function: Callable[[], None]) -> None:
        self.function: Callable[[], None] | None = function

    def cancel(self) -> None:
        """Cancel the call if it has not begun."""
        self.function = None


class Timer:
    """Runs functions when they are due, one at a time.

    Functions must be short and must not block, since each one delays all others.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._order = itertools.count()
        self._due: list[tuple[float, int, TimerHandle]] = []
        self._changed = threading.Condition()
        self._closed = False
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="timer")
        self._executor.submit(self._run)

    def call_at(self, when: float, function: Callable[[], None]) -> TimerHandle:
        """Call a function once the clock reaches ``when``, in monotonic seconds."""
        handle = TimerHandle(function=function)
        with self._changed:
            heapq.heappush(self._due, (when, next(self._order), handle))
            if self._due[0][2] is handle:
                self._changed.notify()
        return handle

    def call_after(self, seconds: float, function: Callable[[], None]) -> TimerHandle:
        """Call a function after a number of seconds."""
        return self.call_at(self._clock.now() + seconds, function)

    def call_every(self, seconds: float, function: Callable[[], None]) -> None:
        """Call a function repeatedly until the timer is closed.

        Args:
            seconds: Time from the end of one call to the start of the next.
            function: Function without arguments; it is called again after an exception.
        """

        def repeat() -> None:
            try:
                function()
            finally:
                self.call_after(seconds, repeat)

        self.call_after(seconds, repeat)

    def close(self) -> None:
        """Cancel all calls and end the thread."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        while True:
            with self._changed:
                handle = self._next_due()
            if handle is None:
                return
            if handle.function is not None:
                try:
                    handle.function()
                except Exception as exc:
                    get_logger().error("timer_failed", error=repr(exc), exc_info=True)

    def _next_due(self) -> TimerHandle | None:
        while not self._closed:
            if not self._due:
                self._changed.wait(_MAX_WAIT_S)
                continue
            wait_s = self._due[0][0] - self._clock.now()
            if wait_s <= 0:
                return heapq.heappop(self._due)[2]
            self._changed.wait(min(wait_s, _MAX_WAIT_S))
        return None
