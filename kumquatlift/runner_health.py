"""Which runners may be used: failing ones are taken out and readmitted by single trials."""

from typing import NamedTuple

FAILURES_TO_OUT = 2
"""Failures in a row that take a runner out; a single failure may be the task's own."""
LONGEST_OUT_S = 30.0
_RATE_GAIN = 0.1
"""Weight of the latest request in the failure rate."""
_RATE_AFTER_TRIAL = 0.1
"""Bound on the failure rate after a successful trial; the failures before it were of one fault."""


class HealthPolicy(NamedTuple):
    """Parameters of quarantine.

    Args:
        first_out_s: Length of the first quarantine, in seconds.
        growth: Factor from one quarantine to the next without a success in between.
        failures_to_out: Failures in a row that take a runner out.
    """

    first_out_s: float = 1.0
    growth: float = 2.0
    failures_to_out: int = FAILURES_TO_OUT


class RunnerHealth:
    """Failures of one runner.

    Args:
        policy: Parameters of quarantine.
    """

    def __init__(self, *, policy: HealthPolicy) -> None:
        self.policy = policy
        self._failures = 0
        self._times_out = 0
        self._out_until = 0.0
        self._is_out = False
        self._trial: str = ""
        self.failure_rate = 0.0

    @property
    def is_out(self) -> bool:
        """Whether the runner gets nothing but trials."""
        return self._is_out

    @property
    def out_until(self) -> float:
        """When the next trial may start, in monotonic seconds."""
        return self._out_until

    @property
    def recent_failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def may_try(self, now: float) -> bool:
        """Whether a runner that is out may get a trial request."""
        return self._is_out and not self._trial and now >= self._out_until

    def try_with(self, grant_id: str) -> None:
        """Record that a request is this runner's trial."""
        self._trial = grant_id

    def succeeded(self, grant_id: str) -> None:
        """Record a success; a successful trial readmits the runner.

        A success of a request that started before the quarantine proves nothing about now.
        """
        self.failure_rate -= _RATE_GAIN * self.failure_rate
        if self._is_out and grant_id != self._trial:
            return
        if self._is_out:
            self.failure_rate = min(self.failure_rate, _RATE_AFTER_TRIAL)
        self._trial = ""
        self._is_out = False
        self._failures = 0
        self._times_out = 0

    def failed(self, grant_id: str, now: float) -> None:
        """Record a failure."""
        self._failures += 1
        self.failure_rate += _RATE_GAIN * (1 - self.failure_rate)
        if self._is_out and grant_id != self._trial:
            return
        is_trial = grant_id == self._trial and bool(grant_id)
        if is_trial or self._failures >= self.policy.failures_to_out:
            self._trial = ""
            self._is_out = True
            grown = self.policy.first_out_s * self.policy.growth**self._times_out
            self._out_until = now + min(grown, LONGEST_OUT_S)
            self._times_out = min(self._times_out + 1, 32)

    def unused(self, grant_id: str) -> None:
        """Record that a request never reached the runner, so that it proved nothing."""
        if grant_id == self._trial:
            self._trial = ""
