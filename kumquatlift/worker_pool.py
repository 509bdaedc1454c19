"""A thread pool that loses no work when the system refuses to start another thread."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from kumquatlift.log import get_logger


class WorkerPool:
    """Runs functions in threads that are started on demand.

    ``ThreadPoolExecutor.submit`` queues the function before it starts a thread, and raises
    RuntimeError if the system refuses the thread, so its caller would treat the function as not
    submitted although it may still run. Here the function stays queued until another thread of the
    pool is free, or until the next ``submit`` or ``wake`` starts a thread.

    Args:
        threads: Largest number of threads.
        name: Prefix of the threads' names.
    """

    def __init__(self, *, threads: int, name: str) -> None:
        self._name = name
        self._executor = ThreadPoolExecutor(max_workers=threads, thread_name_prefix=name)
        self._lock = threading.Lock()
        self._thread_was_refused = False
        self._is_closed = False

    def submit(self, function: Callable[..., object], *args: Any) -> None:
        """Queue a function, which runs once; do nothing after ``close``."""
        with self._lock:
            if self._is_closed:
                return
            try:
                self._executor.submit(self._run, function, *args)
                self._thread_was_refused = False
            except RuntimeError as exc:
                self._thread_was_refused = True
                get_logger().error("thread_not_started", pool=self._name, error=repr(exc))

    def wake(self) -> None:
        """Try again to start a thread if the last attempt was refused."""
        if self._thread_was_refused:
            # The executor starts a thread only in ``submit``.
            self.submit(_do_nothing)

    def close(self) -> None:
        """Drop the queued functions; running functions are not interrupted."""
        with self._lock:
            self._is_closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, function: Callable[..., object], *args: Any) -> None:
        try:
            function(*args)
        except Exception as exc:
            get_logger().error("worker_failed", pool=self._name, error=repr(exc), exc_info=True)


def _do_nothing() -> None:
    return
