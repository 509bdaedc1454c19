"""History of the runs on the stand-in upstreams, with checks of the guarantees for them."""

import threading
import time
from collections import Counter
from typing import NamedTuple


class RunEvent(NamedTuple):
    """One event of a run.

    Args:
        at: Time, monotonic seconds.
        kind: "start", or the reason of the end: "done", "failed", "stopped", "lapsed", "crashed".
        task: Name of the task.
        upstream: Identity of the upstream.
    """

    at: float
    kind: str
    task: str
    upstream: str


class History:
    """History of all upstreams of a test; recording is thread-safe and checks each event.

    Attributes:
        events: All events, in the order of their time.
        violations: Violated guarantees, one line each.
        repeated: Tasks that were started after an acknowledged end. This is allowed only for jobs
            that are not logged.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.events: list[RunEvent] = []
        self.violations: list[str] = []
        self.repeated: list[str] = []
        # Upstream by running task.
        self._running: dict[str, str] = {}
        # Time of the first acknowledged end ``done`` by task.
        self._acknowledged: dict[str, float] = {}
        # Tasks with an end ``done``, acknowledged or not.
        self._completed: set[str] = set()
        # Number of ends ``failed`` by task, acknowledged or not.
        self._failures: Counter[str] = Counter()
        # Times of the acknowledged ends ``failed`` by task.
        self._failure_times: dict[str, list[float]] = {}

    def record_start(self, task: str, upstream: str, *, step_tasks: int = 0) -> None:
        """Record a start, and check that it was allowed.

        Args:
            task: Name of the task.
            upstream: Identity of the upstream.
            step_tasks: Number of tasks in each step of the job, if each step depends on the one
                before; 0 when unknown, which skips the check of the order.
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
        """Record that an end ``done`` was acknowledged while the lease had not expired."""
        with self._lock:
            self._acknowledged.setdefault(task, ended_at)
            starts = [
                event for event in self.events if event.task == task and event.kind == "start"
            ]
            if any(event.at > ended_at for event in starts):
                self.repeated.append(task)

    def record_acknowledged_failure(self, task: str, ended_at: float) -> None:
        """Record that an end ``failed`` was acknowledged while the lease had not expired."""
        with self._lock:
            times = self._failure_times.setdefault(task, [])
            if ended_at not in times:
                times.append(ended_at)

    def started_after_failures(self, attempts: int) -> list[str]:
        """Return the tasks that were started after a number of acknowledged ends ``failed``."""
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
        """Return whether any task of a job was ever started."""
        return any(event.kind == "start" and event.task.startswith(job) for event in self.events)

    def last_event_at(self, job: str) -> float:
        """Return when a task of a job last started or ended, in monotonic seconds; 0 for never.

        Runs that ended in a crash of their upstream don't count.
        """
        seen_at = (
            event.at
            for event in self.events
            if event.task.startswith(job) and event.kind != "crashed"
        )
        return max(seen_at, default=0.0)

    def record_end(self, task: str, upstream: str, reason: str) -> None:
        """Record the end of a run."""
        with self._lock:
            self._running.pop(task, None)
            if reason == "done":
                self._completed.add(task)
            elif reason == "failed":
                self._failures[task] += 1
            self.events.append(RunEvent(time.monotonic(), reason, task, upstream))

    def explain_result(self, tasks: list[str], state: object, attempts: int) -> str:
        """Return why a job cannot have ended in a state; empty if it can.

        Args:
            tasks: Names of all tasks of the job.
            state: State that the caller of the job was told.
            attempts: Number of failed runs of a task after which its job fails.
        """
        with self._lock:
            missing = [task for task in tasks if task not in self._completed]
            has_failed = any(self._failures[task] >= attempts for task in tasks)
        if state == "completed":
            return f"but {missing[0]} is not done" if missing else ""
        if state == "failed":
            return "" if has_failed else f"but no task has failed {attempts} times"
        return "which is no result"

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        with self._lock:
            self.violations.append(text)
