"""Load runs: jobs with seeded arrivals, and a report against the ideal response time."""

import math
import random
import time
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

from kumquatlift.bench.ideal import RunnerCapacity, ideal_response_s
from kumquatlift.client import Client, Submission, call
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure

MAX_JOBS_IN_FLIGHT = 256
# Most tasks take 50 ms to 1 s, a few take several seconds.
LONG_SHARE = 0.02
LONG_FACTOR = 4


class Workload(NamedTuple):
    """What a load run submits; equal workloads give equal jobs and arrivals.

    Args:
        kinds: Request kinds, chosen at random.
        jobs: Number of jobs.
        rate: Jobs per second on average; arrivals are a Poisson process.
        tasks: Fewest and most tasks of a job.
        run_ms: Shortest and longest usual run time on a runner of speed 1; a few take longer.
        seed: Seed of every random choice.
    """

    kinds: tuple[str, ...]
    jobs: int
    rate: float
    tasks: tuple[int, int]
    run_ms: tuple[int, int]
    seed: int = 1

    def plan(self) -> list["PlannedJob"]:
        """Return the jobs in the order of their arrival."""
        rng = random.Random(self.seed)
        at_s = 0.0
        planned = []
        for _ in range(self.jobs):
            at_s += rng.expovariate(self.rate)
            count = rng.randint(*self.tasks)
            run_ms = tuple(self._run_ms(rng) for _ in range(count))
            planned.append(PlannedJob(at_s, rng.choice(self.kinds), run_ms))
        return planned

    def _run_ms(self, rng: random.Random) -> int:
        low, high = self.run_ms
        # Log-uniform, so that short tasks are as frequent per octave as long ones.
        usual = math.exp(rng.uniform(math.log(low), math.log(high)))
        return round(usual * (LONG_FACTOR if rng.random() < LONG_SHARE else 1))


class PlannedJob(NamedTuple):
    """One job of a load run; ``at_s`` counts from the start of the run."""

    at_s: float
    kind: str
    run_ms: tuple[int, ...]

    def to_json(self, service: str) -> dict[str, Any]:
        """Return the submission."""
        tasks = [
            {"id": f"t{number}", "body": {"run_ms": run_ms}}
            for number, run_ms in enumerate(self.run_ms)
        ]
        return {"service": service, "kind": self.kind, "wait": True, "tasks": tasks}


class JobOutcome(NamedTuple):
    """A planned job, its submission and its response time from its planned arrival."""

    job: PlannedJob
    submission: Submission
    response_s: float


class LoadReport(NamedTuple):
    """Result of a load run; a ratio is response time divided by ideal response time.

    Args:
        jobs: Jobs submitted.
        answers: Jobs by code and name of their last answer.
        complete: Jobs that are complete.
        unanswered: Jobs that were given up without a final answer.
        resubmissions: Times that a job was sent again.
        lost_answers: Times that a submission got no answer.
        response_s: Median, 99th percentile and worst response time of complete jobs.
        ideal_ratio: The same of the ratios; empty without runners to compare with.
        requests: Messages to runners in the run.
        completed_tasks: Tasks that runners completed in the run.
        messages_per_task: The quotient of the two; 0 without completed tasks.
        doubled_starts: Starts beyond the first of tasks that are not repeatable; a fault if not 0.
        repeated_starts: Starts beyond the first of repeatable tasks.
        wrong_results: Complete jobs whose results are not those of their tasks.
        unread_runners: Runners that could not be asked, whose last messages are missing here.
    """

    jobs: int
    answers: dict[str, int]
    complete: int
    unanswered: int
    resubmissions: int
    lost_answers: int
    response_s: dict[str, float]
    ideal_ratio: dict[str, float]
    requests: int
    completed_tasks: int
    messages_per_task: float
    doubled_starts: int
    repeated_starts: int
    wrong_results: int
    unread_runners: int

    @property
    def is_sound(self) -> bool:
        """Whether every job got one right answer and no task started that must not."""
        return not (self.unanswered or self.wrong_results or self.doubled_starts)

    def show(self, console: Console) -> None:
        """Print the report as a table."""
        table = Table("figure", "value", title="Load run")
        table.add_row("jobs", str(self.jobs))
        for name, count in sorted(self.answers.items()):
            table.add_row(f"  answered {name}", str(count))
        table.add_row("resubmissions (lost answers)", f"{self.resubmissions} ({self.lost_answers})")
        for label, values in (
            ("response time, s", self.response_s),
            ("response time / ideal", self.ideal_ratio),
        ):
            text = ", ".join(f"{name} {value:.2f}" for name, value in values.items())
            table.add_row(label, text or "not measured")
        table.add_row("tasks completed by runners", str(self.completed_tasks))
        table.add_row("messages to runners per completed task", f"{self.messages_per_task:.3f}")
        table.add_row("doubled starts of tasks not repeatable", str(self.doubled_starts))
        table.add_row("further starts of repeatable tasks", str(self.repeated_starts))
        table.add_row("wrong results", str(self.wrong_results))
        if self.unread_runners:
            table.add_row("runners that could not be read", str(self.unread_runners))
        console.print(table)


class RunnerReadings:
    """What runner stand-ins tell of themselves before and after a run.

    Args:
        addresses: Addresses of the runners, each "ip:port".
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses
        self._before = {address: _read_starts(address) for address in addresses}
        self._exit_readings: dict[str, dict[str, Any] | None] = {}

    @property
    def capacities(self) -> list[RunnerCapacity]:
        """Speed and slots of every runner that answered before the run."""
        return [
            RunnerCapacity(reading["speed"], reading["slots"])
            for reading in self._before.values()
            if reading is not None
        ]

    def read_before_exit(self, address: str) -> None:
        """Read a runner that is about to end; the reading stands for what cannot be read later."""
        self._exit_readings[address] = _read_starts(address)

    def since_start(self, repeatable: Collection[str]) -> dict[str, int]:
        """Return requests, completed tasks, starts beyond the first, and unread runners."""
        totals: Counter[str] = Counter()
        starts: Counter[tuple[str, str, str]] = Counter()
        for address, before in self._before.items():
            after = _read_starts(address)
            totals["unread"] += before is None or after is None
            after = after or self._exit_readings.get(address)
            if before is None or after is None:
                continue
            for name in ("requests", "completed"):
                totals[name] += after[name] - before[name]
            starts.update((row["kind"], row["job"], row["task"]) for row in after["starts"])
        for (kind, _job, _task), count in starts.items():
            totals["repeated" if kind in repeatable else "doubled"] += count - 1
        return dict(totals)


def run_load(
    plan: Sequence[PlannedJob],
    *,
    service: str,
    entries: Sequence[str],
    readings: RunnerReadings,
    repeatable: Collection[str] = (),
    answer_timeout_s: float = 15.0,
    give_up_s: float = 120.0,
    on_done: Callable[[JobOutcome], None] = lambda _outcome: None,
) -> LoadReport:
    """Submit jobs at their planned times and wait for every answer.

    Args:
        plan: Jobs in the order of their arrival.
        service: Service of every job.
        entries: Addresses of entry processes for callers; jobs take turns.
        readings: Runner stand-ins to read speeds, messages and starts from.
        repeatable: Request kinds whose tasks may start more than once.
        answer_timeout_s: Silence after which a job is resubmitted elsewhere.
        give_up_s: Time after which a job is given up.
        on_done: Called in an executor thread after each job.
    """
    started = time.monotonic()

    def submit(number: int, job: PlannedJob) -> JobOutcome:
        client = Client(
            entries=entries,
            answer_timeout_s=answer_timeout_s,
            give_up_s=give_up_s,
            retry_refused=False,
            first=number,
        )
        submission = client.submit(job.to_json(service))
        outcome = JobOutcome(job, submission, time.monotonic() - started - job.at_s)
        on_done(outcome)
        return outcome

    with ThreadPoolExecutor(max_workers=MAX_JOBS_IN_FLIGHT) as executor:
        futs = []
        for number, job in enumerate(plan):
            time.sleep(max(0.0, started + job.at_s - time.monotonic()))
            futs.append(executor.submit(submit, number, job))
        outcomes = [fut.result() for fut in futs]
    return make_report(outcomes, readings.capacities, readings.since_start(repeatable))


def make_report(
    outcomes: Sequence[JobOutcome],
    capacities: Sequence[RunnerCapacity],
    totals: dict[str, int],
) -> LoadReport:
    """Sum up the outcomes of a run."""
    answers = Counter(
        f"{int(outcome.submission.code)} {outcome.submission.code.label}" for outcome in outcomes
    )
    complete = [outcome for outcome in outcomes if outcome.submission.code is ResultCode.COMPLETE]
    ratios = []
    if capacities:
        for outcome in complete:
            run_s = [run_ms / 1000 for run_ms in outcome.job.run_ms]
            ratios.append(outcome.response_s / ideal_response_s(run_s, capacities))
    completed = totals.get("completed", 0)
    return LoadReport(
        jobs=len(outcomes),
        answers=dict(answers),
        complete=len(complete),
        unanswered=sum(isinstance(outcome.submission.answer, Failure) for outcome in outcomes),
        resubmissions=sum(max(0, outcome.submission.sent - 1) for outcome in outcomes),
        lost_answers=sum(outcome.submission.lost for outcome in outcomes),
        response_s=_percentiles([outcome.response_s for outcome in complete]),
        ideal_ratio=_percentiles(ratios),
        requests=totals.get("requests", 0),
        completed_tasks=completed,
        messages_per_task=totals.get("requests", 0) / completed if completed else 0.0,
        doubled_starts=totals.get("doubled", 0),
        repeated_starts=totals.get("repeated", 0),
        wrong_results=sum(not _has_expected_results(outcome) for outcome in complete),
        unread_runners=totals.get("unread", 0),
    )


def _has_expected_results(outcome: JobOutcome) -> bool:
    answer = outcome.submission.answer
    if isinstance(answer, Failure):
        return False
    given = [(row["id"], row["result"]) for row in answer["results"]]
    expected = [
        (f"t{number}", {"echo": {"run_ms": run_ms}})
        for number, run_ms in enumerate(outcome.job.run_ms)
    ]
    return given == expected


def _percentiles(values: Sequence[float]) -> dict[str, float]:
    """Return median, 99th percentile (nearest rank) and worst; empty without values."""
    if not values:
        return {}
    ordered = sorted(values)
    ranks = {"median": 0.5, "p99": 0.99, "worst": 1.0}
    return {
        name: round(ordered[math.ceil(share * len(ordered)) - 1], 3)
        for name, share in ranks.items()
    }


def _read_starts(address: str) -> dict[str, Any] | None:
    answer = call(address, "GET", "/starts")
    return None if isinstance(answer, Failure) or "starts" not in answer else answer
