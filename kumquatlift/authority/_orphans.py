"""Runs and ends of jobs that a new leader does not know, until their callers submit them again."""

from kumquatlift.authority._commands import EndReason, TaskEnd, TaskKey
from kumquatlift.authority._fleet import Upstream, size_of
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._state import State
from kumquatlift.clock import Clock

# Limit for the stored ends of unknown jobs: about as many as end within a second in the largest
# system.
MAX_ORPHAN_ENDS = 2000


class Orphans:
    """Runs of unknown jobs, and the ends of such runs.

    A job that isn't in the log is known only to its leader. When that leader is lost, the tasks of
    the job keep running. Its caller submits the job again, and the new leader then adopts its runs
    and ends instead of starting the tasks again.

    Args:
        state: Replicated state, whose clock gives the time of day.
        clock: Source of time.
    """

    def __init__(self, *, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._runs: dict[TaskKey, Upstream] = {}
        self._ends: dict[TaskKey, tuple[TaskEnd, float]] = {}

    def __contains__(self, task: TaskKey) -> bool:
        return task in self._runs

    def add(self, task: TaskKey, upstream: Upstream) -> None:
        """Add a run of an unknown job."""
        self._runs[task] = upstream

    def remove(self, task: TaskKey, upstream: Upstream | None = None) -> bool:
        """Remove the run of a task.

        Args:
            task: The task.
            upstream: Remove the run only if it is on this upstream; None for any.

        Returns:
            Whether there was such a run.
        """
        if task not in self._runs or upstream not in (None, self._runs[task]):
            return False
        del self._runs[task]
        return True

    def record_end(self, end: TaskEnd) -> None:
        """Store the end of a run of an unknown job if it succeeded."""
        if end.reason is EndReason.DONE and len(self._ends) < MAX_ORPHAN_ENDS:
            self._ends[end.task] = (end, self._clock.now())

    def adopt(self, progress: Progress) -> None:
        """Assign stored runs and ends to the job they belong to, which has become known.

        Runs that are being stopped count as running until their end is listed, so that their tasks
        do not start elsewhere before.
        """
        job = progress.job
        for task in [task for task in self._ends if task.job == job.job_id]:
            job.end_task(self._ends.pop(task)[0], self._state.wall_ms())
        for task in [task for task in self._runs if task.job == job.job_id]:
            upstream = self._runs.pop(task)
            run = upstream.runs.get(task)
            if run is not None:
                run.expected_ms = progress.expected_ms[task.step]
                upstream.resize(run, size_of(job.spec.steps[task.step]))
                progress.running[task] = upstream.state.upstream_id
                progress.record_run(task, run.number)

    def forget_ends(self, before: float) -> None:
        """Remove ends that were listed before a time."""
        old = [task for task, (_, at) in self._ends.items() if at < before]
        for task in old:
            del self._ends[task]
