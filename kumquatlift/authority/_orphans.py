"""Runs and ends of jobs that a leader does not know, until their callers ask again."""

from kumquatlift.authority._commands import EndHow, TaskEnd, TaskKey
from kumquatlift.authority._fleet import RunState, Upstream, size_of
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._state import State
from kumquatlift.clock import Clock

# Ends of unknown jobs that are remembered; about those of one second at the largest size.
MAX_ORPHAN_ENDS = 2000


class Orphans:
    """Runs of unknown jobs by task, and the ends of such runs.

    Jobs that are not kept in the log are lost with their leader, while their tasks run on. Their
    callers ask again, and the next leader then continues with what runs already.

    Args:
        state: Replicated state, for the time of day.
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
        """Take note of a run of an unknown job."""
        self._runs[task] = upstream

    def remove(self, task: TaskKey, upstream: Upstream | None = None) -> bool:
        """Forget a run, if it is on the upstream given.

        Returns:
            Whether there was such a run.
        """
        if task not in self._runs or upstream not in (None, self._runs[task]):
            return False
        del self._runs[task]
        return True

    def note_end(self, end: TaskEnd) -> None:
        """Take note of the end of a run of an unknown job."""
        if end.how is EndHow.DONE and len(self._ends) < MAX_ORPHAN_ENDS:
            self._ends[end.task] = (end, self._clock.now())

    def adopt(self, progress: Progress) -> None:
        """Give a job the runs and ends that an earlier leader left for it."""
        job = progress.job
        for task in [task for task in self._ends if task.job == job.job_id]:
            job.end_task(self._ends.pop(task)[0], self._state.wall_ms())
        for task in [task for task in self._runs if task.job == job.job_id]:
            upstream = self._runs.pop(task)
            run = upstream.runs.get(task)
            if run is not None and run.state is RunState.RUNNING:
                run.expected_ms = progress.expected_ms[task.step]
                upstream.resize(run, size_of(job.spec.steps[task.step]))
                progress.running[task] = upstream.state.upstream_id
                progress.record_run(task, run.number)

    def forget_ends(self, before: float) -> None:
        """Drop ends that were listed before a time."""
        old = [task for task, (_, at) in self._ends.items() if at < before]
        for task in old:
            del self._ends[task]
