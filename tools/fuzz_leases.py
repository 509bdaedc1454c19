"""Fuzzes the leader's leases with random schedules of faults, on model upstreams.

Each world runs the real leader on a manual clock with a few model upstreams, which follow the
protocol and have drifting clocks of their own. Upstreams become unreachable, lose their answers,
crash and restart, hang, and fail tasks; orders get no answer and are carried out seconds later;
leaders change; callers submit again and cancel. At every step, no task may run twice at a time and
no capacity may be exceeded; no task of a logged job may start after an end that was acknowledged.
In the end, every logged job must have ended.

    python -m tools.fuzz_leases --steps 200000 --seed 1
"""

import random
from collections import Counter
from concurrent.futures import Future
from functools import partial

from kumquatlift.authority import JobSpec, Operation, Queue, Reply, Request, Step
from kumquatlift.codes import ResultCode
from tools.fleet_model import FleetModel
from tools.fuzz import main
from tools.model_upstream import ModelUpstream

ACTIONS_PER_WORLD = 40
MAX_STEPS_BETWEEN = 30
STEP_S = 0.01
SUBMIT_CHANCE = 0.1
HEARTBEAT_S = 0.5
# Delay after which a frontend resends a request to the next leader.
RESEND_S = 0.3
MAX_FAULT_S = 2.5
# Time after the last fault for the latest delayed order, a lease, and the remaining jobs.
SETTLE_S = 25.0
QUEUE = Queue("q", "h", "/q/", "s", 0, 3, 1.6, 60)
UNANSWERED_SHARES = (0.0, 0.02, 0.1, 0.3)
# Relative frequencies of the actions.
WEIGHTS = {
    "unreachable": 3,
    "answers lost": 3,
    "hanging": 1,
    "failing": 1,
    "crash": 2,
    "change of leader": 2,
    "cancel": 2,
    "submit again": 2,
    "orders unanswered": 2,
}


class Schedule:
    """One world and its random faults.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self.world = FleetModel(seed=seed)
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(f"schedule {seed}")
        self._specs: dict[str, tuple[JobSpec, float]] = {}
        # Jobs that were cancelled or refused; the final check leaves them out.
        self._exempt_jobs: set[str] = set()
        # Speed, processor capacity and clock rate of each upstream, which its incarnations share.
        self._machines: dict[str, tuple[float, int, float]] = {}
        self._announced_at = 0.0

    def run(self) -> None:
        """Run the schedule, end all faults, and check that all logged jobs end.

        Raises:
            AssertionError: An invariant was violated.
        """
        world = self.world
        for number in range(self._rng.randrange(2, 6)):
            self._add_upstream(f"u{number}")
        world.run(0.3)
        world.configure(QUEUE)
        for _ in range(ACTIONS_PER_WORLD):
            self._act()
            for _ in range(self._rng.randrange(1, MAX_STEPS_BETWEEN)):
                self._step()
        self._settle()

    def _add_upstream(self, name: str) -> None:
        """Start an incarnation of an upstream; its speed, size and clock rate stay the same."""
        speed, cpu_milli, clock_rate = self._machines.setdefault(
            name,
            (
                self._rng.choice([0.6, 1.0, 1.6]),
                self._rng.choice([8_000, 16_000, 24_000]),
                self._rng.uniform(0.98, 1.02),
            ),
        )
        self.world.add_upstream(name, speed=speed, cpu_milli=cpu_milli, clock_rate=clock_rate)

    def _step(self) -> None:
        self._run()
        self.counts["steps"] += 1
        if self._rng.random() < SUBMIT_CHANCE:
            self._submit_new()

    def _run(self) -> None:
        self.world.run(STEP_S)
        now = self.world.clock.now()
        if now - self._announced_at > HEARTBEAT_S:
            self._announced_at = now
            for upstream in self.world.upstreams.values():
                if upstream.is_reachable:
                    self.world.announce(upstream.state)
        self._check()

    def _check(self) -> None:
        broken = [text for text in self.world.violations if self._is_relevant(text)]
        assert not broken, broken[0]

    def _is_relevant(self, violation: str) -> bool:
        """Return whether a violation applies; a job that isn't in the log may run again."""
        job = violation.partition(": ")[2].partition(".")[0]
        is_logged = job not in self._specs or not self._specs[job][0].answers_at_end
        return is_logged or "after it was done" not in violation

    # Callers

    def _submit_new(self) -> None:
        work_ms = self._rng.choice([20.0, 60.0, 200.0, 900.0])
        declared_ms = max(1, int(work_ms * self._rng.lognormvariate(0, 0.4)))
        step = Step(self._rng.randrange(1, 6), 6800, 64, 0, declared_ms)
        steps = (step, step._replace(after=(0,))) if self._rng.random() < 0.2 else (step,)
        spec = JobSpec("x", steps, answers_at_end=self._rng.random() < 0.5)
        job = f"{len(self._specs):016x}"
        self._specs[job] = (spec, work_ms)
        self.counts["jobs"] += 1
        self._submit(job)

    def _submit(self, job: str) -> None:
        spec, work_ms = self._specs[job]
        fut = self.world.submit(job, spec, work_ms=work_ms)
        fut.add_done_callback(partial(self._on_reply, job))

    def _on_reply(self, job: str, fut: "Future[Reply]") -> None:
        if fut.result().code in (ResultCode.CLAIM_UNKNOWN, ResultCode.NOT_LEADER):
            self.world.later(RESEND_S, self._submit, job)
        elif fut.result().code is ResultCode.OVERLOADED:
            # The caller of a refused job would submit a new one.
            self._exempt_jobs.add(job)

    # Faults

    def _act(self) -> None:
        (action,) = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        self.counts[action] += 1
        upstream = self._rng.choice(list(self.world.upstreams.values()))
        match action:
            case "unreachable":
                upstream.is_reachable = False
                self._heal_later(upstream)
            case "answers lost":
                upstream.can_reply = False
                self._heal_later(upstream)
            case "hanging":
                upstream.is_hanging = True
                self._heal_later(upstream)
            case "failing":
                upstream.fail_share = 0.5
                self._heal_later(upstream)
            case "crash":
                self._crash(upstream)
            case "change of leader":
                if self.world.log.is_serving:
                    self.world.change_leader(gap_s=self._rng.uniform(0.2, 1.5))
            case "cancel" if self._specs:
                job = self._rng.choice(list(self._specs))
                self._exempt_jobs.add(job)
                self.world.send_request(Request(Operation.CANCEL, {"job": job}))
            case "submit again" if self._specs:
                self._submit(self._rng.choice(list(self._specs)))
            case "orders unanswered":
                self.world.unanswered_share = self._rng.choice(UNANSWERED_SHARES)

    def _heal_later(self, upstream: ModelUpstream) -> None:
        self.world.later(self._rng.uniform(0.05, MAX_FAULT_S), _heal, upstream)

    def _crash(self, upstream: ModelUpstream) -> None:
        """Crash an upstream; its next incarnation starts at the same address at once."""
        name = upstream.state.upstream_id
        self.world.kill_upstream(name)
        self._add_upstream(name)

    # Final check

    def _settle(self) -> None:
        world = self.world
        world.unanswered_share = 0.0
        for upstream in world.upstreams.values():
            _heal(upstream)
        for _ in range(int(SETTLE_S / STEP_S)):
            self._run()
        for job, (spec, _) in self._specs.items():
            if spec.answers_at_end or job in self._exempt_jobs:
                continue
            state = world.state_of(job)
            assert state in ("completed", "failed"), f"job {job} is {state or 'unknown'}"
            self.counts["ended"] += 1


def _heal(upstream: ModelUpstream) -> None:
    upstream.is_reachable = upstream.can_reply = True
    upstream.is_hanging = False
    upstream.fail_share = 0.0


def run(*, seed: int, steps: int) -> Counter[str]:
    """Run worlds until the number of steps is reached.

    Args:
        seed: Seed of the first world; each further one has the next number.
        steps: Total number of steps of 10 ms, without those after the last fault of each world.

    Returns:
        Number of events of each kind.

    Raises:
        AssertionError: An invariant was violated; the message names the seed of the world.
    """
    counts: Counter[str] = Counter()
    while counts["steps"] < steps:
        schedule = Schedule(seed=seed + counts["worlds"])
        try:
            schedule.run()
        except AssertionError as exc:
            raise AssertionError(f"seed {seed + counts['worlds']}: {exc}") from exc
        counts += schedule.counts
        counts["worlds"] += 1
    return counts


if __name__ == "__main__":
    main(run, description=__doc__, steps=200_000)
