"""Run time estimates: corrections of the declared times, and the relative speed of each runner."""

import math
from collections import OrderedDict

MAX_KINDS = 256
MAX_RUNNERS = 2048
_MIN_GAIN = 0.01
"""Smallest weight of a new observation, so that about the last 100 count. Run times of one kind
vary so widely that fewer observations leave errors of more than 10 %."""
_MAX_LOG_STEP = math.log(8.0)
"""Largest distance of an observation from the mean logarithm, which limits the effect of a single
very long task."""
_PRIOR_COUNT = 4
"""Number of virtual observations of average speed that a new runner starts with."""
_DRIFT_HALF_LIFE_S = 120.0
"""Half-life of a runner's slowness while it is not observed. It decays to the average, so that a
runner that has recovered is used again."""


class _Average:
    """Exponential moving average that starts as an arithmetic mean."""

    __slots__ = ("count", "updated_at", "value")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 0
        self.updated_at = 0.0

    def add(self, value: float, *, prior: int = 0) -> None:
        self.count += 1
        self.value += max(1 / (self.count + prior), _MIN_GAIN) * (value - self.value)


class RunTimes:
    """Estimates run times from declared times, by kind and by runner.

    A run time is modelled as declared time x correction of the kind x slowness of the runner.
    Slowness is a geometric mean, because run times of one kind vary widely. The correction is an
    arithmetic mean, because the expected wait of a queue is a sum of run times. At most
    ``MAX_KINDS`` kinds and ``MAX_RUNNERS`` runners are kept; the least recently used are evicted.
    """

    def __init__(self) -> None:
        self._corrections: OrderedDict[str, _Average] = OrderedDict()
        self._log_ratios: OrderedDict[str, _Average] = OrderedDict()
        self._log_slowness: OrderedDict[str, _Average] = OrderedDict()

    def observe(self, kind: str, runner: str, declared_s: float, run_s: float, now: float) -> None:
        """Update the estimates with a request that ran successfully.

        Args:
            kind: Request kind.
            runner: Runner name.
            declared_s: Declared run time of the request in seconds.
            run_s: Run time in seconds.
            now: Monotonic seconds.
        """
        ratio = max(run_s, 1e-4) / max(declared_s, 1e-4)
        mean_log_ratio = _get_or_create(self._log_ratios, kind, math.log(ratio), MAX_KINDS)
        mean_log_slowness = _get_or_create(self._log_slowness, runner, 0.0, MAX_RUNNERS)
        slowness = self.slowness(runner, now)
        observed = math.log(ratio) - mean_log_ratio.value
        mean_log_ratio.add(_clip(math.log(ratio) - math.log(slowness), mean_log_ratio.value))
        mean_log_slowness.value = math.log(slowness)
        mean_log_slowness.add(_clip(observed, mean_log_slowness.value), prior=_PRIOR_COUNT)
        mean_log_slowness.updated_at = now
        correction = _get_or_create(self._corrections, kind, ratio / slowness, MAX_KINDS)
        correction.add(min(ratio / slowness, 20 * correction.value))

    def is_learned(self, kind: str) -> bool:
        """Whether enough requests of a kind ran to rely on the estimate."""
        correction = self._corrections.get(kind)
        return correction is not None and correction.count >= 8

    def slowness(self, runner: str, now: float) -> float:
        """Return the ratio of a runner's run time to that of an average runner."""
        mean_log_slowness = self._log_slowness.get(runner)
        if mean_log_slowness is None:
            return 1.0
        return math.exp(
            mean_log_slowness.value
            * 0.5 ** (max(0.0, now - mean_log_slowness.updated_at) / _DRIFT_HALF_LIFE_S)
        )

    def expected_s(self, kind: str, declared_s: float) -> float:
        """Return the expected run time on an average runner, in seconds."""
        correction = self._corrections.get(kind)
        return declared_s if correction is None else declared_s * correction.value

    def snapshot(self, now: float) -> dict[str, object]:
        """Return the estimates for the state dump."""
        return {
            "corrections": {kind: round(item.value, 3) for kind, item in self._corrections.items()},
            "slowness": {
                runner: round(self.slowness(runner, now), 3) for runner in self._log_slowness
            },
        }


def _get_or_create(
    table: OrderedDict[str, _Average], key: str, start: float, limit: int
) -> _Average:
    item = table.get(key)
    if item is None:
        item = table[key] = _Average(start)
        if len(table) > limit:
            table.popitem(last=False)
    table.move_to_end(key)
    return item


def _clip(value: float, centre: float) -> float:
    return min(max(value, centre - _MAX_LOG_STEP), centre + _MAX_LOG_STEP)
