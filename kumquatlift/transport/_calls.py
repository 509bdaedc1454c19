"""Requests of this process that wait for their answers."""

import itertools
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_OPEN_CALLS = 20_000


class Call:
    """A request that waits for its answer."""

    __slots__ = ("deadline", "fut", "id", "is_open", "is_written", "peer")

    def __init__(self, *, call_id: int, peer: str, deadline: float) -> None:
        self.id = call_id
        self.peer = peer
        self.deadline = deadline
        self.fut: Future[bytes | Failure] = Future()
        # A cancelled future could not take its answer.
        self.fut.set_running_or_notify_cancel()
        self.is_written = False
        self.is_open = True


class OpenCalls:
    """Table of open calls.

    Results that the selector loop finds are collected and handed over together, to a thread of
    their own, so that a callback never runs in the loop.
    """

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._calls: dict[int, Call] = {}
        self._lock = threading.Lock()
        self._is_closed = False
        self._results: list[tuple[Call, bytes | Failure]] = []
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="answers")

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, peer: str, timeout_s: float) -> tuple[Call, str]:
        """Create a call; return it with the reason why it was refused, if it was."""
        deadline = time.monotonic() + timeout_s
        call = Call(call_id=next(self._ids), peer=peer, deadline=deadline)
        with self._lock:
            if self._is_closed:
                return call, "the channel is closed"
            if len(self._calls) >= MAX_OPEN_CALLS:
                return call, f"{MAX_OPEN_CALLS} calls are open"
            self._calls[call.id] = call
        return call, ""

    def refuse(self, call: Call, reason: str) -> None:
        """End a call that was never queued, in the caller's thread."""
        self._remove(call)
        call.fut.set_result(Failure(ResultCode.NOT_DELIVERED, reason))

    def complete(self, call: Call, result: bytes | Failure) -> None:
        """End a call in the current thread, unless it has ended."""
        if self._remove(call):
            call.fut.set_result(result)

    def queue_result(self, call: Call, result: bytes | Failure) -> None:
        """End a call from the loop, unless it has ended; ``flush`` hands the result over."""
        if self._remove(call):
            self._results.append((call, result))

    def fail(self, call: Call, reason: str) -> None:
        """End a call without an answer, from the selector loop."""
        code = ResultCode.TIMED_OUT if call.is_written else ResultCode.NOT_DELIVERED
        self.queue_result(call, Failure(code, reason))

    def expired(self, now: float) -> list[Call]:
        """Return the calls whose deadline has passed."""
        return [call for call in list(self._calls.values()) if call.deadline <= now]

    def flush(self) -> None:
        """Hand the results found by the selector loop to their futures."""
        if self._results:
            results, self._results = self._results, []
            self._executor.submit(_set_results, results)

    def close(self, reason: str) -> None:
        """End every call and refuse new ones."""
        with self._lock:
            self._is_closed = True
        for call in list(self._calls.values()):
            self.fail(call, reason)
        self.flush()
        self._executor.shutdown(wait=False)

    def _remove(self, call: Call) -> bool:
        call.is_open = False
        return self._calls.pop(call.id, None) is not None


def _set_results(results: list[tuple[Call, bytes | Failure]]) -> None:
    for call, result in results:
        call.fut.set_result(result)
