"""Replays a load with queues that slow each other down, with and without keeping them apart.

Run ``python -m tools.measure_interference [--factor F] [--load L] [--seeds N] [--seconds S]``. It
prints the response times by queue, the worth and the share of runs that start beside a bad
neighbour, on the simulated fleet of ``tools.experiment``.
"""

import logging
import statistics
import sys
from collections import Counter, defaultdict
from typing import NamedTuple

import defopt
import structlog

from kumquatlift.authority import Limits
from tools.experiment import KINDS, Pattern, SubmittedJob, replay
from tools.fleet_model import FleetModel

# Tasks of the first queue take longer beside those of the second.
SLOWER, BESIDE = "swap", "reorder"


class Effect(NamedTuple):
    """What a replay has measured.

    Args:
        worth: Value of the completed jobs as a share of that of all submitted jobs.
        refused: Share of the jobs that were refused.
        response_ms: Response times of the completed jobs by queue, in milliseconds.
        disturbed: Share of the runs of both queues that started beside the other one.
    """

    worth: float
    refused: float
    response_ms: dict[str, list[float]]
    disturbed: float


def measure(
    *, keeps_apart: bool, factor: float, load: float, seed: int, length_s: float = 30.0
) -> Effect:
    """Replay the load once.

    Args:
        keeps_apart: Whether queues that slow each other down are kept apart.
        factor: Factor by which tasks of ``SLOWER`` take longer beside those of ``BESIDE``.
        load: Load as a multiple of the usual one.
        seed: Seed of the load.
        length_s: Time for which jobs arrive, in seconds.
    """
    pair = (f"/{SLOWER}/", f"/{BESIDE}/")
    slowdowns = {pair: factor} if factor != 1 else {}
    world = FleetModel(seed=seed, limits=Limits(keeps_apart=keeps_apart), slowdowns=slowdowns)
    response_ms: dict[str, list[float]] = defaultdict(list)

    def on_completed(row: SubmittedJob, elapsed_s: float) -> None:
        response_ms[row.kind.name].append(1000 * elapsed_s)

    pattern = Pattern("load", load, (0, length_s))
    outcome = replay(pattern, seed, length_s, world, on_completed)
    starts, disturbed = world.starts_by_path, world.disturbed_by_path
    both = sum((Counter({path: starts[path]}) for path in pair), Counter())
    return Effect(
        outcome.worth,
        outcome.refused,
        response_ms,
        sum(disturbed[path] for path in pair) / max(1, both.total()),
    )


def run(*, factor: float = 1.5, load: float = 1.0, seeds: int = 3, seconds: float = 30.0) -> None:
    """Print what keeping queues apart changes.

    Args:
        factor: Factor by which tasks of one queue take longer beside those of another; 1 for none.
        load: Load as a multiple of the usual one.
        seeds: Replays of each.
        seconds: Length of each replay.
    """
    if factor < 1 or load <= 0 or seeds < 1 or seconds <= 0:
        sys.exit("factor and seeds must be 1 or more, and load and seconds above 0")
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    queues = [kind.name for kind in KINDS]
    header = "".join(f"{name + ' p50/p95 ms':>22}" for name in queues)
    print(f"{'kept apart':>10}{'worth':>8}{'refused':>9}{'disturbed':>11}{header}")
    for keeps_apart in (False, True):
        rows = [
            measure(keeps_apart=keeps_apart, factor=factor, load=load, seed=seed, length_s=seconds)
            for seed in range(seeds)
        ]
        cells = ""
        for name in queues:
            times = [time for row in rows for time in row.response_ms[name]]
            cuts = statistics.quantiles(times, n=20)
            cells += f"{cuts[9]:>14.0f}/{cuts[18]:.0f}".rjust(22)
        worth, refused, disturbed = (
            statistics.fmean(column)
            for column in zip(
                *((row.worth, row.refused, row.disturbed) for row in rows), strict=True
            )
        )
        print(
            f"{keeps_apart!s:>10}{worth:>8.3f}{refused:>9.3f}{disturbed:>11.3f}{cells}", flush=True
        )


if __name__ == "__main__":
    defopt.run(run)
