"""Hands the requests of an HTTP server to threads that start when they are needed."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

from kumquatlift.log import get_logger


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """A dispatcher of waitress that starts a thread when a request waits and none is idle.

    Waitress starts all threads at once. A process that serves a few callers most of the time would
    hold the threads of its worst burst, and many such processes on one machine take all threads
    that it has. Threads that were started stay.

    Args:
        limit: Largest number of threads; further requests wait.
        name: Name of the server, for the log.
    """

    def __init__(self, *, limit: int, name: str) -> None:
        super().__init__()
        self._limit = limit
        self._name = name
        self._is_closed = False
        # With one thread at least, no request waits for ever when the system refuses others.
        self.set_thread_count(1)

    def add_task(self, task: Any) -> None:
        """Queue a request, and start a thread for it if all others are at work."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            if len(self.queue) > idle and running < self._limit and not self._is_closed:
                self._start_thread()

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """End the threads once they have served what they serve; none is started any more."""
        with self.lock:
            self._is_closed = True
        return bool(super().shutdown(cancel_pending, timeout))

    def _start_thread(self) -> None:
        number = next(each for each in range(self._limit) if each not in self.threads)
        self.threads.add(number)
        try:
            self.start_new_thread(self.handler_thread, number)
        except RuntimeError as exc:
            # The request waits for one of the other threads.
            self.threads.discard(number)
            get_logger().error("thread_not_started", pool=self._name, error=repr(exc))
        else:
            self.active_count += 1
