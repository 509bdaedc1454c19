"""Record of a runner stand-in: every start of a task, and its use of slots and connections."""

import threading
import time
from typing import Any, NamedTuple

MAX_RECORDED_STARTS = 1_000_000
# Time for which a runner that leaves still accepts requests. Grants that an owner made before it
# was notified are used within 1 s, so their requests have arrived by then.
LEAVING_GRACE_S = 2.0


class Start(NamedTuple):
    """One start of a task; ``at_s`` is in seconds since the start of the runner."""

    job: str
    kind: str
    task: str
    attempt: Any
    at_s: float


class StartRecord:
    """Starts of tasks, and peak use of slots and connections; thread-safe.

    Args:
        slots: Number of requests that may run at a time.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._starts: list[Start] = []
        self._counts = {"requests": 0, "refused": 0, "completed": 0, "failed": 0, "unrecorded": 0}
        self._busy = 0
        self._peak_slots = 0
        self._peak_connections = 0
        self._leaving_s: float | None = None
        self._requests_after_leaving = 0

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self._busy

    def count_request(self, connections: int) -> None:
        """Count a request.

        Args:
            connections: Number of connections open when it arrived.
        """
        with self._lock:
            self._counts["requests"] += 1
            self._peak_connections = max(self._peak_connections, connections)
            leaving_s = self._leaving_s
            self._requests_after_leaving += (
                leaving_s is not None and self._elapsed_s() - leaving_s > LEAVING_GRACE_S
            )

    def record_leaving(self) -> None:
        """Record that the runner is leaving from now on."""
        with self._lock:
            self._leaving_s = self._elapsed_s()

    def acquire_slot(self) -> bool:
        """Acquire a slot; return False if all are in use."""
        with self._lock:
            if self._busy >= self._slots:
                return False
            self._busy += 1
            self._peak_slots = max(self._peak_slots, self._busy)
            return True

    def release_slot(self) -> None:
        """Release a slot."""
        with self._lock:
            self._busy -= 1

    def record_start(self, job: str, kind: str, task: str, attempt: Any) -> None:
        """Record the start of a task."""
        with self._lock:
            if len(self._starts) >= MAX_RECORDED_STARTS:
                self._counts["unrecorded"] += 1
                return
            self._starts.append(Start(job, kind, task, attempt, round(self._elapsed_s(), 3)))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to one of the counters."""
        with self._lock:
            self._counts[name] += amount

    def to_json(self) -> dict[str, Any]:
        """Return the fields of the answer to ``GET /starts``."""
        with self._lock:
            return {
                **self._counts,
                "busy": self._busy,
                "peak_slots": self._peak_slots,
                "peak_connections": self._peak_connections,
                "leaving_at_s": self._leaving_s,
                "requests_after_leaving": self._requests_after_leaving,
                "starts": [start._asdict() for start in self._starts],
            }

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at
