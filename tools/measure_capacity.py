"""Measures how memory, processor time and traffic of each role grow with its size.

Run with ``make capacity``, which takes less than five minutes and writes ``build/capacity``. The
figures are for docs/CAPACITY.md.
"""

import time
from collections.abc import Callable
from pathlib import Path

from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, RunnerOffer, Scheduler
from kumquatlift.scheduling.slot_messages import (
    SlotDemand,
    SlotDemands,
    SlotFinish,
    SlotGrant,
    SlotGrants,
)
from tests.simulated_gossip import SimulatedGossip
from tools.heap import heap_bytes
from tools.measure_claims import measure_memory
from tools.measure_entry import entry_slopes
from tools.slopes import Slope, measure, write

FOLDER = Path("build/capacity")
TASKS_PER_JOB = 8


def _document() -> Document:
    doc = read_mapping(
        {
            "system": {"voters": ["a"]},
            "services": {"s": {"kinds": {"k": {}}, "max_queued": 1_000_000}},
            "teams": {f"team-{number}": {} for number in range(88)},
        }
    )
    assert isinstance(doc, Document)
    return doc


DOCUMENT = _document()


def cpu_us(work: Callable[[], None], count: int) -> float:
    """Return the processor time of some work divided by its ``count`` steps, in microseconds."""
    start = time.process_time()
    work()
    return (time.process_time() - start) / count * 1e6


def _offer(number: int) -> RunnerOffer:
    return RunnerOffer(f"runner-{number}", "1", "127.0.0.1:80", "worker", 8, 64)


def _demand(number: int, count: int) -> Demand:
    team = f"team-{number % 88}"
    return Demand(f"job-{number}", "entry", "s", "k", team, count, 1, 1e9, 0.3)


def _scheduler_with_runners(runners: int) -> Scheduler:
    scheduler = Scheduler(service=DOCUMENT.services["s"], teams=DOCUMENT.teams)
    for number in range(runners):
        scheduler.offer(_offer(number), 0.0)
    return scheduler


def _scheduler_with_demands(demands: int) -> Scheduler:
    scheduler = _scheduler_with_runners(0)
    for number in range(demands):
        scheduler.enqueue(_demand(number, 4), 0.0)
    return scheduler


def _grant_cost_us(runners: int) -> float:
    """Return the processor time per grant and its completion, in us, with half the slots in use."""
    scheduler = _scheduler_with_runners(runners)
    now, running, done, number = 1.0, [], 0, 0
    start = time.process_time()
    while done < 4000:
        number += 1
        scheduler.enqueue(_demand(number, TASKS_PER_JOB), now)
        for grant in scheduler.poll(now):
            scheduler.started(grant.id, now)
            running.append(grant.id)
        now += 0.001
        while len(running) > runners * 4:
            scheduler.finish(running.pop(0), AttemptOutcome.OK, 0.3, now)
            done += 1
        if number % 500 == 0:
            for index in range(runners):
                scheduler.offer(_offer(index), now)
    return (time.process_time() - start) / done * 1e6


def _announce_cost_us(runners: int) -> float:
    """Return the processor time of one announcement of every runner, in us."""
    scheduler = _scheduler_with_runners(runners)

    def work() -> None:
        for step in range(10):
            for number in range(runners):
                scheduler.offer(_offer(number), 0.5 * step)

    return cpu_us(work, 10)


def _demands(count: int) -> SlotDemands:
    demands = tuple(
        SlotDemand(f"job-{n}/1", "k", "team-1", TASKS_PER_JOB, 1, 30.0, 0.3) for n in range(count)
    )
    finished = tuple(SlotFinish(f"owner/s@z/{n}", 0, 0.3) for n in range(TASKS_PER_JOB * count))
    return SlotDemands("s", "z", demands, (), finished)


def _grants(count: int) -> SlotGrants:
    grants = tuple(
        SlotGrant(f"owner/s@z/{n}", f"job-{n}/1", "runner-1", "127.0.0.1:8000")
        for n in range(TASKS_PER_JOB * count)
    )
    return SlotGrants("s", "z", grants)


def _coding_cost_us(jobs: int) -> float:
    """Return the processor time, in us, to encode and decode the slot messages of some jobs."""

    def work() -> None:
        for _ in range(50):
            SlotDemands.from_bytes(_demands(jobs).to_bytes())
            SlotGrants.from_bytes(_grants(jobs).to_bytes())

    return cpu_us(work, 50)


def scheduler_slopes() -> list[Slope]:
    """Measure the scheduler and the messages of a zone's owner of slots."""
    return [
        measure(
            "scheduler: memory, by runners",
            "bytes/runner",
            [50, 200, 800],
            lambda size: heap_bytes(lambda: _scheduler_with_runners(size)),
        ),
        measure(
            "scheduler: memory, by waiting demands",
            "bytes/demand",
            [500, 2000, 8000],
            lambda size: heap_bytes(lambda: _scheduler_with_demands(size)),
        ),
        measure(
            "scheduler: processor time a grant, by runners",
            "us/grant per runner",
            [24, 96, 384],
            _grant_cost_us,
        ),
        measure(
            "scheduler: processor time of a round of announcements",
            "us/runner",
            [24, 96, 384],
            _announce_cost_us,
        ),
        measure(
            "slots: message bytes, by jobs of 8 tasks",
            "bytes/job",
            [1, 8, 64],
            lambda size: float(len(_demands(size).to_bytes()) + len(_grants(size).to_bytes())),
        ),
        measure(
            "slots: processor time of coding, by jobs of 8 tasks",
            "us/job",
            [1, 8, 64],
            _coding_cost_us,
        ),
    ]


def _gossip_bytes_per_s(members: int) -> float:
    """Return the bytes per second that a member sends and receives when no message is lost."""
    sim = SimulatedGossip(count=members, seed=1, loss=0.0)
    sim.run(8.0)
    sim.bytes_per_s(1.0)
    sim.run(10.0)
    return sum(sim.bytes_per_s(10.0))


def ledger_slopes() -> list[Slope]:
    """Measure the memory of the claims in the ledger of the writer and of its backup."""
    sizes = [5_000, 20_000, 80_000]
    return [
        measure(
            "ledger: memory of the writer, by claims",
            "bytes/claim",
            sizes,
            lambda size: measure_memory(size)[0] * size,
            repeats=2,
        ),
        measure(
            "ledger: memory of the backup, by claims",
            "bytes/claim",
            sizes,
            lambda size: measure_memory(size)[1] * size,
            repeats=2,
        ),
    ]


def gossip_slopes() -> list[Slope]:
    """Measure the traffic of the membership protocol."""
    return [
        measure(
            "gossip: bytes a second of a node, both ways, by members",
            "bytes/s per member",
            [3, 7, 14, 28],
            _gossip_bytes_per_s,
            repeats=1,
        )
    ]


def main() -> None:
    """Run all measurements and write the results."""
    slopes = [*scheduler_slopes(), *ledger_slopes(), *gossip_slopes(), *entry_slopes()]
    write(slopes, FOLDER)


if __name__ == "__main__":
    main()
