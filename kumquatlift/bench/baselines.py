"""Baseline policies with which the scheduler is compared."""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

from kumquatlift.failure import Failure
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer


class SlotPolicy(Protocol):
    """Interface of a policy in the experiments; ``Scheduler`` and the baselines implement it."""

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add a runner or update what is known of it."""

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand, or return the failure with which it is refused."""

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Remove up to ``count`` queued requests of a demand and return how many were removed."""

    def poll(self, now: float) -> list[Grant]:
        """Return new grants."""

    def started(self, grant_id: str, now: float) -> None:
        """Record that the request of a grant was sent to the runner."""

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Record the outcome of the request of a grant."""

    def next_wakeup(self, now: float) -> float:
        """Return the time at which ``poll`` is due if no other method is called before."""


class _ImmediatePolicy:
    """Base of policies that grant each request at once, so that requests queue at the runners."""

    def __init__(self) -> None:
        self._runners: dict[str, RunnerOffer] = {}
        self._waiting: list[Demand] = []
        self._granted = 0

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add a runner or replace its offer."""
        self._runners[offer.runner] = offer

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand until the next poll."""
        self._waiting.append(demand)
        return None

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Return 0, since no request is queued between polls."""
        return 0

    def poll(self, now: float) -> list[Grant]:
        """Grant every queued request."""
        grants = []
        for demand in self._waiting:
            for _ in range(demand.count):
                self._granted += 1
                runner = self._choose()
                grant_id = f"g{self._granted}"
                self._record_grant(grant_id, runner)
                address = self._runners[runner].address
                grants.append(
                    Grant(grant_id, demand.id, demand.requester, runner, address, math.inf)
                )
        self._waiting.clear()
        return grants

    def started(self, grant_id: str, now: float) -> None:
        """Do nothing."""

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Do nothing."""

    def next_wakeup(self, now: float) -> float:
        """Return infinity, since ``poll`` has work only after ``enqueue``."""
        return math.inf

    def _choose(self) -> str:
        raise NotImplementedError

    def _record_grant(self, grant_id: str, runner: str) -> None:
        pass


class RandomChoice(_ImmediatePolicy):
    """Sends each request to a random runner.

    Args:
        seed: Seed of the choice.
    """

    def __init__(self, *, seed: int = 0) -> None:
        super().__init__()
        self._random = random.Random(seed)

    def _choose(self) -> str:
        return self._random.choice(list(self._runners))


class RoundRobin(_ImmediatePolicy):
    """Sends requests to the runners in turn.

    Args:
        first: Index of the runner before the one that gets the first request.
    """

    def __init__(self, *, first: int = 0) -> None:
        super().__init__()
        self._turn = first

    def _choose(self) -> str:
        self._turn += 1
        return list(self._runners)[self._turn % len(self._runners)]


class FewestOutstanding(_ImmediatePolicy):
    """Sends each request to the runner with the fewest requests of this policy in flight.

    Args:
        seed: Seed of the choice among runners with equally many.
    """

    def __init__(self, *, seed: int = 0) -> None:
        super().__init__()
        self._random = random.Random(seed)
        self._in_flight: dict[str, int] = {}
        self._runner_by_grant: dict[str, str] = {}

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Count the request as no longer in flight."""
        self._in_flight[self._runner_by_grant.pop(grant_id)] -= 1

    def _choose(self) -> str:
        fewest = min(self._in_flight.get(name, 0) for name in self._runners)
        names = [name for name in self._runners if self._in_flight.get(name, 0) == fewest]
        return self._random.choice(names)

    def _record_grant(self, grant_id: str, runner: str) -> None:
        self._in_flight[runner] = self._in_flight.get(runner, 0) + 1
        self._runner_by_grant[grant_id] = runner


class KnownRunner(NamedTuple):
    """A runner whose behaviour is known in advance.

    Args:
        name: Runner name.
        slots: Requests run at a time.
        completion_time: Returns when a task ends, given its start and its size, all in seconds;
            infinity if the runner would fail the task.
    """

    name: str
    slots: int
    completion_time: Callable[[float, float], float]


class _Planned(NamedTuple):
    job: int
    size_s: float
    runner: int
    starts_at: float
    ends_at: float


class Omniscient:
    """Central list scheduler that knows all run times, speeds and faults and has no message delay.

    Jobs are scheduled in order of arrival, and the tasks of a job in order of decreasing size; each
    task is assigned to the slot on which it ends first.

    Args:
        runners: All runners of the service.
    """

    def __init__(self, *, runners: Sequence[KnownRunner]) -> None:
        self._runners = runners
        self._free_at = [[0.0] * runner.slots for runner in runners]
        self._planned: list[_Planned] = []

    def submit(self, job: int, sizes_s: Iterable[float], now: float) -> None:
        """Schedule the tasks of a job.

        Args:
            job: Number of the job.
            sizes_s: Size of each task, its run time in seconds on a runner of speed 1.
            now: Time of arrival in seconds.
        """
        for size_s in sorted(sizes_s, reverse=True):
            self._plan(job, size_s, now)

    def cancel(self, jobs: set[int], now: float) -> None:
        """Stop and remove jobs, then reschedule all tasks of other jobs that have not started."""
        kept = [task for task in self._planned if task.job not in jobs]
        self._planned = [task for task in kept if task.starts_at <= now]
        for index, runner in enumerate(self._runners):
            ends = [
                task.ends_at
                for task in self._planned
                if task.runner == index and task.ends_at > now
            ]
            self._free_at[index] = ends + [now] * (runner.slots - len(ends))
            heapq.heapify(self._free_at[index])
        for task in kept:
            if task.starts_at > now:
                self._plan(task.job, task.size_s, now)

    def completion_times(self) -> dict[int, float]:
        """Return the time at which each job ends, by job number."""
        completion_times: dict[int, float] = {}
        for task in self._planned:
            completion_times[task.job] = max(completion_times.get(task.job, 0.0), task.ends_at)
        return completion_times

    def _plan(self, job: int, size_s: float, now: float) -> None:
        best: tuple[float, int, float] | None = None
        for index, runner in enumerate(self._runners):
            starts_at = max(now, self._free_at[index][0])
            ends_at = runner.completion_time(starts_at, size_s)
            if best is None or ends_at < best[0]:
                best = (ends_at, index, starts_at)
        assert best is not None
        ends_at, index, starts_at = best
        heapq.heapreplace(self._free_at[index], ends_at)
        self._planned.append(_Planned(job, size_s, index, starts_at, ends_at))


def ideal_s(sizes_s: Iterable[float], speeds: Sequence[float], slots: int) -> float:
    """Return the ideal response time of a job in seconds: that of the job alone on all runners.

    Args:
        sizes_s: Size of each task, its run time in seconds on a runner of speed 1.
        speeds: Speed of each runner.
        slots: Number of slots of each runner.
    """
    free_at = [[0.0] * slots for _ in speeds]
    longest = 0.0
    for size_s in sorted(sizes_s, reverse=True):
        ends = [free[0] + size_s / speed for free, speed in zip(free_at, speeds, strict=True)]
        end = min(ends)
        heapq.heapreplace(free_at[ends.index(end)], end)
        longest = max(longest, end)
    return longest
