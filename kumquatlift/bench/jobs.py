"""Jobs, tasks and results of one run of an experiment."""

from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.bench.cases import Arrival
from kumquatlift.scheduling.scheduler import AttemptOutcome, Grant


class JobResult(NamedTuple):
    """Result of a job.

    Args:
        number: Index of the job among the arrivals.
        ended_at: Time of completion in seconds; None unless the job completed.
        was_cancelled: Whether the job was cancelled.
    """

    number: int
    ended_at: float | None
    was_cancelled: bool


class RunResult(NamedTuple):
    """Results of one run.

    Args:
        jobs: Result of each job.
        messages: Number of requests sent to runners.
        completed_tasks: Number of tasks that succeeded, including those of failed jobs.
    """

    jobs: list[JobResult]
    messages: int
    completed_tasks: int


class Job:
    """Progress of one job.

    Args:
        number: Index of the job among the arrivals.
        arrival: The generated job.

    Attributes:
        remaining: Number of tasks that have not succeeded yet.
        demands: Zone of each demand, by id of the demand.
        in_flight: Tasks that were sent to a runner and not answered yet, by id of the grant.
        ended_at: Time of completion in seconds; None unless the job completed.
        is_finished: Whether the job completed, failed or was cancelled.
    """

    def __init__(self, *, number: int, arrival: Arrival) -> None:
        self.number = number
        self.arrival = arrival
        self.waiting = list(arrival.sizes_s)
        self.remaining = len(arrival.sizes_s)
        self.demands: dict[str, str] = {}
        self.in_flight: dict[str, Task] = {}
        self.ended_at: float | None = None
        self.is_finished = False
        self.was_cancelled = False


class Task(NamedTuple):
    """One attempt to run a task.

    Args:
        job: The job.
        size_s: Size of the task in seconds.
        attempt: Number of the attempt, from 1.
        policy_zone: Zone whose policy made the grant.
        grant: The grant.
        answer: Called with the outcome and the run time in seconds; for a refusal, with the time
            to wait before a retry instead of the run time.
    """

    job: Job
    size_s: float
    attempt: int
    policy_zone: str
    grant: Grant
    answer: Callable[[AttemptOutcome, float], None]
