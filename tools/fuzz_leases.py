"""Fuzzes the leader's leases with random schedules of faults, on model upstreams.

Each world runs the real leader on a manual clock with a few model upstreams, which follow the
protocol, have drifting clocks of their own and list as few as one end in an answer. Upstreams
become unreachable, lose their answers, crash and restart, hang, and fail tasks; orders get no
answer and are carried out seconds later; leaders change; callers leave, submit again and cancel. At
every step, no task may run twice at a time and no capacity may be exceeded; no task of a logged job
may start after an end that was acknowledged. Each submission must be told how its job ended. In the
end, every logged job must have ended, every submission whose caller waits must be answered, and
jobs for which nobody waits must not run.

    python -m tools.fuzz_leases --steps 200000 --seed 1
"""

import random
from collections import Counter
from concurrent.futures import Future
from functools import partial
from typing import NamedTuple

from kumquatlift.authority import (
    RESULT_STATES,
    JobSpec,
    Operation,
    Queue,
    Reply,
    Request,
    Step,
    TaskKey,
)
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
# Longest time after which a caller that has left submits its job again; jobs that nobody waits for
# run on for 1.8 s.
MAX_RETURN_S = 4.0
# Longest time until a frontend notices that its caller has left.
MAX_NOTICE_S = 0.5
# Longest delay of a submission that its withdrawal has overtaken.
MAX_OVERTAKEN_S = 0.5
# Jobs that all callers leave run longer than ``SETTLE_S``, so that one that goes on is seen.
ABANDONED_WORK_MS = 60_000.0
MAX_STAY_S = 3.0
# Share of their submissions that arrive after their withdrawal.
OVERTAKEN_SHARE = 0.2
# Time after the last fault for the latest delayed order, a lease, and the remaining jobs.
SETTLE_S = 25.0
# Most ends that the upstreams of a world list in one answer.
LISTED_ENDS = (1, 2, 5, 500)
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
    "caller leaves": 6,
    "caller leaves and returns": 6,
    "withdrawal comes first": 2,
    "job is abandoned": 1,
    "orders unanswered": 2,
}


class Submission(NamedTuple):
    """A submission of a job.

    Args:
        job: Identity of the job.
        attempt: Identity of the submission.
    """

    job: str
    attempt: str


class Schedule:
    """One world and its random faults.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self.world = FleetModel(seed=seed)
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(f"schedule {seed}")
        self._listed_ends = random.Random(f"lists {seed}").choice(LISTED_ENDS)
        self._specs: dict[str, tuple[JobSpec, float]] = {}
        # Jobs that were cancelled or refused; the final check leaves them out.
        self._exempt_jobs: set[str] = set()
        self._cancelled_jobs: set[str] = set()
        # Jobs that all their callers leave.
        self._abandoned_jobs: set[str] = set()
        # Submissions whose callers wait for the answer.
        self._open: dict[Submission, None] = {}
        self._submissions = 0
        self._wrong_replies: list[str] = []
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
        upstream = self.world.add_upstream(
            name, speed=speed, cpu_milli=cpu_milli, clock_rate=clock_rate
        )
        upstream.max_listed_ends = self._listed_ends

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
                if self._announces(upstream):
                    self.world.announce(upstream.state)
        self._check()

    def _announces(self, upstream: ModelUpstream) -> bool:
        """Return whether an upstream sends heartbeats that arrive."""
        return upstream.is_reachable

    def _check(self) -> None:
        broken = [text for text in self.world.violations if self._is_relevant(text)]
        broken += self._wrong_replies
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
        self._submit(self._add_job(spec, work_ms))

    def _add_job(self, spec: JobSpec, work_ms: float) -> str:
        job = f"{len(self._specs):016x}"
        self._specs[job] = (spec, work_ms)
        self.counts["jobs"] += 1
        return job

    def _submit(self, job: str) -> Submission:
        submission = self._new_submission(job)
        self._send(submission)
        return submission

    def _new_submission(self, job: str) -> Submission:
        self._submissions += 1
        submission = Submission(job, f"attempt {self._submissions}")
        self._open[submission] = None
        return submission

    def _send(self, submission: Submission) -> None:
        if submission in self._open:
            self._transmit(submission)

    def _transmit(self, submission: Submission) -> None:
        """Send a submission, also if its caller has left since."""
        spec, work_ms = self._specs[submission.job]
        fut = self.world.submit(submission.job, spec, work_ms=work_ms, attempt=submission.attempt)
        fut.add_done_callback(partial(self._on_reply, submission))

    def _on_reply(self, submission: Submission, fut: "Future[Reply]") -> None:
        reply, job = fut.result(), submission.job
        if reply.code in (ResultCode.CLAIM_UNKNOWN, ResultCode.NOT_LEADER):
            self.world.later(RESEND_S, self._send, submission)
            return
        if reply.code is ResultCode.ACCEPTED and self._specs[job][0].answers_at_end:
            self._check_result(job, reply.fields.get("state"))
        elif reply.code is ResultCode.OVERLOADED:
            # The caller of a refused job would submit a new one.
            self._exempt_jobs.add(job)
        elif reply.code is not ResultCode.ACCEPTED and submission in self._open:
            self._wrong_replies.append(f"a submission of {job} is told {reply.code.label}")
        self._open.pop(submission, None)

    def _check_result(self, job: str, state: object) -> None:
        """Check the state that a submission is told against the runs of its job."""
        self.counts[f"told {state}"] += 1
        tasks = [
            TaskKey(job, 0, number, index)
            for number, step in enumerate(self._specs[job][0].steps)
            for index in range(step.tasks)
        ]
        has_failed = any(self.world.failures[task] >= QUEUE.max_attempts for task in tasks)
        if state not in RESULT_STATES:
            text = "which is no result"
        elif state == "completed" and not all(self.world.is_done(task) for task in tasks):
            text = "and not all of its tasks are done"
        elif state == "failed" and not has_failed and job not in self._cancelled_jobs:
            text = "and no task has failed too often"
        else:
            return
        self._wrong_replies.append(f"a submission of {job} is told {state!r}, {text}")

    def _withdraw(self, submission: Submission) -> None:
        """Let the caller of a submission leave."""
        self._open.pop(submission, None)
        fields = {"job": submission.job, "attempt": submission.attempt}
        self.world.send_request(Request(Operation.WITHDRAW, fields))

    def _withdraw_first(self, job: str) -> None:
        """Withdraw a submission that arrives later, unless its leader has been lost by then."""
        if not self.world.log.is_serving:
            return
        submission = self._new_submission(job)
        self._withdraw(submission)
        delay_s = self._rng.uniform(0.0, MAX_OVERTAKEN_S)
        self.world.later(delay_s, self._transmit_in_term, submission, self.world.log.term)

    def _transmit_in_term(self, submission: Submission, term: int) -> None:
        if self.world.log.term == term:
            self._transmit(submission)

    def _submit_to_leave(self) -> None:
        """Submit a job up to three times, and let all of its callers leave."""
        step = Step(self._rng.randrange(1, 3), 6800, 64, 0, int(ABANDONED_WORK_MS))
        job = self._add_job(JobSpec("x", (step,), answers_at_end=True), ABANDONED_WORK_MS)
        self._abandoned_jobs.add(job)
        for _ in range(self._rng.randrange(1, 4)):
            self.world.later(self._rng.uniform(0.0, MAX_STAY_S), self._submit_and_leave, job)

    def _submit_and_leave(self, job: str) -> None:
        if self._rng.random() < OVERTAKEN_SHARE:
            self._withdraw_first(job)
            return
        self.world.later(self._rng.uniform(0.0, MAX_STAY_S), self._withdraw, self._submit(job))

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
                job = self._random_job()
                self._exempt_jobs.add(job)
                self._cancelled_jobs.add(job)
                self.world.send_request(Request(Operation.CANCEL, {"job": job}))
            case "submit again" if self._specs:
                job = self._random_job()
                if job not in self._abandoned_jobs:
                    self._submit(job)
            case "caller leaves" | "caller leaves and returns":
                self._leave(returns=action == "caller leaves and returns")
            case "withdrawal comes first" if self._unlogged_jobs():
                self._withdraw_first(self._rng.choice(self._unlogged_jobs()))
            case "job is abandoned":
                self._submit_to_leave()
            case "orders unanswered":
                self.world.unanswered_share = self._rng.choice(UNANSWERED_SHARES)

    def _random_job(self) -> str:
        """Return one of all jobs or, as often, one of those whose callers wait for an answer."""
        open_jobs = [submission.job for submission in self._open]
        choices = [list(self._specs), open_jobs or list(self._specs)]
        return self._rng.choice(self._rng.choice(choices))

    def _unlogged_jobs(self) -> list[str]:
        return [job for job, (spec, _) in self._specs.items() if spec.answers_at_end]

    def _leave(self, *, returns: bool) -> None:
        """Let a caller leave; it may submit its job again, also before its departure is noticed."""
        unlogged = set(self._unlogged_jobs()) - self._abandoned_jobs
        waiting = [submission for submission in self._open if submission.job in unlogged]
        if not waiting:
            return
        submission = self._rng.choice(waiting)
        noticed_after_s = self._rng.choice([0.0, self._rng.uniform(0.0, MAX_NOTICE_S)])
        self.world.later(noticed_after_s, self._withdraw, submission)
        if returns:
            delay_s = self._rng.choice([0.0, self._rng.uniform(0.0, MAX_RETURN_S)])
            self.world.later(delay_s, self._submit, submission.job)

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
        unanswered = next(iter(self._open), None)
        assert unanswered is None, f"a submission of {unanswered and unanswered.job} has no answer"
        running = next((task for each in world.upstreams.values() for task in each.runs), None)
        assert running is None, f"{running} runs, and nobody waits for its job"


def _heal(upstream: ModelUpstream) -> None:
    upstream.is_reachable = upstream.can_reply = True
    upstream.is_hanging = False
    upstream.fail_share = 0.0


def run(*, seed: int, steps: int, schedule: type[Schedule] = Schedule) -> Counter[str]:
    """Run worlds until the number of steps is reached.

    Args:
        seed: Seed of the first world; each further one has the next number.
        steps: Total number of steps of 10 ms, without those after the last fault of each world.
        schedule: Kind of the schedules.

    Returns:
        Number of events of each kind.

    Raises:
        AssertionError: An invariant was violated; the message names the seed of the world.
    """
    counts: Counter[str] = Counter()
    while counts["steps"] < steps:
        world = schedule(seed=seed + counts["worlds"])
        try:
            world.run()
        except AssertionError as exc:
            raise AssertionError(f"seed {seed + counts['worlds']}: {exc}") from exc
        counts += world.counts
        counts["worlds"] += 1
    return counts


if __name__ == "__main__":
    main(run, description=__doc__, steps=200_000)
