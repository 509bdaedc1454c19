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
# Limit for the identities of unknown jobs that are known to have started, for the same time.
MAX_STARTED_JOBS = 10_000


class OrphanRun(NamedTuple):
    """A run of an unknown job.

    Args:
        upstream: Upstream that it runs on.
        number: Number of the run.
        keep_until: Time at which it is stopped if its job is still unknown.
    """

    upstream: Upstream
    number: int
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
        # By task, then by the identity of the upstream: a start order that is carried out late can
        # begin an older run beside the newest one.
        self._runs: dict[TaskKey, dict[str, OrphanRun]] = {}
        self._ends: dict[TaskKey, tuple[TaskEnd, float]] = {}
        # Highest run numbers of the tasks of abandoned jobs that had started, and when they were
        # abandoned, by job.
        self._abandoned: dict[str, tuple[dict[TaskKey, int], float]] = {}
        # Unknown jobs of which a run or an end was listed, and when the latest one was.
        self._started: dict[str, float] = {}

    def __contains__(self, task: TaskKey) -> bool:
        return task in self._runs

    def add(self, task: TaskKey, upstream: Upstream, number: int, *, keep_s: float) -> None:
        """Add a run of an unknown job.

        Args:
            task: Task of the run.
            upstream: Upstream that it runs on.
            number: Number of the run.
            keep_s: Time after which it is stopped if its job is still unknown, in seconds. A run of
                a cancelled job is stopped at once.
        """
        self._record_started(task.job)
        if task.job in self._state.cancelled:
            keep_s = 0.0
        run = OrphanRun(upstream, number, self._clock.now() + keep_s)
        self._runs.setdefault(task, {})[upstream.state.upstream_id] = run

    def add_abandoned(
        self, progress: Progress, fleet: dict[str, Upstream], *, keep_s: float
    ) -> None:
        """Keep the runs and ends of a job that nobody waits for any more.

        Args:
            progress: The job.
            fleet: Upstreams by identity.
            keep_s: Time after which its runs are stopped, in seconds.
        """
        for task, upstream_id in progress.running.items():
            upstream = fleet.get(upstream_id)
            if upstream is not None:
                self.add(task, upstream, progress.runs.get(task, 0), keep_s=keep_s)
        job = progress.job
        if job.is_started:
            self._abandoned[job.job_id] = (progress.runs, self._clock.now())
        for task in job.done:
            self.record_end(TaskEnd(task, job.ended_run[task], EndReason.DONE))

    def drop(self, job_id: str) -> None:
        """Stop the runs of an unknown job, which was cancelled, at the next check."""
        now = self._clock.now()
        for task in [task for task in self._runs if task.job == job_id]:
            runs = self._runs[task]
            for upstream_id, run in runs.items():
                runs[upstream_id] = run._replace(keep_until=now)

    def find(self, task: TaskKey, upstream: Upstream) -> OrphanRun | None:
        """Return the run of a task on an upstream if its job is unknown, else None."""
        return self._runs.get(task, {}).get(upstream.state.upstream_id)

    def has_started(self, job_id: str) -> bool:
        """Return whether tasks of an unknown job are known to have started."""
        if job_id in self._abandoned or job_id in self._started:
            return True
        return any(task.job == job_id for task in (*self._runs, *self._ends))

    def _record_started(self, job_id: str) -> None:
        self._started.pop(job_id, None)
        self._started[job_id] = self._clock.now()
        if len(self._started) > MAX_STARTED_JOBS:
            del self._started[next(iter(self._started))]

    def remove(self, task: TaskKey, upstream: Upstream, number: int) -> bool:
        """Remove a run that has ended.

        Args:
            task: Its task.
            upstream: Upstream on which it has ended.
            number: Its number; a later run of the task there stays.

        Returns:
            Whether there was such a run.
        """
        run = self.find(task, upstream)
        if run is None or run.number > number:
            return False
        del self._runs[task][upstream.state.upstream_id]
        if not self._runs[task]:
            del self._runs[task]
        return True

    def record_end(self, end: TaskEnd) -> None:
        """Record that an unknown job has started, and the end of its run if it succeeded."""
        self._record_started(end.task.job)
        if end.reason is EndReason.DONE and len(self._ends) < MAX_ORPHAN_ENDS:
            self._ends[end.task] = (end, self._clock.now())

    def adopt(self, progress: Progress) -> None:
        """Assign stored runs and ends to the job they belong to, which has become known.

        Runs of tasks that the job doesn't have stay here until they are stopped.

        Runs that are being stopped count as running until their end is listed, so that their tasks
        do not start elsewhere before.
        """
        job = progress.job
        job.is_started = self.has_started(job.job_id)
        for task, number in self._abandoned.pop(job.job_id, ({}, 0.0))[0].items():
            progress.record_run(task, number)
        for task in [task for task in self._ends if task.job == job.job_id]:
            job.end_task(self._ends.pop(task)[0], self._state.wall_ms())
        for task in [task for task in self._runs if task.job == job.job_id]:
            if not job.has_task(task):
                continue
            newest = max(self._runs[task].values(), key=lambda each: each.number)
            upstream = newest.upstream
            self.remove(task, upstream, newest.number)
            run = upstream.runs.get(task)
            if run is not None:
                run.expected_ms = progress.expected_ms[task.step]
                upstream.resize(run, size_of(job.spec.steps[task.step]))
                progress.record_run(task, run.number)
            if run is not None or task in upstream.previous_runs:
                progress.running[task] = upstream.state.upstream_id

    def forget(self, before: float) -> None:
        """Remove ends that were listed, and jobs that were last known to run, before a time."""
        for task in [task for task, (_, at) in self._ends.items() if at < before]:
            del self._ends[task]
        for job_id in [job_id for job_id, (_, at) in self._abandoned.items() if at < before]:
            del self._abandoned[job_id]
        for job_id in [job_id for job_id, at in self._started.items() if at < before]:
            del self._started[job_id]
