"""Jobs of dependent steps, and the replicated table of all accepted jobs."""

from typing import Any, NamedTuple

from kumquatlift.authority._commands import EndHow, TaskEnd, TaskKey


class Step(NamedTuple):
    """Tasks of one shape.

    Args:
        tasks: Number of tasks.
        cpu_milli: Processor of one task, in thousandths of a core.
        memory_mb: Memory of one task.
        gpus: Accelerators of one task.
        estimate_ms: Declared run time of one task; 0 when nothing was declared.
        after: Numbers of the steps that must be done first.
        is_gang: All tasks run together, with one run number, and end together.
        is_rack_bound: The tasks are slow when they run on more than one rack.
        label: Label that an upstream must have; empty for any.
        data_rack: Rack that holds the data; empty for none.
        max_per_upstream: Most tasks of the step on one upstream; 0 for no limit.
        runs_until_cancelled: The tasks run until the job is cancelled.
        is_best_effort: The tasks use processor that others leave unused and are not counted.
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
    is_best_effort: bool = False


class JobSpec(NamedTuple):
    """What a caller submitted.

    Args:
        payload: Text that upstreams get with each task.
        steps: Steps; ``after`` refers to their positions.
        occurrences: Times that all steps run; 0 for once, without a start time.
        start_at_ms: Due time of the first occurrence, Unix milliseconds.
        interval_ms: Time between occurrences.
        answers_at_end: The caller waits for the end of the job.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    answers_at_end: bool = False

    def to_plain(self) -> list[Any]:
        """Return nested lists for a command of the log."""
        return [*self[:1], [list(step) for step in self.steps], *self[2:]]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "JobSpec":
        """Read what ``to_plain`` returned."""
        steps = tuple(Step(*row)._replace(after=tuple(row[5])) for row in plain[1])
        return cls(plain[0], steps, *plain[2:])

    @property
    def work_ms(self) -> float:
        """Declared run time of all tasks together, at speed 1."""
        return float(sum(step.tasks * step.estimate_ms for step in self.steps))


class JobState:
    """State names that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """Given up before any task started; only for jobs that are not in the log."""


class Job:
    """One accepted job; changed only by committed commands.

    Args:
        job_id: Identity chosen by the caller.
        queue: Key of the queue that it was submitted to.
        spec: What was submitted.
        term: Term of the log entry that accepted it.
        accepted_at_ms: Wall clock of the leader that accepted it, Unix milliseconds.
        max_attempts: Failed runs of a task after which the job has failed.
        zone: Availability zone of the process that took it from the caller.
        is_logged: Whether it is in the log; others are known to their leader only.
    """

    __slots__ = (
        "accepted_at_ms",
        "done",
        "ended_at_ms",
        "ended_run",
        "failures",
        "is_logged",
        "is_started",
        "job_id",
        "max_attempts",
        "queue",
        "remaining",
        "saved",
        "spec",
        "state",
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
        self.failures: dict[TaskKey, int] = {}
        self.ended_run: dict[TaskKey, int] = {}
        self.saved: dict[TaskKey, str] = {}
        occurrences = max(1, spec.occurrences)
        self.remaining = {
            (occurrence, number): step.tasks
            for occurrence in range(occurrences)
            for number, step in enumerate(spec.steps)
        }

    @property
    def is_open(self) -> bool:
        """Whether tasks may still start."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    @property
    def runs_until_cancelled(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.runs_until_cancelled for step in self.spec.steps)

    def tasks_of(self, occurrence: int, number: int) -> list[TaskKey]:
        """Return the keys of all tasks of a step."""
        count = self.spec.steps[number].tasks
        return [TaskKey(self.job_id, occurrence, number, index) for index in range(count)]

    def is_step_ready(self, occurrence: int, number: int) -> bool:
        """Whether all steps that a step depends on are done."""
        return all(
            self.remaining[occurrence, other] == 0 for other in self.spec.steps[number].after
        )

    def end_task(self, end: TaskEnd, now_ms: int) -> bool:
        """Take note of the end of a run.

        Returns:
            Whether it changed anything: a repeated end, or one of a task that is done, does not.
        """
        task = end.task
        if not self.is_open or task in self.done or end.run <= self.ended_run.get(task, 0):
            return False
        step = self.spec.steps[task.step]
        members = self.tasks_of(task.occurrence, task.step) if step.is_gang else [task]
        self.is_started = True
        self.state = JobState.RUNNING
        for member in members:
            self.ended_run[member] = end.run
            if end.saved:
                self.saved[member] = end.saved
        if step.runs_until_cancelled:
            return True
        if end.how is EndHow.DONE:
            self._complete(members, now_ms)
        elif end.how is EndHow.FAILED:
            self.failures[members[0]] = self.failures.get(members[0], 0) + 1
            if self.failures[members[0]] >= self.max_attempts:
                self.close(JobState.FAILED, now_ms)
        return True

    def _complete(self, members: list[TaskKey], now_ms: int) -> None:
        for member in members:
            if member not in self.done:
                self.done.add(member)
                self.remaining[member.occurrence, member.step] -= 1
        if not any(self.remaining.values()):
            self.close(JobState.COMPLETED, now_ms)

    def close(self, state: str, now_ms: int) -> None:
        """End the job and drop what only an open job needs."""
        self.state = state
        self.ended_at_ms = now_ms
        self.spec = self.spec._replace(payload="")
        self.saved.clear()

    def to_plain(self) -> list[Any]:
        """Return plain data for a snapshot of the log."""
        ended = [[*task[1:], run] for task, run in self.ended_run.items()]
        failures = [[*task[1:], count] for task, count in self.failures.items()]
        saved = [[*task[1:], text] for task, text in self.saved.items()]
        return [
            [self.job_id, self.queue, self.term, self.accepted_at_ms, self.max_attempts, self.zone],
            self.spec.to_plain(),
            [self.state, self.ended_at_ms, self.is_started],
            [task[1:] for task in self.done],
            ended,
            failures,
            saved,
        ]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Job":
        """Read what ``to_plain`` returned."""
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
        job.done = {TaskKey(job_id, *row) for row in plain[3]}
        job.ended_run = {TaskKey(job_id, *row[:3]): row[3] for row in plain[4]}
        job.failures = {TaskKey(job_id, *row[:3]): row[3] for row in plain[5]}
        job.saved = {TaskKey(job_id, *row[:3]): row[3] for row in plain[6]}
        for task in job.done:
            job.remaining[task.occurrence, task.step] -= 1
        return job
