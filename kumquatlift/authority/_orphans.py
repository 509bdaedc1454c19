"""Runs and ends of jobs that the leader does not know, until their callers submit them again."""

from typing import NamedTuple

from kumquatlift.authority._commands import EndReason, TaskEnd, TaskKey
from kumquatlift.authority._fleet import Upstream, size_of
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._state import State
from kumquatlift.clock import Clock

# Limit for the stored ends of unknown jobs: about as many as end within a second in the largest
# system.
MAX_ORPHAN_ENDS = 2000


class OrphanRun(NamedTuple):
    """A run of an unknown job.

    Args:
        upstream: Upstream that it runs on.
        keep_until: Time at which it is stopped if its job is still unknown.
    """

    upstream: Upstream
    keep_until: float


class Orphans:
    """Runs of unknown jobs, and the ends of such runs.

    A job that isn't in the log is known only to its leader, and only while a caller waits for it.
    When the leader is lost, or the last caller leaves, the tasks of the job keep running for a
    while. If the job is submitted again, the leader adopts its runs and ends instead of starting
    the tasks again.

    Args:
        state: Replicated state, whose clock gives the time of day.
        clock: Source of time.
    """

    def __init__(self, *, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._runs: dict[TaskKey, OrphanRun] = {}
        self._ends: dict[TaskKey, tuple[TaskEnd, float]] = {}

    def __contains__(self, task: TaskKey) -> bool:
        return task in self._runs

    def add(self, task: TaskKey, upstream: Upstream, *, keep_s: float) -> None:
        """Add a run of an unknown job.

        Args:
            task: Task of the run.
            upstream: Upstream that it runs on.
            keep_s: Time after which it is stopped if its job is still unknown, in seconds.
        """
        self._runs[task] = OrphanRun(upstream, self._clock.now() + keep_s)

    def abandon(self, progress: Progress, fleet: dict[str, Upstream], *, keep_s: float) -> None:
        """Keep the runs and ends of a job that nobody waits for any more.

        Args:
            progress: The job.
            fleet: Upstreams by identity.
            keep_s: Time after which its runs are stopped, in seconds.
        """
        for task, upstream_id in progress.running.items():
            upstream = fleet.get(upstream_id)
            if upstream is not None:
                self.add(task, upstream, keep_s=keep_s)
        for task in progress.job.done:
            run = progress.job.ended_run[task]
            self.record_end(TaskEnd(task, run, EndReason.DONE))

    def is_expired(self, task: TaskKey) -> bool:
        """Return whether the run of a task is to be stopped, as its job is still unknown."""
        run = self._runs.get(task)
        return run is not None and self._clock.now() > run.keep_until

    def has_run(self, job_id: str) -> bool:
        """Return whether a run or an end of a job is known here."""
        return any(task.job == job_id for task in (*self._runs, *self._ends))

    def remove(self, task: TaskKey, upstream: Upstream | None = None) -> bool:
        """Remove the run of a task.

        Args:
            task: The task.
            upstream: Remove the run only if it is on this upstream; None for any.

        Returns:
            Whether there was such a run.
        """
        if task not in self._runs or upstream not in (None, self._runs[task].upstream):
            return False
        del self._runs[task]
        return True

    def record_end(self, end: TaskEnd) -> None:
        """Store the end of a run of an unknown job if it succeeded."""
        if end.reason is EndReason.DONE and len(self._ends) < MAX_ORPHAN_ENDS:
            self._ends[end.task] = (end, self._clock.now())

    def adopt(self, progress: Progress) -> None:
        """Assign stored runs and ends to the job they belong to, which has become known.

        Those of tasks that the job doesn't have are dropped.

        Runs that are being stopped count as running until their end is listed, so that their tasks
        do not start elsewhere before.
        """
        job = progress.job
        for task in [task for task in self._ends if task.job == job.job_id]:
            job.end_task(self._ends.pop(task)[0], self._state.wall_ms())
        for task in [task for task in self._runs if task.job == job.job_id]:
            upstream = self._runs.pop(task).upstream
            if not job.has_task(task):
                upstream.remove(task)
                continue
            run = upstream.runs.get(task)
            if run is not None:
                run.expected_ms = progress.expected_ms[task.step]
                upstream.resize(run, size_of(job.spec.steps[task.step]))
                progress.record_run(task, run.number)
            if run is not None or task in upstream.previous_runs:
                progress.running[task] = upstream.state.upstream_id

    def forget_ends(self, before: float) -> None:
        """Remove ends that were listed before a time."""
        old = [task for task, (_, at) in self._ends.items() if at < before]
        for task in old:
            del self._ends[task]
