"""Runs a case with a policy by name, or with the omniscient scheduler."""

from collections.abc import Sequence

from kumquatlift.bench.baselines import (
    FewestOutstanding,
    Omniscient,
    RandomChoice,
    RoundRobin,
    SlotPolicy,
)
from kumquatlift.bench.cases import CANCEL_AT_S, ZONES, Arrival, Case
from kumquatlift.bench.experiment import Experiment
from kumquatlift.bench.jobs import RunResult
from kumquatlift.scheduling.scheduler import Scheduler


def run_policy(name: str, case: Case, seed: int) -> RunResult:
    """Run a case with a policy by name: scheduler, random, round robin or fewest outstanding."""
    policies: dict[str, SlotPolicy] = {}
    for i, zone in enumerate(ZONES):
        if name == "scheduler":
            policies[zone] = Scheduler(service=case.service, teams={}, grant_prefix=zone)
        elif name == "random":
            policies[zone] = RandomChoice(seed=seed * 10 + i)
        elif name == "round robin":
            policies[zone] = RoundRobin(first=i * 8)
        else:
            policies[zone] = FewestOutstanding(seed=seed * 10 + i)
    return Experiment(case=case, seed=seed, policies=policies, is_zonal=name == "scheduler").run()


def run_omniscient(case: Case, seed: int) -> dict[int, float]:
    """Run a case with the omniscient scheduler and return when each job ends, by job number."""
    scheduler = Omniscient(runners=[runner.known for runner in case.runners(seed)])
    arrivals: Sequence[Arrival] = case.arrivals(seed)
    cancels_pending = case.has_cancels
    for number, arrival in enumerate(arrivals):
        if cancels_pending and arrival.at > CANCEL_AT_S:
            cancels_pending = False
            ends = scheduler.completion_times()
            cancelled = {
                i
                for i, earlier in enumerate(arrivals[:number])
                if earlier.is_cancelled and ends[i] > CANCEL_AT_S
            }
            scheduler.cancel(cancelled, CANCEL_AT_S)
        if arrival.kind != "poison":
            scheduler.submit(number, arrival.sizes_s, arrival.at)
    return scheduler.completion_times()
