"""Load runs: submits jobs at seeded arrival times and compares response times with the ideal."""

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
# Models services in which most tasks take 50 ms to 1 s and a few take several seconds.
LONG_SHARE = 0.02
LONG_FACTOR = 4


class Workload(NamedTuple):
    """Parameters of the jobs of a load run; equal workloads give equal jobs and arrival times.

    Args:
        kinds: Request kinds, chosen at random.
        jobs: Number of jobs.
        rate: Jobs per second on average; arrivals are a Poisson process.
        tasks: Smallest and largest number of tasks of a job.
        run_ms: Shortest and longest usual run time on a runner of speed 1, in milliseconds;
            ``LONG_SHARE`` of the tasks take ``LONG_FACTOR`` times as long.
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
        # Log-uniform, so that each doubling of the run time has the same share of the tasks.
        usual = math.exp(rng.uniform(math.log(low), math.log(high)))
        return round(usual * (LONG_FACTOR if rng.random() < LONG_SHARE else 1))


class PlannedJob(NamedTuple):
    """One job of a load run.

    Args:
        at_s: Planned arrival, in seconds from the start of the run.
        kind: Request kind.
        run_ms: Run time of each task on a runner of speed 1, in milliseconds.
    """

    at_s: float
    kind: str
    run_ms: tuple[int, ...]

    def to_json(self, service: str) -> dict[str, Any]:
        """Return the body of the submission."""
        tasks = [
            {"id": f"t{number}", "body": {"run_ms": run_ms}}
            for number, run_ms in enumerate(self.run_ms)
        ]
        return {"service": service, "kind": self.kind, "wait": True, "tasks": tasks}


class JobOutcome(NamedTuple):
    """A planned job, the outcome of its submission, and its response time in seconds.

    The response time counts from the planned arrival.
    """

    job: PlannedJob
    submission: Submission
    response_s: float


class LoadReport(NamedTuple):
    """Result of a load run.

    Args:
        jobs: Number of jobs submitted.
        answers: Number of jobs by code and name of their last answer.
        complete: Number of complete jobs.
        unanswered: Number of jobs that got no final answer before the time limit.
        resubmissions: Number of times that a job was sent again.
        lost_answers: Number of submissions that may have arrived but got no answer.
        response_s: Median, 99th percentile and worst response time of complete jobs, in seconds.
        ideal_ratio: Median, 99th percentile and worst quotient of the response time and the ideal
            response time of a job; empty if the capacity of the runners is not known.
        requests: Number of requests to runners during the run.
        completed_tasks: Number of tasks that runners completed during the run.
        messages_per_task: ``requests`` divided by ``completed_tasks``; 0 without completed tasks.
        doubled_starts: Number of starts beyond the first of tasks that are not repeatable; it must
            be 0.
        repeated_starts: Number of starts beyond the first of repeatable tasks.
        wrong_results: Number of complete jobs whose results do not match their tasks.
        unread_runners: Number of runners that did not answer before or after the run, so that the
            counts of runners are incomplete.
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
        """Whether every job got a final answer, no result is wrong and no start is a duplicate."""
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
    """Counts and starts that runner stand-ins report before and after a run.

    Args:
        addresses: Addresses of the runners, each "ip:port".
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses
        self._before = {address: _read_starts(address) for address in addresses}
        self._exit_readings: dict[str, dict[str, Any] | None] = {}

    @property
    def capacities(self) -> list[RunnerCapacity]:
        """Speed and slots of each runner that answered before the run."""
        return [
            RunnerCapacity(reading["speed"], reading["slots"])
            for reading in self._before.values()
            if reading is not None
        ]

    def read_before_exit(self, address: str) -> None:
        """Read a runner that is about to end; used if it does not answer after the run."""
        self._exit_readings[address] = _read_starts(address)

    def since_start(self, repeatable: Collection[str]) -> dict[str, int]:
        """Return totals over all runners since this object was created.

        Args:
            repeatable: Request kinds whose tasks may start more than once.

        Returns:
            The numbers of "requests", of "completed" tasks, of starts beyond the first ("repeated"
            for repeatable kinds, else "doubled"), and of "unread" runners.
        """
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
        entries: Addresses of entry processes for callers; successive jobs use them in turn.
        readings: Readings of the runner stand-ins before the run.
        repeatable: Request kinds whose tasks may start more than once.
        answer_timeout_s: Longest wait for an answer before a job is sent elsewhere, in seconds.
        give_up_s: Time limit of the submission of a job with all its retries, in seconds.
        on_done: Called in an executor thread with the outcome of each job.
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
    """Compute the report of a run.

    Args:
        outcomes: Outcome of each job.
        capacities: Speed and slots of the runners; without them, no ratio is computed.
        totals: Totals of ``RunnerReadings.since_start``.
    """
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
    """Return the median, 99th percentile and maximum by nearest rank; empty without values."""
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
