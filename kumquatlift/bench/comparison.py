"""Compares the scheduling policy with baseline policies and an omniscient scheduler."""

import json
import statistics
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from kumquatlift.bench.baselines import ideal_s
from kumquatlift.bench.cases import (
    CASES,
    DEADLINE_S,
    EXTRA_CASES,
    EXTRA_LOAD,
    LOADS,
    SLOTS,
    WARM_UP_S,
    Case,
)
from kumquatlift.bench.harness import run_omniscient, run_policy

BASELINES = ("random", "round robin", "fewest outstanding")
POLICIES = ("omniscient", "scheduler", *BASELINES)
SEEDS = 5


class Figures(NamedTuple):
    """Results of one run, or their means over seeds.

    A relative response time is the response time of a job divided by its ideal response time.
    Cancelled jobs are left out; a refused or failed job counts as if it had ended at its deadline.

    Args:
        median: Median of the relative response times.
        p99: 99th percentile of the relative response times.
        worst: Largest relative response time.
        messages: Requests to runners per completed task.
        failed: Share of jobs that were refused or failed.
    """

    median: float
    p99: float
    worst: float
    messages: float
    failed: float

    @classmethod
    def mean(cls, runs: Sequence["Figures"]) -> "Figures":
        """Return the mean of each figure."""
        return cls(*(statistics.fmean(column) for column in zip(*runs, strict=True)))


class Row(NamedTuple):
    """Results of one policy in one case at one load.

    Args:
        case: Name of the case.
        load: Offered load as a share of capacity.
        policy: Name of the policy.
        mean: Mean results over the seeds.
        p99_spread: Standard deviation of ``p99`` over the seeds.
        runs: Results of each seed.
    """

    case: str
    load: float
    policy: str
    mean: Figures
    p99_spread: float
    runs: list[Figures]


def run_bench(
    *,
    cases: Iterable[str] = (),
    loads: Iterable[float] = LOADS,
    policies: Iterable[str] = POLICIES,
    seeds: int = SEEDS,
    message_weight: float = 0.3,
    processes: int = 2,
    json_path: Path | None = None,
) -> str:
    """Run the experiments.

    Args:
        cases: Names of cases; all when empty, those of ``EXTRA_CASES`` at ``EXTRA_LOAD`` only.
        loads: Offered loads as shares of capacity.
        policies: Names of policies.
        seeds: Number of seeds.
        message_weight: Setting ``message_weight`` of the service.
        processes: Number of worker processes; with 1, all runs take place in this process.
        json_path: File to which the rows are written as JSON.

    Returns:
        A table of the results in Markdown.
    """
    chosen_names = list(cases)
    chosen = [
        CASES[name](load)._replace(message_weight=message_weight)
        for name in chosen_names or CASES
        for load in loads
        if chosen_names or name not in EXTRA_CASES or load == EXTRA_LOAD
    ]
    jobs = [(case, seed, tuple(policies)) for case in chosen for seed in range(seeds)]
    if processes > 1:
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(_measure, jobs))
    else:
        results = [_measure(job) for job in jobs]
    rows = []
    for i, case in enumerate(chosen):
        of_case = results[i * seeds : (i + 1) * seeds]
        for policy in of_case[0]:
            runs = [result[policy] for result in of_case]
            spread = statistics.stdev(run.p99 for run in runs) if seeds > 1 else 0.0
            rows.append(Row(case.name, case.load, policy, Figures.mean(runs), spread, runs))
    if json_path is not None:
        plain = [
            {**row._asdict(), "mean": row.mean._asdict(), "runs": [r._asdict() for r in row.runs]}
            for row in rows
        ]
        json_path.write_text(json.dumps(plain, indent=1) + "\n", encoding="utf-8")
    return format_table(rows)


def format_table(rows: Iterable[Row]) -> str:
    """Return the rows as a table in Markdown."""
    lines = [
        "| case | load | policy | median | p99 | spread | worst | messages | failed |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        mean = row.mean
        lines.append(
            f"| {row.case} | {row.load} | {row.policy} | {mean.median:.2f} | {mean.p99:.2f} "
            f"| {row.p99_spread:.2f} | {mean.worst:.2f} | {mean.messages:.3f} "
            f"| {mean.failed:.1%} |"
        )
    return "\n".join(lines)


def _measure(job: tuple[Case, int, tuple[str, ...]]) -> dict[str, Figures]:
    case, seed, policies = job
    arrivals = case.arrivals(seed)
    speeds = [runner.speed for runner in case.runners(seed)]
    ideals = [ideal_s(arrival.sizes_s, speeds, SLOTS) for arrival in arrivals]
    counted = [
        i
        for i, arrival in enumerate(arrivals)
        if arrival.at >= WARM_UP_S and arrival.kind != "poison"
    ]
    figures = {}
    for policy in policies:
        if policy == "omniscient":
            ends = run_omniscient(case, seed)
            ratios = [(ends[i] - arrivals[i].at) / ideals[i] for i in counted if i in ends]
            figures[policy] = _figures(ratios, 1.0, 0.0)
            continue
        result = run_policy(policy, case, seed)
        ratios, failed, total = [], 0, 0
        for i in counted:
            job_result = result.jobs[i]
            if job_result.was_cancelled:
                continue
            total += 1
            failed += job_result.ended_at is None
            response_s = DEADLINE_S
            if job_result.ended_at is not None:
                response_s = job_result.ended_at - arrivals[i].at
            ratios.append(response_s / ideals[i])
        figures[policy] = _figures(
            ratios, result.messages / max(1, result.completed_tasks), failed / total
        )
    return figures


def _figures(ratios: list[float], messages: float, failed: float) -> Figures:
    ordered = sorted(ratios)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return Figures(statistics.median(ordered), p99, ordered[-1], messages, failed)


def main() -> None:
    """Run every experiment, print the table and write the rows to ``build/bench.json``."""
    json_path = Path("build/bench.json")
    json_path.parent.mkdir(exist_ok=True)
    print(run_bench(json_path=json_path))


if __name__ == "__main__":
    main()
