"""Expected run times and waits for the runners of one service in one zone."""

from kumquatlift.scheduling.demand import Demand
from kumquatlift.scheduling.run_times import RunTimes
from kumquatlift.scheduling.runner_pool import RunnerPool


class RunEstimate:
    """Estimates based on the observed run times and the speed of the runners.

    Args:
        pool: Runners of the service in this zone.
        run_times: Observed run times.
    """

    def __init__(self, *, pool: RunnerPool, run_times: RunTimes) -> None:
        self.mean_s = 0.0
        self._pool = pool
        self._run_times = run_times
        self._finished = 0

    def observe(self, demand: Demand, runner: str, run_s: float, now: float) -> None:
        """Update the estimates with the run time, in seconds, of a successful request."""
        self._run_times.observe(demand.kind, runner, demand.expected_s, run_s, now)
        average_s = run_s / self._run_times.slowness(runner, now)
        self._finished += 1
        self.mean_s += max(1 / self._finished, 0.01) * (average_s - self.mean_s)

    def is_learned(self, kind: str) -> bool:
        """Whether enough requests of a kind ran to rely on its estimate."""
        return self._run_times.is_learned(kind)

    def expected_s(self, demand: Demand) -> float:
        """Return the expected run time of one request on an average runner."""
        return self._run_times.expected_s(demand.kind, demand.expected_s)

    def drain_s(self, count: int, now: float) -> float:
        """Return the seconds in which all runners together run ``count`` requests of mean length.

        Infinity if there is no usable runner.
        """
        speed = self._pool.speed(now)
        return count * self.mean_s / speed if speed > 0 else float("inf")

    def uncontended_s(self, demand: Demand, now: float) -> float:
        """Return the expected response time, in seconds, of a demand without competing demands."""
        drain_s = self.drain_s(demand.count, now) if self._pool.speed(now) > 0 else 0.0
        return self.expected_s(demand) + drain_s
