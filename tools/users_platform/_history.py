"""What the stand-in upstreams have seen, and checks on it."""

import threading
import time
from typing import NamedTuple


class RunEvent(NamedTuple):
    """One event that an upstream saw.

    Args:
        at: Time, monotonic seconds.
        what: "start", or how a run ended.
        task: Name of the task.
        upstream: Identity of the upstream.
    """

    at: float
    kind: str
    task: str
    upstream: str


class History:
    """What all upstreams of a test saw, with the promises that it checks at once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.events: list[RunEvent] = []
        self.violations: list[str] = []
        # Tasks that started after an end that was acknowledged; jobs that are stored have none.
        self.repeated: list[str] = []
        self._running: dict[str, str] = {}
        self._acknowledged: dict[str, float] = {}
        # Tasks that have ended well, and times of acknowledged ends that failed.
        self._completed: set[str] = set()
        self._failure_times: dict[str, list[float]] = {}

    def record_start(self, task: str, upstream: str, *, step_tasks: int = 0) -> None:
        """Take note of a start.

        Args:
            task: Name of the task.
            upstream: Identity of the upstream.
            step_tasks: Tasks of each step of a job whose steps follow one another; 0 when unknown.
        """
        with self._lock:
            job, occurrence, step, _ = task.split(".")
            for index in range(step_tasks if int(step) else 0):
                before = f"{job}.{occurrence}.{int(step) - 1}.{index}"
                if before not in self._completed:
                    self.violations.append(f"{task} starts before {before} is done")
            other = self._running.get(task)
            if other is not None:
                self.violations.append(f"{task} starts on {upstream} while it runs on {other}")
            if task in self._acknowledged:
                self.repeated.append(task)
            self._running[task] = upstream
            self.events.append(RunEvent(time.monotonic(), "start", task, upstream))

    def record_acknowledged_end(self, task: str, ended_at: float) -> None:
        """Take note that an end ``done`` was acknowledged while its lease had not lapsed."""
        with self._lock:
            self._acknowledged.setdefault(task, ended_at)
            starts = [
                event for event in self.events if event.task == task and event.kind == "start"
            ]
            if any(event.at > ended_at for event in starts):
                self.repeated.append(task)

    def record_acknowledged_failure(self, task: str, ended_at: float) -> None:
        """Take note that an end ``failed`` was acknowledged while its lease had not lapsed."""
        with self._lock:
            times = self._failure_times.setdefault(task, [])
            if ended_at not in times:
                times.append(ended_at)

    def started_after_failures(self, attempts: int) -> list[str]:
        """Return the tasks that started after so many ends that failed and were acknowledged."""
        with self._lock:
            nth_failure_at = {
                task: sorted(times)[attempts - 1]
                for task, times in self._failure_times.items()
                if len(times) >= attempts
            }
            return [
                event.task
                for event in self.events
                if event.kind == "start" and event.at > nth_failure_at.get(event.task, event.at)
            ]

    def has_started(self, job: str) -> bool:
        """Whether a task of a job was ever started."""
        return any(event.kind == "start" and event.task.startswith(job) for event in self.events)

    def last_event_at(self, job: str) -> float:
        """Return when a task of a job was last seen to start or to end; 0 for never."""
        seen_at = (
            event.at
            for event in self.events
            if event.task.startswith(job) and event.kind != "crashed"
        )
        return max(seen_at, default=0.0)

    def record_end(self, task: str, upstream: str, reason: str) -> None:
        """Take note of an end."""
        with self._lock:
            self._running.pop(task, None)
            if reason == "done":
                self._completed.add(task)
            self.events.append(RunEvent(time.monotonic(), reason, task, upstream))

    def record_violation(self, text: str) -> None:
        """Take note of a broken promise."""
        with self._lock:
            self.violations.append(text)
