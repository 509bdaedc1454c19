"""Cases of the scheduling experiments: runners, faults and arrivals, all generated from seeds."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.bench.baselines import KnownRunner
from kumquatlift.configuration.document import Kind, Service, Urgency

ZONES = ("a", "b", "c")
RUNNERS = 24
SLOTS = 8
CONNECTIONS = 64
ARRIVALS_S = 16.0
WARM_UP_S = 4.0
"""Time in which the policies learn their estimates, in seconds.

Jobs that arrive in this time are run but not counted.
"""
FAULT_FROM_S, STALL_S = 6.0, 10.0
BURST_FROM_S, BURST_S, BURST_LOAD = 6.0, 2.0, 3.0
CANCEL_AT_S = 10.0
DEADLINE_S = 30.0
# Run time of a task that fails.
FAIL_AFTER_S = 0.001
# ``RETRY_AFTER_S`` is the time to wait before a retry, which a refusal carries.
REFUSING_S, RETRY_AFTER_S = 8.0, 1.0
OUTAGE_S = 1.0
POISON_SHARE = 0.1
FLAKY_SHARE = 0.2
# Means of the distributions in ``_size_s`` and ``Case.arrivals``.
MEAN_TASK_S = (1.0 - 0.05) / math.log(20) * 0.99 + 4.0 * 0.01
MEAN_JOB_TASKS = 63 / math.log(64)


class CaseRunner(NamedTuple):
    """Behaviour of a simulated runner.

    Args:
        name: Runner name.
        zone: Availability zone.
        speed: Work done per second; a task of size 1 s takes 1 / speed seconds.
        fails_from: Time in seconds from which every task fails immediately.
        fails_until: Time in seconds at which tasks stop failing.
        fail_share: Share of tasks that fail immediately.
        refuses_from: Time in seconds from which every task is refused, for ``REFUSING_S``.
        stalls_at: Time in seconds at which the runner makes no progress for ``STALL_S``.
    """

    name: str
    zone: str
    speed: float
    fails_from: float = math.inf
    fails_until: float = math.inf
    fail_share: float = 0.0
    refuses_from: float = math.inf
    stalls_at: float = math.inf

    def completion_time(self, starts_at: float, size_s: float) -> float:
        """Return when a task that starts at ``starts_at`` ends, in seconds, including a stall."""
        run_s = size_s / self.speed
        resumes_at = self.stalls_at + STALL_S
        if self.stalls_at <= starts_at < resumes_at:
            return resumes_at + run_s
        if starts_at < self.stalls_at < starts_at + run_s:
            return starts_at + run_s + STALL_S
        return starts_at + run_s

    def fails(self, at: float) -> bool:
        """Return whether a task that starts at a time fails immediately."""
        return self.fails_from <= at < self.fails_until

    def refuses(self, at: float) -> bool:
        """Return whether a task that arrives at a time is refused."""
        return self.refuses_from <= at < self.refuses_from + REFUSING_S

    @property
    def known(self) -> KnownRunner:
        """This runner, including its future faults, for the omniscient scheduler."""
        return KnownRunner(self.name, SLOTS, self._known_completion_time)

    def _known_completion_time(self, starts_at: float, size_s: float) -> float:
        if self.refuses(starts_at):
            return math.inf
        if self.fails(starts_at):
            return (
                math.inf
                if self.fails_until == math.inf
                else self.completion_time(self.fails_until, size_s)
            )
        return self.completion_time(starts_at, size_s)


class Arrival(NamedTuple):
    """A generated job.

    Args:
        at: Time of arrival in seconds.
        zone: Zone in which it arrives.
        kind: Request kind.
        sizes_s: Size of each task in seconds.
        is_cancelled: Whether the job is cancelled at ``CANCEL_AT_S`` if it is in progress then.
    """

    at: float
    zone: str
    kind: str
    sizes_s: tuple[float, ...]
    is_cancelled: bool


class Case(NamedTuple):
    """One experiment.

    Args:
        name: Name of the case.
        load: Offered load as a share of capacity.
        delay_s: One-way message delay between zones, in seconds.
        declared_ms: Declared run times of the kinds "read" and "write", in milliseconds.
        is_uniform: Whether all runners have the same speed; otherwise speeds range over a factor
            of ten.
        has_burst: Whether the offered load rises to ``BURST_LOAD`` for ``BURST_S``.
        has_cancels: Whether half of the jobs in progress are cancelled at ``CANCEL_AT_S``.
        failing: Whether one runner in eight fails every task from ``FAULT_FROM_S`` on.
        flaky: Whether one runner in eight fails ``FLAKY_SHARE`` of its tasks.
        stalled: Whether one runner in eight makes no progress for ``STALL_S``.
        refusing: Whether one runner in eight refuses every task for ``REFUSING_S``.
        outage: Whether every runner fails every task for ``OUTAGE_S``.
        has_poison: Whether ``POISON_SHARE`` of the jobs are of a kind whose tasks always fail;
            these jobs are not counted.
        message_weight: Setting ``message_weight`` of the service.
    """

    name: str
    load: float = 0.5
    delay_s: float = 0.0005
    declared_ms: tuple[int, int] = (360, 360)
    is_uniform: bool = True
    has_burst: bool = False
    has_cancels: bool = False
    failing: bool = False
    flaky: bool = False
    stalled: bool = False
    refusing: bool = False
    outage: bool = False
    has_poison: bool = False
    message_weight: float = 0.3

    @property
    def service(self) -> Service:
        """Configuration of the service."""
        read, write = self.declared_ms
        return Service(
            kinds={
                "read": Kind(repeatable=True, expected_ms=read, urgency=Urgency.NORMAL),
                "write": Kind(expected_ms=write, urgency=Urgency.NORMAL),
                "poison": Kind(expected_ms=read, urgency=Urgency.NORMAL),
            },
            slots=SLOTS,
            connections=CONNECTIONS,
            message_weight=self.message_weight,
        )

    def runners(self, seed: int) -> list[CaseRunner]:
        """Return the runners; one in each zone has the fault of the case, or all in an outage."""
        speeds = [1.0] * RUNNERS
        if not self.is_uniform:
            speeds = [10 ** (i / (RUNNERS - 1) - 0.5) for i in range(RUNNERS)]
            random.Random(f"speeds {seed}").shuffle(speeds)
        runners = []
        for i, speed in enumerate(speeds):
            at = FAULT_FROM_S if i < len(ZONES) else math.inf
            runner = CaseRunner(f"r{i}", ZONES[i % len(ZONES)], speed)
            if self.failing:
                runner = runner._replace(fails_from=at)
            if self.flaky and i < len(ZONES):
                runner = runner._replace(fail_share=FLAKY_SHARE)
            if self.stalled:
                runner = runner._replace(stalls_at=at)
            if self.refusing:
                runner = runner._replace(refuses_from=at)
            if self.outage:
                until = FAULT_FROM_S + OUTAGE_S
                runner = runner._replace(fails_from=FAULT_FROM_S, fails_until=until)
            runners.append(runner)
        return runners

    def arrivals(self, seed: int) -> list[Arrival]:
        """Return the jobs in order of arrival."""
        rng = random.Random(f"arrivals {seed} {self.load}")
        speed = sum(runner.speed for runner in self.runners(seed)) * SLOTS
        jobs_per_s = speed / (MEAN_TASK_S * MEAN_JOB_TASKS)
        arrivals: list[Arrival] = []
        at = 0.0
        while True:
            in_burst = self.has_burst and BURST_FROM_S <= at < BURST_FROM_S + BURST_S
            at += rng.expovariate(jobs_per_s * (BURST_LOAD if in_burst else self.load))
            if at >= ARRIVALS_S:
                return arrivals
            count = round(math.exp(rng.uniform(0, math.log(64))))
            kind = "read" if rng.random() < 0.8 else "write"
            if self.has_poison and rng.random() < POISON_SHARE:
                kind = "poison"
            arrivals.append(
                Arrival(
                    at,
                    rng.choice(ZONES),
                    kind,
                    tuple(_size_s(rng) for _ in range(count)),
                    self.has_cancels and rng.random() < 0.5,
                )
            )


def _size_s(rng: random.Random) -> float:
    """Return a random task size in seconds: log-uniform from 0.05 to 1, and 2 to 6 for 1 %."""
    if rng.random() < 0.01:
        return rng.uniform(2.0, 6.0)
    return math.exp(rng.uniform(math.log(0.05), 0.0))


CASES: dict[str, Callable[[float], Case]] = {
    "uniform": lambda load: Case("uniform", load),
    "tenfold": lambda load: Case("tenfold", load, is_uniform=False),
    "tenfold 1 ms": lambda load: Case("tenfold 1 ms", load, 0.001, is_uniform=False),
    "burst": lambda load: Case("burst", load, has_burst=True),
    "wrong sizes": lambda load: Case("wrong sizes", load, declared_ms=(3600, 36), is_uniform=False),
    "failing": lambda load: Case("failing", load, failing=True),
    "flaky": lambda load: Case("flaky", load, flaky=True),
    "stalled": lambda load: Case("stalled", load, stalled=True),
    "refusing": lambda load: Case("refusing", load, refusing=True),
    "outage": lambda load: Case("outage", load, outage=True),
    "poison": lambda load: Case("poison", load, has_poison=True),
    "cancel": lambda load: Case("cancel", load, is_uniform=False, has_cancels=True),
}
LOADS = (0.3, 0.5, 0.7)
EXTRA_CASES = frozenset({"flaky", "refusing", "outage", "poison"})
"""Cases that a full run measures at ``EXTRA_LOAD`` only, so that it takes under two minutes."""
EXTRA_LOAD = 0.5
