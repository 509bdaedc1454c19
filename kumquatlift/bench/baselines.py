"""Simple policies that the scheduler is measured against."""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

from kumquatlift.failure import Failure
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer


class SlotPolicy(Protocol):
    """What the experiments need of a policy; ``Scheduler`` and the baselines have it."""

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add or refresh a runner."""

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand or refuse it."""

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Remove what waits of a demand."""

    def poll(self, now: float) -> list[Grant]:
        """Return new grants."""

    def started(self, grant_id: str, now: float) -> None:
        """Record that a request was sent."""

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Record the end of a request."""

    def next_wakeup(self, now: float) -> float:
        """Return when ``poll`` is due if nothing else happens."""


class _ImmediatePolicy:
    """Policy that grants each request at once and leaves the waiting to the runners."""

    def __init__(self) -> None:
        self._runners: dict[str, RunnerOffer] = {}
        self._waiting: list[Demand] = []
        self._granted = 0

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add or refresh a runner."""
        self._runners[offer.runner] = offer

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand until the next poll."""
        self._waiting.append(demand)
        return None

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Return 0, since nothing waits between polls."""
        return 0

    def poll(self, now: float) -> list[Grant]:
        """Grant every request that waits."""
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
        """Return infinity."""
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
        first: Position of the first runner.
    """

    def __init__(self, *, first: int = 0) -> None:
        super().__init__()
        self._turn = first

    def _choose(self) -> str:
        self._turn += 1
        return list(self._runners)[self._turn % len(self._runners)]


class FewestOutstanding(_ImmediatePolicy):
    """Sends each request to a runner with the fewest requests of this process in flight.

    Args:
        seed: Seed of the choice among equals.
    """

    def __init__(self, *, seed: int = 0) -> None:
        super().__init__()
        self._random = random.Random(seed)
        self._in_flight: dict[str, int] = {}
        self._runner_by_grant: dict[str, str] = {}

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Count the request as ended."""
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
        slots: Requests at a time.
        end_of: Returns the end of a task from its start and its size, both in seconds; infinity
            when the runner would fail it.
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
    """Central scheduler that knows every run time and speed and has no message delay.

    Jobs are taken in order of arrival, the longest tasks of a job first; each task goes to the
    slot where it ends first.

    Args:
        runners: All runners of the service.
    """

    def __init__(self, *, runners: Sequence[KnownRunner]) -> None:
        self._runners = runners
        self._free_at = [[0.0] * runner.slots for runner in runners]
        self._planned: list[_Planned] = []

    def submit(self, job: int, sizes_s: Iterable[float], now: float) -> None:
        """Plan the tasks of a job."""
        for size_s in sorted(sizes_s, reverse=True):
            self._plan(job, size_s, now)

    def cancel(self, jobs: set[int], now: float) -> None:
        """Stop and remove jobs; everything that has not started is planned anew."""
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
        """Return when each job ends, by number."""
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
    """Return the response time of a job alone on all runners, in seconds.

    Args:
        sizes_s: Size of each task, its run time on a runner of speed 1.
        speeds: Speed of each runner.
        slots: Slots of a runner.
    """
    free_at = [[0.0] * slots for _ in speeds]
    longest = 0.0
    for size_s in sorted(sizes_s, reverse=True):
        ends = [free[0] + size_s / speed for free, speed in zip(free_at, speeds, strict=True)]
        end = min(ends)
        heapq.heapreplace(free_at[ends.index(end)], end)
        longest = max(longest, end)
    return longest
