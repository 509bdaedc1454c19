"""Thread pool for the requests of an HTTP server; threads start on demand."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

from kumquatlift.log import get_logger


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Waitress dispatcher that starts a thread when a request is queued and no thread is idle.

    Waitress itself starts all threads at once. A process that mostly serves a few callers would
    then hold as many threads as its worst burst needs, and many such processes on one machine can
    exhaust the machine's threads. Started threads stay until ``shutdown``.

    Args:
        limit: Maximum number of threads; further requests are queued.
        name: Name of the server in log lines.
    """

    def __init__(self, *, limit: int, name: str) -> None:
        super().__init__()
        self._limit = limit
        self._name = name
        self._is_closed = False
        # One thread always exists, so that requests are served even if no other can be started.
        self.set_thread_count(1)

    def add_task(self, task: Any) -> None:
        """Queue a request; start a thread if no idle one can take it and the limit allows."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            if len(self.queue) > idle and running < self._limit and not self._is_closed:
                self._start_thread()

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Stop each thread after its current request, and start no more."""
        with self.lock:
            self._is_closed = True
        return bool(super().shutdown(cancel_pending, timeout))

    def _start_thread(self) -> None:
        number = next(each for each in range(self._limit) if each not in self.threads)
        self.threads.add(number)
        try:
            self.start_new_thread(self.handler_thread, number)
        except RuntimeError as exc:
            # The request stays queued for one of the running threads.
            self.threads.discard(number)
            get_logger().error("thread_not_started", pool=self._name, error=repr(exc))
        else:
            self.active_count += 1
