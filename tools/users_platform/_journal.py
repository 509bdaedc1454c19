"""What the stand-in upstreams have seen, and checks on it."""

import threading
import time
from typing import NamedTuple


class Seen(NamedTuple):
    """One event that an upstream saw.

    Args:
        at: Time, monotonic seconds.
        what: "start", or how a run ended.
        task: Name of the task.
        upstream: Identity of the upstream.
    """

    at: float
    what: str
    task: str
    upstream: str


class Journal:
    """What all upstreams of a test saw, with the promises that it checks at once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.events: list[Seen] = []
        self.violations: list[str] = []
        # Tasks that started after an end that was acknowledged; jobs that are stored have none.
        self.repeated: list[str] = []
        self._running: dict[str, str] = {}
        self._done: dict[str, float] = {}
        # Tasks that have ended well, and times of acknowledged ends that failed.
        self._ended_well: set[str] = set()
        self._failed: dict[str, list[float]] = {}

    def start(self, task: str, upstream: str, *, step_tasks: int = 0) -> None:
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
                if before not in self._ended_well:
                    self.violations.append(f"{task} starts before {before} is done")
            other = self._running.get(task)
            if other is not None:
                self.violations.append(f"{task} starts on {upstream} while it runs on {other}")
            if task in self._done:
                self.repeated.append(task)
            self._running[task] = upstream
            self.events.append(Seen(time.monotonic(), "start", task, upstream))

    def acknowledge(self, task: str, ended_at: float) -> None:
        """Take note that an end ``done`` was acknowledged while its lease had not lapsed."""
        with self._lock:
            self._done.setdefault(task, ended_at)
            late = [seen for seen in self.events if seen.task == task and seen.what == "start"]
            if any(seen.at > ended_at for seen in late):
                self.repeated.append(task)

    def acknowledge_failure(self, task: str, ended_at: float) -> None:
        """Take note that an end ``failed`` was acknowledged while its lease had not lapsed."""
        with self._lock:
            times = self._failed.setdefault(task, [])
            if ended_at not in times:
                times.append(ended_at)

    def started_after_failures(self, attempts: int) -> list[str]:
        """Return the tasks that started after so many ends that failed and were acknowledged."""
        with self._lock:
            last = {
                task: sorted(times)[attempts - 1]
                for task, times in self._failed.items()
                if len(times) >= attempts
            }
            return [
                seen.task
                for seen in self.events
                if seen.what == "start" and seen.at > last.get(seen.task, seen.at)
            ]

    def started(self, job: str) -> bool:
        """Whether a task of a job was ever started."""
        return any(seen.what == "start" and seen.task.startswith(job) for seen in self.events)

    def last_event(self, job: str) -> float:
        """Return when a task of a job was last seen to start or to end; 0 for never."""
        seen_at = (
            seen.at for seen in self.events if seen.task.startswith(job) and seen.what != "crashed"
        )
        return max(seen_at, default=0.0)

    def end(self, task: str, upstream: str, how: str) -> None:
        """Take note of an end."""
        with self._lock:
            self._running.pop(task, None)
            if how == "done":
                self._ended_well.add(task)
            self.events.append(Seen(time.monotonic(), how, task, upstream))

    def fail(self, text: str) -> None:
        """Take note of a broken promise."""
        with self._lock:
            self.violations.append(text)
