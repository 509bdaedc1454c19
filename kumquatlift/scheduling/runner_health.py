"""Runner health: quarantines failing runners and readmits them after a successful trial request."""

from typing import NamedTuple

FAILURES_TO_QUARANTINE = 2
"""Consecutive failures that quarantine a runner; the task may be the cause of a single failure."""
MAX_QUARANTINE_S = 30.0
_RATE_GAIN = 0.1
"""Weight of the latest request in the failure rate."""
_RATE_HALF_LIFE_S = 30.0
"""Half-life of the failure rate. It decays with time, because a runner that is avoided for its
failures has no successes that would lower it."""
_MAX_RATE_AFTER_TRIAL = 0.02
"""Largest failure rate after a successful trial. The failures before the quarantine had one cause,
which the trial shows to be gone."""


class HealthPolicy(NamedTuple):
    """Parameters of quarantine.

    Args:
        first_quarantine_s: Length of the first quarantine, in seconds.
        growth: Ratio of the length of a quarantine to the one before, if no success came between.
        failures_to_quarantine: Consecutive failures that quarantine a runner.
    """

    first_quarantine_s: float = 1.0
    growth: float = 2.0
    failures_to_quarantine: int = FAILURES_TO_QUARANTINE

    @classmethod
    def for_weight(cls, message_weight: float) -> "HealthPolicy":
        """Return the parameters for a message weight: 0.5 s of first quarantine at 0, 8 s at 1."""
        return cls(first_quarantine_s=0.5 * 16.0**message_weight)


class RunnerHealth:
    """Failures and quarantine of one runner.

    Args:
        policy: Parameters of quarantine.
    """

    def __init__(self, *, policy: HealthPolicy) -> None:
        self.policy = policy
        self._failures = 0
        self._quarantine_count = 0
        self._quarantined_until = 0.0
        self._is_quarantined = False
        self._trial: str = ""
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0

    @property
    def is_quarantined(self) -> bool:
        """Whether the runner gets trial requests only."""
        return self._is_quarantined

    @property
    def quarantined_until(self) -> float:
        """Time from which a trial may start, in monotonic seconds."""
        return self._quarantined_until

    @property
    def recent_failures(self) -> int:
        """Number of failures since the last success."""
        return self._failures

    def may_start_trial(self, now: float) -> bool:
        """Whether the runner is quarantined and may get a trial request."""
        return self._is_quarantined and not self._trial and now >= self._quarantined_until

    def start_trial(self, grant_id: str) -> None:
        """Record that the request of a grant is the runner's trial."""
        self._trial = grant_id

    def failure_rate(self, now: float) -> float:
        """Return the recent share of failures, which decays while the runner is not used."""
        return float(
            self._failure_rate * 0.5 ** (max(0.0, now - self._failure_rate_at) / _RATE_HALF_LIFE_S)
        )

    def record_success(self, grant_id: str, now: float) -> None:
        """Record a success; a successful trial readmits the runner.

        During a quarantine, the success of any other request is ignored, because that request
        started before it.
        """
        self._update_rate(0.0, now)
        if self._is_quarantined and grant_id != self._trial:
            return
        if self._is_quarantined:
            self._failure_rate = min(self._failure_rate, _MAX_RATE_AFTER_TRIAL)
        self._trial = ""
        self._is_quarantined = False
        self._failures = 0
        self._quarantine_count = 0

    def record_failure(self, grant_id: str, now: float) -> None:
        """Record a failure, which may start or extend a quarantine."""
        self._failures += 1
        self._update_rate(1.0, now)
        if self._is_quarantined and grant_id != self._trial:
            return
        is_trial = grant_id == self._trial and bool(grant_id)
        if is_trial or self._failures >= self.policy.failures_to_quarantine:
            self._trial = ""
            self._is_quarantined = True
            grown = self.policy.first_quarantine_s * self.policy.growth**self._quarantine_count
            self._quarantined_until = now + min(grown, MAX_QUARANTINE_S)
            self._quarantine_count = min(self._quarantine_count + 1, 32)

    def record_unused(self, grant_id: str) -> None:
        """Record a grant that was not used or refused by the runner; a trial may be repeated."""
        if grant_id == self._trial:
            self._trial = ""

    def _update_rate(self, value: float, now: float) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + _RATE_GAIN * (value - rate)
        self._failure_rate_at = now
