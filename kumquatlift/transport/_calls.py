"""Table of the requests of this process that have no answer yet."""

import itertools
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_OPEN_CALLS = 20_000


class Call:
    """A request that has no answer yet.

    Args:
        call_id: Number of the call, unique in this process.
        peer: Name of the process that gets the request.
        deadline: Time in monotonic seconds at which the call ends without an answer.
    """

    __slots__ = ("deadline", "fut", "id", "is_open", "is_written", "peer")

    def __init__(self, *, call_id: int, peer: str, deadline: float) -> None:
        self.id = call_id
        self.peer = peer
        self.deadline = deadline
        self.fut: Future[bytes | Failure] = Future()
        # Marks the future as running, so that it cannot be cancelled; ``set_result`` would raise
        # on a cancelled future.
        self.fut.set_running_or_notify_cancel()
        self.is_written = False
        self.is_open = True


class OpenCalls:
    """Thread-safe, bounded table of open calls.

    The selector loop queues results with ``queue_result`` and ``fail``. ``flush`` completes their
    futures in a separate thread, so that no callback of a future runs in the loop.
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

    def open(self, peer: str, timeout_s: float) -> Call:
        """Create a call; if it is refused, it is complete as ``NOT_DELIVERED`` and not open."""
        deadline = time.monotonic() + timeout_s
        call = Call(call_id=next(self._ids), peer=peer, deadline=deadline)
        with self._lock:
            if self._is_closed:
                refusal = "the channel is closed"
            elif len(self._calls) >= MAX_OPEN_CALLS:
                refusal = f"{MAX_OPEN_CALLS} calls are open"
            else:
                self._calls[call.id] = call
                return call
        call.is_open = False
        call.fut.set_result(Failure(ResultCode.NOT_DELIVERED, refusal))
        return call

    def complete(self, call: Call, result: bytes | Failure) -> None:
        """Complete a call in the current thread, unless it is already complete."""
        if self._remove(call):
            call.fut.set_result(result)

    def queue_result(self, call: Call, result: bytes | Failure) -> None:
        """Close a call in the selector loop, unless it is closed; ``flush`` sets its result."""
        if self._remove(call):
            self._results.append((call, result))

    def fail(self, call: Call, reason: str) -> None:
        """Close a call without an answer, in the selector loop.

        The result is ``TIMED_OUT`` when the request was written, as the peer may have handled it,
        and ``NOT_DELIVERED`` otherwise.
        """
        code = ResultCode.TIMED_OUT if call.is_written else ResultCode.NOT_DELIVERED
        self.queue_result(call, Failure(code, reason))

    def expired(self, now: float) -> list[Call]:
        """Return the open calls whose deadline has passed."""
        return [call for call in list(self._calls.values()) if call.deadline <= now]

    def flush(self) -> None:
        """Set the queued results on their futures, in the executor thread."""
        if self._results:
            results, self._results = self._results, []
            self._executor.submit(_set_results, results)

    def close(self, reason: str) -> None:
        """Fail all open calls and refuse new ones."""
        with self._lock:
            self._is_closed = True
        for call in list(self._calls.values()):
            self.fail(call, reason)
        self.flush()
        self._executor.shutdown(wait=False)

    def _remove(self, call: Call) -> bool:
        """Remove a call from the table; return whether it was still open."""
        call.is_open = False
        return self._calls.pop(call.id, None) is not None


def _set_results(results: list[tuple[Call, bytes | Failure]]) -> None:
    for call, result in results:
        call.fut.set_result(result)
