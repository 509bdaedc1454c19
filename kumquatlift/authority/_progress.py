"""The leader's state of an open job beyond the replicated state."""

from collections import deque
from typing import NamedTuple

from kumquatlift.authority._commands import TaskKey
from kumquatlift.authority._failed_runs import FailedRuns
from kumquatlift.authority._fleet import Resources, size_of
from kumquatlift.authority._serving import Queue
from kumquatlift.authority._work import Job

# The result of a job is useless to its caller after this many times its objective.
EXPIRY_FACTOR = 3.0
# Distance between the first run numbers of successive terms; exceeds the number of times that a
# leader can start one task.
RUNS_PER_TERM = 1000


class Need(NamedTuple):
    """What decides whether a task can be placed, beside the offers.

    Args:
        size: Resources of the task.
        label: Label that the upstream must have; empty for any.
        gang: Number of tasks that start together; 1 without a gang.
    """

    size: Resources
    label: str
    gang: int


class Progress:
    """The waiting and running tasks of an open job, and the times by which it should complete.

    Args:
        job: The job.
        queue: Its queue; None if the configuration no longer has the queue.
        term: Term of this leader.
        expected_ms: Expected run time at speed 1 of a task of each step, in milliseconds.
        now: Current time, in seconds.
        age_s: Time since the job was accepted, in seconds.
        arrival_number: Number of the job in order of arrival.
    """

    __slots__ = (
        "accepted_at",
        "arrival_number",
        "avoid",
        "base_run",
        "critical_path_ms",
        "expected_ms",
        "expires_at",
        "failed_runs",
        "first_start_at",
        "has_begun",
        "has_met_fault",
        "is_released",
        "job",
        "needs",
        "objective_at",
        "objective_ms",
        "queue",
        "released",
        "released_at",
        "released_before",
        "running",
        "runs",
        "step_waits_s",
        "waiting",
        "waiting_ms",
    )

    def __init__(
        self,
        *,
        job: Job,
        queue: Queue | None,
        term: int,
        expected_ms: tuple[float, ...],
        now: float,
        age_s: float,
        arrival_number: int,
    ) -> None:
        self.job = job
        self.queue = queue
        self.expected_ms = expected_ms
        self.needs = tuple(
            Need(size_of(step), step.label, step.tasks if step.is_gang else 1)
            for step in job.spec.steps
        )
        self.arrival_number = arrival_number
        # Run numbers of this leader must exceed those of earlier ones. A job that is not in the log
        # may have been accepted in any earlier term.
        self.base_run = (term - (job.term if job.is_logged else 1)) * RUNS_PER_TERM
        # Highest known run number of each task.
        self.runs: dict[TaskKey, int] = {}
        self.waiting: deque[TaskKey] = deque()
        self.waiting_ms = 0.0
        # Occurrences and numbers of the steps whose tasks were released to start.
        self.released: set[tuple[int, int]] = set()
        # All steps of the occurrences before this one were released.
        self.released_before = 0
        self.is_released = False
        # Upstreams on which tasks run, by task.
        self.running: dict[TaskKey, str] = {}
        # Upstreams on which earlier runs failed or lapsed, by task.
        self.avoid: dict[TaskKey, frozenset[str]] = {}
        self.failed_runs = FailedRuns()
        # Whether answers for one of its runs were lost, or a task had to start again.
        self.has_met_fault = False
        self.first_start_at: float | None = None
        # Whether an upstream has shown that a run which is known no more had begun.
        self.has_begun = False
        # Time at which the tasks of each step were released to start, and the longest time that one
        # of them has waited for its first start, by occurrence and number of the step.
        self.released_at: dict[tuple[int, int], float] = {}
        self.step_waits_s: dict[tuple[int, int], float] = {}
        self.critical_path_ms = critical_path_ms(job, expected_ms)
        slack = queue.slack_factor if queue else 1.0
        target_ms = queue.target_ms if queue else 0
        self.objective_ms = slack * self.critical_path_ms + target_ms
        self.accepted_at = now - age_s
        self.objective_at = now - age_s + self.objective_ms / 1000
        self.expires_at = now - age_s + EXPIRY_FACTOR * self.objective_ms / 1000

    def add_waiting(self, task: TaskKey, *, is_first: bool = False) -> None:
        """Add a task to those that wait for free resources.

        Args:
            task: The task.
            is_first: Whether it starts before the others, which holds for a task that ran before.
        """
        self.waiting_ms += self.expected_ms[task.step]
        if is_first:
            self.waiting.appendleft(task)
        else:
            self.waiting.append(task)

    def remove_waiting(self, task: TaskKey) -> None:
        """Remove a task from those that wait."""
        self.waiting.remove(task)
        self.waiting_ms -= self.expected_ms[task.step]

    def waiting_needs(self) -> frozenset[Need]:
        """Return what the waiting tasks need."""
        if len(self.needs) == 1:
            return frozenset(self.needs)
        return frozenset(self.needs[number] for number in {task.step for task in self.waiting})

    def record_start(self, task: TaskKey, now: float) -> None:
        """Record that a run of a task starts now."""
        if self.first_start_at is None:
            self.first_start_at = now
        step = (task.occurrence, task.step)
        if task not in self.avoid and step in self.released_at:
            waited_s = now - self.released_at[step]
            self.step_waits_s[step] = max(waited_s, self.step_waits_s.get(step, 0.0))

    @property
    def waited_s(self) -> float:
        """Time that the tasks of successive steps have waited for their first starts, in seconds.

        Steps that wait beside each other count as successive ones.
        """
        return sum(self.step_waits_s.values())

    def is_late_under_load(self, now: float) -> bool:
        """Whether the job, which ends now, is late and no fault of an upstream explains that.

        A job that has met a fault is late under load if it would be in time without its waits.
        """
        late_s = now - self.objective_at
        return late_s > 0 and (not self.has_met_fault or late_s <= self.waited_s)

    def next_run(self, task: TaskKey) -> int:
        """Return the number of the next run of a task; the numbers grow across leaders."""
        known = max(self.base_run, self.runs.get(task, 0), self.job.ended_run.get(task, 0))
        self.runs[task] = known + 1
        return known + 1

    def record_run(self, task: TaskKey, run: int) -> None:
        """Record the number of a run that ``next_run`` did not assign to this task."""
        self.runs[task] = max(run, self.runs.get(task, 0))


def critical_path_ms(job: Job, expected_ms: tuple[float, ...]) -> float:
    """Return the run time of the longest path of dependent steps, in milliseconds."""
    longest: list[float] = []
    for number, step in enumerate(job.spec.steps):
        before = max((longest[other] for other in step.after), default=0.0)
        longest.append(before + expected_ms[number])
    return max(longest, default=0.0)
