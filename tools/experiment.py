"""Replays load patterns against the real scheduling decisions on a simulated fleet.

Run ``python -m tools.experiment [SEEDS]`` to print the outcome of each pattern as the mean over the
seeds.
"""

import logging
import math
import random
import statistics
import sys
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from typing import NamedTuple

import structlog

from kumquatlift.authority import JobSpec, Operation, Queue, Reply, Request, Step
from kumquatlift.codes import ResultCode
from tools.fleet_model import FleetModel

# A job that completes late, but within this many times its objective, earns a share of its value.
EXPIRY_FACTOR = 3.0
LATE_WORTH = 0.2
# Length of the time windows of submission by which outcomes are compared.
WINDOW_S = 2.0
# Interval at which arrivals, faults and the states of open jobs are processed.
CHECK_INTERVAL_S = 0.01
# A frontend that knows no leader waits for one for up to this share of the job's declared run time,
# as in kumquatlift/platform/_frontend.py.
LEADER_WAIT_SHARE = 0.4
# A frontend whose submission fails on a change of leader submits the job again after this time,
# which is about the duration of an election.
RESEND_S = 0.5


class Kind(NamedTuple):
    """A kind of job.

    Args:
        name: Name of its queue.
        rate: Mean number of jobs per second.
        tasks: Mean number of tasks.
        work_ms: Mean run time of a task at speed 1, in milliseconds.
        worth: Value of an average job that completes in time.
        priority: Priority of the queue.
        attempts: Maximum number of attempts of a task.
    """

    name: str
    rate: float
    tasks: float
    work_ms: float
    worth: float
    priority: int
    attempts: int


KINDS = (
    Kind("count", 17.2, 8, 60, 0.0291, 0, 3),
    Kind("reorder", 3.12, 4, 900, 0.16, 2, 2),
    Kind("swap", 49.9, 2, 200, 0.01, 1, 2),
)
SPEEDS = (0.6, 1.0, 1.6)
SIZES = (16_000, 16_000, 24_000)
SLACK = 1.6
TARGET_MS = 60


class Pattern(NamedTuple):
    """A load pattern.

    Args:
        name: Name in the report.
        factor: Load during the burst, as a multiple of the usual load.
        burst_s: Start and end of the burst, in seconds.
        unreachable: Number of upstreams that are unreachable during the burst.
        leaderless_s: Time without a leader at the start of the burst, in seconds. If it is not 0,
            no job is in the log, like the jobs of frontends that wait for their end.
        unanswered: Share of the orders that are not answered in time and are carried out seconds
            later.
        unanswered_s: Start and end of the time in which orders are unanswered, in seconds.
        unhealthy: Number of upstreams that refuse a share of start orders and polls, or break off a
            share of the connections, during the burst.
        refused: Share that is refused.
        broken: Share that is broken off.
    """

    name: str
    factor: float
    burst_s: tuple[float, float]
    unreachable: int = 0
    leaderless_s: float = 0.0
    unanswered: float = 0.0
    unanswered_s: tuple[float, float] = (0.0, math.inf)
    unhealthy: int = 0
    refused: float = 0.0
    broken: float = 0.0


PATTERNS = (
    Pattern("usual load", 1.0, (0, 0)),
    Pattern("burst of 1.3", 1.3, (4, 8)),
    Pattern("burst of 1.8", 1.8, (4, 8)),
    Pattern("a quarter of the upstreams unreachable", 1.0, (4, 10), 6),
    Pattern("burst of 1.5 with a fifth unreachable", 1.5, (4, 10), 5),
    Pattern("change of leader", 1.0, (4, 4.5), 0, 0.5),
    Pattern("change of leader in a burst of 1.3", 1.3, (4, 8), 0, 0.5),
    Pattern("change of leader, a quarter unreachable", 1.0, (4, 10), 6, 0.5),
    Pattern("a twentieth of the orders unanswered", 1.0, (0, 0), unanswered=0.05),
    Pattern("burst of 1.5, a tenth of the orders unanswered", 1.5, (4, 10), unanswered=0.1),
    Pattern(
        "half of the orders unanswered for 3 s", 1.0, (0, 0), unanswered=0.5, unanswered_s=(4, 7)
    ),
    Pattern(
        "burst of 1.3, ten upstreams refuse two fifths", 1.3, (4, 8), unhealthy=10, refused=0.4
    ),
    Pattern("burst of 1.3, ten break off two fifths", 1.3, (4, 8), unhealthy=10, broken=0.4),
)


class SubmittedJob(NamedTuple):
    """A submitted job.

    Args:
        job: Identity.
        kind: Kind of the job.
        at: Time of submission since the start of the replay, in seconds.
        objective_s: Objective, in seconds.
        worth: Value of the job if it completes in time.
    """

    job: str
    kind: Kind
    at: float
    objective_s: float
    worth: float


class Outcome(NamedTuple):
    """Outcome of a replay.

    Args:
        worth: Value of the completed jobs as a share of the value of all submitted jobs.
        worst_kind: The same for the kind of job with the lowest share.
        worst_window: The mean of the same over the two worst time windows.
        refused: Share of the jobs that were refused.
        late: Share of the jobs that were accepted and did not complete in time.
    """

    worth: float
    worst_kind: float
    worst_window: float
    refused: float
    late: float


def replay(
    pattern: Pattern,
    seed: int,
    length_s: float = 14.0,
    world: FleetModel | None = None,
    on_completed: Callable[[SubmittedJob, float], None] = lambda row, elapsed_s: None,
) -> Outcome:
    """Replay a load pattern and return its outcome.

    Args:
        pattern: The pattern.
        seed: Seed of the load.
        length_s: Time for which jobs arrive, in seconds.
        world: A simulation without upstreams; a new one if it is None.
        on_completed: Is called with each completed job and its response time, in seconds.
    """
    rng = random.Random(seed)
    if world is None:
        world = FleetModel(seed=seed, unanswered_share=pattern.unanswered)
    for number in range(24):
        world.add_upstream(
            f"u{number}", speed=SPEEDS[number % 3], cpu_milli=SIZES[(number // 3) % 3]
        )
    world.run(0.2)
    world.configure(
        *(
            Queue(
                kind.name,
                "h",
                f"/{kind.name}/",
                "s",
                kind.priority,
                kind.attempts,
                SLACK,
                TARGET_MS,
            )
            for kind in KINDS
        )
    )
    start = world.clock.now()
    open_jobs: list[SubmittedJob] = []
    earned: dict[str, float] = {}
    submitted: list[SubmittedJob] = []
    refused: set[str] = set()
    unreachable = list(world.upstreams.values())[: pattern.unreachable]
    unhealthy = list(world.upstreams.values())[: pattern.unhealthy]
    arrivals = sorted(_arrivals(rng, pattern, length_s), key=lambda row: row[0])
    while arrivals or open_jobs:
        now = world.clock.now() - start
        is_unanswered = pattern.unanswered_s[0] <= now < pattern.unanswered_s[1]
        world.unanswered_share = pattern.unanswered if is_unanswered else 0.0
        in_burst = pattern.burst_s[0] <= now < pattern.burst_s[1]
        for upstream in unreachable:
            upstream.is_reachable = not in_burst
        for upstream in unhealthy:
            upstream.refused_starts = upstream.refused_polls = pattern.refused if in_burst else 0.0
            upstream.broken_share = pattern.broken if in_burst else 0.0
        leader_at = pattern.burst_s[0] + pattern.leaderless_s
        if pattern.leaderless_s and now >= pattern.burst_s[0] and world.log.term == 1:
            world.change_leader(gap_s=pattern.leaderless_s)
        while arrivals and arrivals[0][0] <= now:
            _, kind, tasks, work_ms = arrivals.pop(0)
            job = f"{len(submitted):016x}"
            worth = kind.worth * min(4, 0.3 + 0.7 * tasks * work_ms / (kind.tasks * kind.work_ms))
            row = SubmittedJob(job, kind, now, (SLACK * work_ms + TARGET_MS) / 1000, worth)
            declared_ms = max(1, int(work_ms * rng.lognormvariate(0, 0.4)))
            spec = JobSpec("x", (Step(tasks, 6800, 64, 0, declared_ms),))
            spec = spec._replace(answers_at_end=pattern.leaderless_s > 0)
            submitted.append(row)
            open_jobs.append(row)
            submit = partial(_submit, world, row, spec, work_ms, refused)
            wait_s = leader_at - now if now >= pattern.burst_s[0] else 0.0
            if wait_s <= 0 or not pattern.leaderless_s:
                submit()
            elif wait_s <= LEADER_WAIT_SHARE * declared_ms / 1000:
                world.later(wait_s, submit)
            else:
                refused.add(job)
        world.run(CHECK_INTERVAL_S)
        open_jobs = [
            row
            for row in open_jobs
            if not _record_outcome(world, row, start, earned, refused, on_completed)
        ]
    return _summarize(submitted, earned, refused)


def _arrivals(
    rng: random.Random, pattern: Pattern, length_s: float
) -> list[tuple[float, Kind, int, float]]:
    rows = []
    for kind in KINDS:
        at = 0.0
        while at < length_s:
            is_burst = pattern.burst_s[0] <= at < pattern.burst_s[1]
            at += rng.expovariate(kind.rate * (pattern.factor if is_burst else 1.0))
            tasks = max(
                1, min(int(4 * kind.tasks), round(kind.tasks * rng.lognormvariate(-0.08, 0.4)))
            )
            work_ms = min(4 * kind.work_ms, kind.work_ms * rng.lognormvariate(-0.08, 0.4))
            rows.append((at, kind, tasks, work_ms))
    return rows


def _submit(
    world: FleetModel, row: SubmittedJob, spec: JobSpec, work_ms: float, refused: set[str]
) -> None:
    def on_reply(fut: "Future[Reply]") -> None:
        code = fut.result(timeout=0).code
        if code is ResultCode.CLAIM_UNKNOWN:
            # The frontend submits the job to the next leader.
            world.later(RESEND_S, _submit, world, row, spec, work_ms, refused)
        elif code is not ResultCode.ACCEPTED:
            refused.add(row.job)

    fut = world.submit(row.job, spec, work_ms=work_ms, path=f"/{row.kind.name}/")
    fut.add_done_callback(on_reply)


def _record_outcome(
    world: FleetModel,
    row: SubmittedJob,
    start: float,
    earned: dict[str, float],
    refused: set[str],
    on_completed: Callable[[SubmittedJob, float], None],
) -> bool:
    if row.job in refused:
        return True
    fut = world.send_request(Request(Operation.STATUS, {"job": row.job}))
    world.loop.run_pending()
    state = fut.result(timeout=0).fields.get("state")
    elapsed_s = world.clock.now() - start - row.at
    if state == "completed":
        on_completed(row, elapsed_s)
        if elapsed_s <= row.objective_s:
            earned[row.job] = row.worth
        elif elapsed_s <= EXPIRY_FACTOR * row.objective_s:
            earned[row.job] = LATE_WORTH * row.worth
        return True
    return state == "failed" or elapsed_s > 20


def _summarize(
    submitted: list[SubmittedJob], earned: dict[str, float], refused: set[str]
) -> Outcome:
    kinds: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for row in submitted:
        earned_worth = earned.get(row.job, 0.0)
        for cell in (kinds[row.kind.name], windows[int(row.at / WINDOW_S)], kinds["all"]):
            cell[0] += earned_worth
            cell[1] += row.worth
    shares = {
        name: earned_worth / total_worth for name, (earned_worth, total_worth) in kinds.items()
    }
    worst = sorted(earned_worth / total_worth for earned_worth, total_worth in windows.values())[:2]
    late = [
        row for row in submitted if earned.get(row.job, 0) < row.worth and row.job not in refused
    ]
    return Outcome(
        shares.pop("all"),
        min(shares.values()),
        statistics.mean(worst),
        len(refused) / len(submitted),
        len(late) / len(submitted),
    )


def main() -> None:
    """Print the outcome of each pattern."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print(f"{'pattern':48}{'worth':>8}{'kind':>8}{'window':>8}{'refused':>9}{'late':>8}")
    for pattern in PATTERNS:
        rows = [replay(pattern, seed) for seed in range(seeds)]
        means = [statistics.mean(column) for column in zip(*rows, strict=True)]
        cells = "".join(f"{value:8.3f}" for value in means)
        print(f"{pattern.name:48}{cells}", flush=True)


if __name__ == "__main__":
    main()
