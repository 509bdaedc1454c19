"""Event loop that runs the controllers of a process, and their sockets, in one thread."""

import heapq
import itertools
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from kumquatlift.clock import Clock
from kumquatlift.log import get_logger
from kumquatlift.timer import TimerHandle

# Posted events, and events of sockets, handled before the batch callbacks run. The limit bounds how
# long a burst of events delays replies and syncs.
MAX_BATCH = 200
_MAX_WAIT_S = 1.0
_WAKE_BYTES = 4096


class EventLoop:
    """Runs posted functions, timers and the callbacks of sockets in one thread, without locks.

    Args:
        clock: Clock for the timers.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # Appending to a deque and reading its length are atomic.
        self._events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._timers: list[tuple[float, int, TimerHandle]] = []
        self._order = itertools.count()
        self._batch_callbacks: list[Callable[[], None]] = []
        self._is_stopped = False
        self._epoll = select.epoll()
        self._watches: dict[int, Callable[[int], None]] = {}
        # Whether the loop waits, or is about to, so that ``post`` has to wake it.
        self._is_waiting = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.watch(self._wake_reader, self._on_wake)

    def post(self, function: Callable[..., None], *args: Any) -> None:
        """Run a function in the loop's thread; thread-safe."""
        self._events.append((function, args))
        if self._is_waiting:
            self._is_waiting = False
            try:
                self._wake_writer.send(b"\0")
            except BlockingIOError:
                # The buffer is full of earlier wake-ups, which the loop has yet to read.
                return

    def watch(
        self, sock: socket.socket, callback: Callable[[int], None], *, for_writing: bool = False
    ) -> None:
        """Call a function whenever a socket is ready; only for the loop's own thread.

        Args:
            sock: A non-blocking socket. Watching it again replaces the earlier watch.
            callback: Is called with the mask of ``select.epoll``, while the socket is readable or
                has failed.
            for_writing: Whether it is also called while the socket is writable.
        """
        number = sock.fileno()
        mask = select.EPOLLIN | (select.EPOLLOUT if for_writing else 0)
        if number in self._watches:
            self._epoll.modify(number, mask)
        else:
            self._epoll.register(number, mask)
        self._watches[number] = callback

    def unwatch(self, sock: socket.socket) -> None:
        """End the watch of a socket, before it is closed; only for the loop's own thread."""
        if self._watches.pop(sock.fileno(), None) is not None:
            self._epoll.unregister(sock.fileno())

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
        self._run_ready_sockets(wait_s)
        for _ in range(MAX_BATCH):
            if not self._events:
                break
            function, args = self._events.popleft()
            self._call_and_log_errors(function, *args)
        now = self._clock.now()
        while self._timers and self._timers[0][0] <= now:
            handle = heapq.heappop(self._timers)[2]
            if handle.function is not None:
                self._call_and_log_errors(handle.function)
        for callback in self._batch_callbacks:
            self._call_and_log_errors(callback)

    def _run_ready_sockets(self, wait_s: float) -> None:
        self._is_waiting = wait_s > 0
        # An event posted before ``_is_waiting`` was set has not woken the loop.
        ready = self._epoll.poll(0 if self._events else wait_s, MAX_BATCH)
        self._is_waiting = False
        watches = [(number, self._watches.get(number), mask) for number, mask in ready]
        for number, callback, mask in watches:
            # An earlier callback may have closed this socket, and its number may be that of a new
            # one.
            if callback is not None and self._watches.get(number) is callback:
                self._call_and_log_errors(callback, mask)

    def _on_wake(self, _mask: int) -> None:
        self._wake_reader.recv(_WAKE_BYTES)

    @staticmethod
    def _call_and_log_errors(function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except Exception as exc:
            # An exception in one event must not stop the controllers of the process.
            get_logger().error("event_failed", error=repr(exc), exc_info=True)


def _do_nothing() -> None:
    return
