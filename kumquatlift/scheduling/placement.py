"""Chooses a runner for a waiting demand."""

from kumquatlift.scheduling.demand import Demand
from kumquatlift.scheduling.fair_queue import Entry
from kumquatlift.scheduling.run_estimate import RunEstimate
from kumquatlift.scheduling.runner_pool import RankedRunner, RunnerPool, RunnerState

MAX_TRIAL_DELAY_S = 5.0
"""After this delay, a trial of a quarantined runner may use a request that is not repeatable."""
MIN_SLOWNESS_RATIO = 1.5
"""A runner slower than the faster ones by less than this factor is used without comparing times,
since smaller differences may be errors of the estimate."""


class FreeRunner:
    """A runner with free slots.

    Args:
        ranked: The runner and its position in the order of preference.
        free: Number of free slots.
    """

    __slots__ = ("free", "ranked")

    def __init__(self, ranked: RankedRunner, free: int) -> None:
        self.ranked = ranked
        self.free = free


class Placement:
    """Chooses runners by due trials, order of preference and free slots.

    Args:
        pool: Runners of the service in this zone.
        estimate: Expected run times.
    """

    def __init__(self, *, pool: RunnerPool, estimate: RunEstimate) -> None:
        self._pool = pool
        self._estimate = estimate

    def free_runners(self, now: float) -> list[FreeRunner]:
        """Return the runners with free slots, the most preferred one last."""
        free = (
            FreeRunner(ranked, self._pool.free(ranked.state, now))
            for ranked in reversed(self._pool.order(now))
        )
        return [item for item in free if item.free]

    def choose(
        self, free: list[FreeRunner], entry: Entry[Demand], ahead: int, now: float
    ) -> RunnerState | None:
        """Choose the runner for one request of a demand.

        Removes the slot from ``free``, unless the request is a trial.

        Args:
            free: Runners with free slots, the most preferred one last.
            entry: The demand.
            ahead: Number of requests that precede the demand and wait for faster runners.
            now: Monotonic seconds.

        Returns:
            The runner; None if there is none, or if the demand is expected to end sooner by
            waiting for a faster one.
        """
        trial = self._pool.trial(now)
        if trial is not None and self._can_use_as_trial(entry, trial, now):
            return trial
        if not free or not self._ends_sooner_than_waiting(free[-1].ranked, entry, ahead):
            return None
        best = free[-1]
        best.free -= 1
        if not best.free:
            free.pop()
        return best.ranked.state

    def _can_use_as_trial(self, entry: Entry[Demand], trial: RunnerState, now: float) -> bool:
        kind = self._pool.service.kinds.get(entry.item.kind)
        is_repeatable = kind is not None and kind.repeatable
        return is_repeatable or now >= trial.health.quarantined_until + MAX_TRIAL_DELAY_S

    def _ends_sooner_than_waiting(
        self, ranked: RankedRunner, entry: Entry[Demand], ahead: int
    ) -> bool:
        """Whether the runner ends the demand no later than the faster, busy runners would."""
        if not ranked.faster_slots:
            return True
        faster_slowness = ranked.faster_slots / ranked.faster_speed
        if ranked.slowness < MIN_SLOWNESS_RATIO * faster_slowness:
            return True
        expected_s = self._estimate.expected_s(entry.item)
        wait_s = (ahead + entry.remaining) * self._estimate.mean_s / ranked.faster_speed
        return expected_s * ranked.slowness <= wait_s + expected_s * faster_slowness
