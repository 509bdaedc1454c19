"""Jobs, tasks and results of one run of an experiment."""

from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.bench.cases import Arrival
from kumquatlift.scheduling.scheduler import AttemptOutcome, Grant


class JobResult(NamedTuple):
    """End of a job; ``ended_at`` is None unless it is complete."""

    number: int
    ended_at: float | None
    was_cancelled: bool


class RunResult(NamedTuple):
    """Results of one run.

    Args:
        jobs: One result a job.
        messages: Requests sent to runners.
        completed_tasks: Tasks that ended well, those of failed jobs included.
    """

    jobs: list[JobResult]
    messages: int
    completed_tasks: int


class Job:
    """Progress of one job.

    Args:
        number: Place among the arrivals.
        arrival: The job as it arrives.
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
        answer: Takes the outcome, and the run time or Retry-After in seconds.
    """

    job: Job
    size_s: float
    attempt: int
    policy_zone: str
    grant: Grant
    answer: Callable[[AttemptOutcome, float], None]
