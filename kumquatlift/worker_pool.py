"""An executor that outlives a moment in which the system has no room for another thread."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from kumquatlift.log import get_logger


class WorkerPool:
    """Runs functions in threads that start when they are needed.

    A ``ThreadPoolExecutor`` queues a function before it starts a thread, and raises when the system
    refuses the thread. The caller then takes the function for lost although it may still run. Here
    it waits for one of the other threads, or for the next ``submit`` or ``wake``.

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
        """Run a function once; after ``close`` it is dropped."""
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
        """Start a thread if functions may wait because none could be started."""
        if self._thread_was_refused:
            self.submit(_do_nothing)

    def close(self) -> None:
        """Drop what waits; functions that run are not interrupted."""
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
