"""What the leader knows of an open job beyond its replicated state."""

from collections import deque

from kumquatlift.authority._commands import TaskKey
from kumquatlift.authority._serving import Queue
from kumquatlift.authority._work import Job

# A job is of no use to its caller after this many times its objective.
EXPIRY_FACTOR = 3.0
# Distance between the run numbers of one leader and of the next; more starts than one task can have
# under one leader.
RUNS_PER_TERM = 1000


class Progress:
    """An open job: the tasks that wait for room, and when it should be complete.

    Args:
        job: The job.
        queue: Its queue; None when the configuration has no such queue any more.
        term: Term of this leader.
        expected_ms: Run time expected of a task of each step at speed 1.
        now: Time.
        age_s: Time since the job was accepted.
        arrival_number: Order of arrival.
    """

    __slots__ = (
        "accepted_at",
        "arrival_number",
        "avoid",
        "base_run",
        "critical_path_ms",
        "expected_ms",
        "expires_at",
        "first_start_at",
        "is_released",
        "job",
        "objective_at",
        "objective_ms",
        "queue",
        "released",
        "running",
        "runs",
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
        self.arrival_number = arrival_number
        # The job may have run under an earlier leader, of which nothing is known when it is not in
        # the log.
        self.base_run = (term - (job.term if job.is_logged else 1)) * RUNS_PER_TERM
        self.runs: dict[TaskKey, int] = {}
        self.waiting: deque[TaskKey] = deque()
        self.waiting_ms = 0.0
        # Steps whose tasks were handed out for starting.
        self.released: set[tuple[int, int]] = set()
        self.is_released = False
        self.running: dict[TaskKey, str] = {}
        self.avoid: dict[TaskKey, frozenset[str]] = {}
        self.first_start_at: float | None = None
        self.critical_path_ms = critical_path_ms(job, expected_ms)
        slack = queue.slack_factor if queue else 1.0
        target_ms = queue.target_ms if queue else 0
        self.objective_ms = slack * self.critical_path_ms + target_ms
        self.accepted_at = now - age_s
        self.objective_at = now - age_s + self.objective_ms / 1000
        self.expires_at = now - age_s + EXPIRY_FACTOR * self.objective_ms / 1000

    def add_waiting(self, task: TaskKey, *, is_first: bool = False) -> None:
        """Let a task wait for room; one that ran before goes first."""
        self.waiting_ms += self.expected_ms[task.step]
        if is_first:
            self.waiting.appendleft(task)
        else:
            self.waiting.append(task)

    def remove_waiting(self, task: TaskKey) -> None:
        """Remove a task that starts now."""
        self.waiting.remove(task)
        self.waiting_ms -= self.expected_ms[task.step]

    def next_run(self, task: TaskKey) -> int:
        """Return the number of the next run of a task; numbers rise across leaders."""
        known = max(self.base_run, self.runs.get(task, 0), self.job.ended_run.get(task, 0))
        self.runs[task] = known + 1
        return known + 1

    def record_run(self, task: TaskKey, run: int) -> None:
        """Take note of a run that an earlier leader started."""
        self.runs[task] = max(run, self.runs.get(task, 0))


def critical_path_ms(job: Job, expected_ms: tuple[float, ...]) -> float:
    """Return the run time of the longest chain of dependent steps."""
    longest: list[float] = []
    for number, step in enumerate(job.spec.steps):
        before = max((longest[other] for other in step.after), default=0.0)
        longest.append(before + expected_ms[number])
    return max(longest, default=0.0)
