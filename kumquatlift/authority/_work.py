"""Jobs, which consist of dependent steps of tasks."""

from collections import Counter
from typing import Any, NamedTuple

from kumquatlift.authority._commands import EndReason, TaskEnd, TaskKey
from kumquatlift.log import get_logger

# Tasks of all occurrences of a job. Each replica holds them in memory.
MAX_REPEATED_TASKS = 500_000


class Step(NamedTuple):
    """A step of a job: a number of tasks with equal requirements.

    Args:
        tasks: Number of tasks.
        cpu_milli: Required processor of a task, in thousandths of a core.
        memory_mb: Required memory of a task, in megabytes.
        gpus: Required accelerators of a task.
        estimate_ms: Declared run time of a task, in milliseconds; 0 if nothing was declared.
        after: Numbers of the steps that must be done before this one starts.
        is_gang: Whether all tasks start together, with one run number, and end together.
        is_rack_bound: Whether the tasks are slower when they run on more than one rack.
        label: Label that an upstream must have; empty for any upstream.
        data_rack: Rack that holds the data; empty for none.
        max_per_upstream: Maximum number of tasks of the step on one upstream; 0 for no limit.
        runs_until_cancelled: Whether the tasks run until the job is cancelled.
        uses_idle_cpu: Whether the tasks only use processor time that others leave idle, so that
            none is reserved for them; ``fills`` in the callers' requests.
    """

    tasks: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_bound: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    runs_until_cancelled: bool = False
    uses_idle_cpu: bool = False


class JobSpec(NamedTuple):
    """A job as a caller submitted it.

    Args:
        payload: Text that is sent to the upstream with each task.
        steps: Steps; ``after`` refers to their positions.
        occurrences: Number of times that all steps run; 0 for once, without a start time.
        start_at_ms: Due time of the first occurrence, in Unix milliseconds.
        interval_ms: Time between occurrences, in milliseconds.
        answers_at_end: Whether the submission is answered only when the job has ended.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    answers_at_end: bool = False

    def to_plain(self) -> list[Any]:
        """Return the spec as nested lists, for a command of the log."""
        return [*self[:1], [list(step) for step in self.steps], *self[2:]]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "JobSpec":
        """Read what ``to_plain`` returned."""
        steps = tuple(Step(*row)._replace(after=tuple(row[5])) for row in plain[1])
        return cls(plain[0], steps, *plain[2:])

    @property
    def repeated_tasks(self) -> int:
        """Number of tasks in all occurrences."""
        return max(1, self.occurrences) * sum(step.tasks for step in self.steps)

    @property
    def work_ms(self) -> float:
        """Total declared run time of all tasks at speed 1, in milliseconds."""
        return float(sum(step.tasks * step.estimate_ms for step in self.steps))


class JobState:
    """States of a job, under the names that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """Abandoned before any task started; only for jobs that are not in the log. No caller is told
    this state."""


CALLER_STATES = frozenset(
    (JobState.QUEUED, JobState.RUNNING, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)
"""States that the answer to a query or a cancellation may hold."""
RESULT_STATES = frozenset((JobState.COMPLETED, JobState.FAILED))
"""States that the answer to a submission may hold, if it is answered when the job ends."""


class Job:
    """An accepted job; if it is in the log, only committed commands change it.

    Args:
        job_id: Identity chosen by the caller.
        queue: Key of the queue to which it was submitted.
        spec: The job as submitted.
        term: Term of the log entry that accepted it.
        accepted_at_ms: Wall clock of the leader that accepted it, in Unix milliseconds.
        max_attempts: Number of failed runs of a task after which the job fails.
        zone: Availability zone of the process that received it from the caller.
        is_logged: Whether it is in the replicated log; otherwise only its leader knows it.
    """

    __slots__ = (
        "accepted_at_ms",
        "checkpoint",
        "done",
        "done_of_step",
        "ended_at_ms",
        "ended_run",
        "failed_gang_runs",
        "failures",
        "is_logged",
        "is_started",
        "job_id",
        "max_attempts",
        "queue",
        "spec",
        "state",
        "tasks",
        "term",
        "zone",
    )

    def __init__(
        self,
        *,
        job_id: str,
        queue: str,
        spec: JobSpec,
        term: int,
        accepted_at_ms: int,
        max_attempts: int,
        zone: str,
        is_logged: bool = True,
    ) -> None:
        self.is_logged = is_logged
        self.job_id = job_id
        self.queue = queue
        self.spec = spec
        self.term = term
        self.accepted_at_ms = accepted_at_ms
        self.max_attempts = max_attempts
        self.zone = zone
        self.state = JobState.QUEUED
        self.ended_at_ms = 0
        self.is_started = False
        self.done: set[TaskKey] = set()
        # Number of failed runs and highest run number that has ended, by task.
        self.failures: dict[TaskKey, int] = {}
        self.ended_run: dict[TaskKey, int] = {}
        # Numbers of the runs that count as failed attempts of a gang, by its first member. Several
        # members may fail in one run, and ends of different upstreams arrive in any order.
        self.failed_gang_runs: dict[TaskKey, tuple[int, ...]] = {}
        self.checkpoint: dict[TaskKey, str] = {}
        # Number of done tasks, by occurrence and number of the step. Only steps with done tasks are
        # included, as a job may have very many occurrences.
        self.done_of_step: Counter[tuple[int, int]] = Counter()
        self.tasks = spec.repeated_tasks

    @property
    def is_open(self) -> bool:
        """Whether tasks may still start."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    @property
    def runs_until_cancelled(self) -> bool:
        """Whether any step of the job runs until the job is cancelled."""
        return any(step.runs_until_cancelled for step in self.spec.steps)

    def has_task(self, task: TaskKey) -> bool:
        """Whether a task is one of this job; upstreams may name others."""
        return (
            task.job == self.job_id
            and 0 <= task.step < len(self.spec.steps)
            and 0 <= task.number < self.spec.steps[task.step].tasks
            and 0 <= task.occurrence < max(1, self.spec.occurrences)
        )

    def tasks_of(self, occurrence: int, number: int) -> list[TaskKey]:
        """Return the keys of all tasks of a step."""
        count = self.spec.steps[number].tasks
        return [TaskKey(self.job_id, occurrence, number, index) for index in range(count)]

    def is_step_ready(self, occurrence: int, number: int) -> bool:
        """Whether all steps that a step depends on are done."""
        steps = self.spec.steps
        return all(
            self.done_of_step[occurrence, other] == steps[other].tasks
            for other in steps[number].after
        )

    def end_task(self, end: TaskEnd, now_ms: int) -> bool:
        """Apply the end of a run.

        Args:
            end: The end.
            now_ms: Wall clock, in Unix milliseconds.

        Returns:
            Whether the job changed. Repeated ends, ends of earlier runs, ends of completed tasks
            and ends of tasks that the job doesn't have are ignored.
        """
        task = end.task
        if not self.has_task(task):
            get_logger().warning("end_of_unknown_task", task=str(task), run=end.run)
            return False
        if not self.is_open or task in self.done or end.run <= self.ended_run.get(task, 0):
            return False
        step = self.spec.steps[task.step]
        members = self.tasks_of(task.occurrence, task.step) if step.is_gang else [task]
        self.is_started = True
        self.state = JobState.RUNNING
        is_newest = end.run >= max(self.ended_run.get(member, 0) for member in members)
        self.ended_run[task] = end.run
        if end.checkpoint and is_newest:
            self.checkpoint.update(dict.fromkeys(members, end.checkpoint))
        if step.runs_until_cancelled:
            return True
        if end.reason is EndReason.DONE:
            self.ended_run.update(dict.fromkeys(members, end.run))
            self._complete(members, now_ms)
        elif end.reason is EndReason.FAILED and self._is_new_attempt(members, end.run):
            self.failures[members[0]] = self.failures.get(members[0], 0) + 1
            if self.failures[members[0]] >= self.max_attempts:
                self.close(JobState.FAILED, now_ms)
        return True

    def _is_new_attempt(self, members: list[TaskKey], run: int) -> bool:
        """Return whether a failed run is the first end by which this attempt counts as failed."""
        if len(members) == 1:
            return True
        counted = self.failed_gang_runs.get(members[0], ())
        if run in counted:
            return False
        self.failed_gang_runs[members[0]] = (*counted, run)
        return True

    def _complete(self, members: list[TaskKey], now_ms: int) -> None:
        for member in members:
            if member not in self.done:
                self.done.add(member)
                self.done_of_step[member.occurrence, member.step] += 1
        if len(self.done) == self.tasks:
            self.close(JobState.COMPLETED, now_ms)

    def close(self, state: str, now_ms: int) -> None:
        """End the job and drop the data that only open jobs need."""
        self.state = state
        self.ended_at_ms = now_ms
        self.spec = self.spec._replace(payload="")
        self.checkpoint.clear()
        self.failed_gang_runs.clear()

    def to_plain(self) -> list[Any]:
        """Return the job as nested lists, for a snapshot of the log."""
        ended = [[*task[1:], run] for task, run in self.ended_run.items()]
        failures = [[*task[1:], count] for task, count in self.failures.items()]
        checkpoint = [[*task[1:], text] for task, text in self.checkpoint.items()]
        plain = [
            [self.job_id, self.queue, self.term, self.accepted_at_ms, self.max_attempts, self.zone],
            self.spec.to_plain(),
            [self.state, self.ended_at_ms, self.is_started],
            [task[1:] for task in self.done],
            ended,
            failures,
            checkpoint,
        ]
        if self.failed_gang_runs:
            # The build before ignores further fields.
            plain.append([[*task[1:], runs] for task, runs in self.failed_gang_runs.items()])
        return plain

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Job":
        """Read what ``to_plain`` returned.

        Tasks that the job doesn't have are left out; earlier versions stored those that an upstream
        had listed.
        """
        (job_id, queue, term, accepted_at_ms, max_attempts, zone), spec = plain[0], plain[1]
        job = cls(
            job_id=job_id,
            queue=queue,
            spec=JobSpec.from_plain(spec),
            term=term,
            accepted_at_ms=accepted_at_ms,
            max_attempts=max_attempts,
            zone=zone,
        )
        job.state, job.ended_at_ms, job.is_started = plain[2]
        job.done = {task for row in plain[3] if job.has_task(task := TaskKey(job_id, *row))}
        job.ended_run, job.failures, job.checkpoint = (
            {task: row[3] for row in rows if job.has_task(task := TaskKey(job_id, *row[:3]))}
            for rows in plain[4:7]
        )
        for row in plain[7] if len(plain) > 7 else ():
            job.failed_gang_runs[TaskKey(job_id, *row[:3])] = tuple(row[3])
        job.done_of_step.update((task.occurrence, task.step) for task in job.done)
        return job
