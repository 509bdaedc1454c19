"""Measures how the service recovers from faults, with real processes behind fault proxies.

Run from the root of the project: ``python -m tools.measure_recovery [--repetitions N] [FAULT ...]``
Jobs that are not repeatable are submitted at a constant rate through all entry processes while one
fault is injected. Their clients resubmit a job when its answer is lost.
"""

import argparse
import json
import signal
import statistics
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w
from rich.console import Console
from rich.table import Table

from kumquatlift.bench.load import RunnerReadings
from kumquatlift.client import Client, Submission
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from tools.cluster import Cluster, wait_for

ZONES = ("north", "north", "south", "east")
VOTERS = ("north-1", "south-1", "east-1")
SERVICE, KIND = "work", "once"
# Two runners in every zone, so that a zone that is cut off can continue.
RUNNERS = tuple((f"{zone}-{letter}", zone) for zone in sorted(set(ZONES)) for letter in "ab")
SLOTS = 4
RUN_MS = 50
TASKS = 4
JOBS_PER_S = 16
LOAD_BEFORE_FAULT_S = 1.5
LOAD_AFTER_FAULT_S = 5.0
# Longer than the 3 s within which the membership detects a dead member.
FAULT_S = 4.0
RECOVERY_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 2.0
GIVE_UP_S = 30.0


class Outcome(NamedTuple):
    """A submission that has ended.

    Args:
        entry: Name of the entry process that got the job first.
        at_s: Monotonic time of the end, in seconds.
        submission: Answer and attempts of the client.
    """

    entry: str
    at_s: float
    submission: Submission


class Load:
    """Submits jobs at a constant rate; each starts with the next entry process in turn."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(max_workers=128)
        self._pacing_executor = ThreadPoolExecutor(max_workers=1)
        self.outcomes: list[Outcome] = []
        self._pacing = self._pacing_executor.submit(self._submit_at_rate)

    def finish(self) -> None:
        """Stop submitting jobs and wait until all submissions have ended."""
        self._stop.set()
        self._pacing.result()
        self._executor.shutdown()
        self._pacing_executor.shutdown()

    def _submit_at_rate(self) -> None:
        names, number, started = list(self._cluster.entries), 0, time.monotonic()
        while not self._stop.wait(max(0.0, started + number / JOBS_PER_S - time.monotonic())):
            self._executor.submit(self._submit, names[number % len(names)], number % len(names))
            number += 1

    def _submit(self, entry: str, first: int) -> None:
        client = Client(
            entries=self._cluster.callers,
            first=first,
            answer_timeout_s=ANSWER_TIMEOUT_S,
            give_up_s=GIVE_UP_S,
        )
        tasks = [{"id": f"t{number}", "body": {"run_ms": RUN_MS}} for number in range(TASKS)]
        submission = client.submit({"service": SERVICE, "kind": KIND, "tasks": tasks})
        self.outcomes.append(Outcome(entry, time.monotonic(), submission))


class Fault(NamedTuple):
    """A fault to inject, and the entry processes that should keep serving or resume."""

    inject: Callable[[Cluster], None]
    survivors: tuple[str, ...]


def _kill_entry(cluster: Cluster) -> None:
    cluster.kill("north-1")


def _freeze_entry(cluster: Cluster) -> None:
    cluster.signal("north-1", signal.SIGSTOP)
    time.sleep(FAULT_S)
    cluster.signal("north-1", signal.SIGCONT)


def _restart_all(cluster: Cluster) -> None:
    for name in cluster.entries:
        cluster.kill(name)
    _start_entries(cluster, *cluster.entries)


def _cut_zone_off(cluster: Cluster) -> None:
    cluster.network.isolate(["north-1", "north-2"])
    time.sleep(FAULT_S)
    cluster.network.heal()


def _lose_disk(cluster: Cluster) -> None:
    cluster.lose_disk("south-1")
    _start_entries(cluster, "south-1")
    wait_for(lambda: _has_recovered(cluster, "south-1"), "recovery", timeout_s=RECOVERY_TIMEOUT_S)


def _lose_second_voter(cluster: Cluster) -> None:
    _lose_disk(cluster)
    cluster.lose_disk("east-1")


def _kill_runner(cluster: Cluster) -> None:
    cluster.kill("north-a")


ENTRIES = ("north-1", "north-2", "south-1", "east-1")
FAULTS = {
    "entry process killed": Fault(_kill_entry, ENTRIES[1:]),
    "entry process frozen 4 s": Fault(_freeze_entry, ENTRIES[1:]),
    "all entry processes restarted": Fault(_restart_all, ENTRIES),
    "zone cut off 4 s": Fault(_cut_zone_off, ENTRIES),
    "disk of a voter lost": Fault(_lose_disk, ("north-1", "north-2", "east-1")),
    "second voter lost after repair": Fault(_lose_second_voter, ("north-1", "north-2")),
    "runner killed": Fault(_kill_runner, ENTRIES),
}


def measure(fault: Fault) -> dict[str, Any]:
    """Inject one fault into a new cluster under load; return the measured figures."""
    with tempfile.TemporaryDirectory(prefix="kumquatlift-") as folder:
        document = Path(folder) / "document.toml"
        document.write_text(tomli_w.dumps(_document()))
        with Cluster(
            folder=Path(folder), document=document, zones=ZONES, voters=VOTERS, is_proxied=True
        ) as cluster:
            _start_cluster(cluster)
            figures = _run(cluster, fault)
            # The cluster isn't used any further, so a graceful shutdown would only take time.
            cluster.close(force=True)
    return figures


def _run(cluster: Cluster, fault: Fault) -> dict[str, Any]:
    readings = RunnerReadings(list(cluster.runners.values()))
    if fault.inject is _kill_runner:
        # Tasks that the runner starts between this reading and the kill are not counted.
        warm_up = Load(cluster)
        time.sleep(LOAD_BEFORE_FAULT_S)
        warm_up.finish()
        readings.read_before_exit(cluster.runners["north-a"])
    load = Load(cluster)
    time.sleep(LOAD_BEFORE_FAULT_S)
    injected_at = time.monotonic()
    fault.inject(cluster)
    time.sleep(LOAD_AFTER_FAULT_S)
    until = time.monotonic()
    load.finish()
    totals = readings.since_start(repeatable=())
    return _summarize(load.outcomes, fault, injected_at, until, totals)


def _summarize(
    outcomes: list[Outcome], fault: Fault, since: float, until: float, totals: dict[str, int]
) -> dict[str, Any]:
    gaps = [_longest_gap(outcomes, name, since, until) for name in fault.survivors]
    codes = Counter(f"{int(row.submission.code)} {row.submission.code.label}" for row in outcomes)
    return {
        "resumed_s": round(max(gaps), 2),
        "jobs": len(outcomes),
        "answers": dict(codes),
        "answers_lost": sum(row.submission.lost for row in outcomes),
        "without_final_answer": sum(
            isinstance(row.submission.answer, Failure) and row.submission.sent > 0
            for row in outcomes
        ),
        "never_accepted": sum(row.submission.sent == 0 for row in outcomes),
        "last_answers": [
            row.submission.answer.reason
            for row in outcomes
            if isinstance(row.submission.answer, Failure)
        ],
        "doubled_starts": totals.get("doubled", 0),
        "messages_per_task": round(totals["requests"] / max(1, totals["completed"]), 3),
    }


def _longest_gap(outcomes: list[Outcome], entry: str, since: float, until: float) -> float:
    """Return the longest time without a complete answer, in seconds, within a period.

    Args:
        outcomes: All submissions that have ended.
        entry: Entry process; only jobs that it got first are considered.
        since: Start of the period, monotonic seconds.
        until: End of the period, monotonic seconds.
    """
    times = sorted(
        row.at_s
        for row in outcomes
        if row.entry == entry and row.submission.code is ResultCode.COMPLETE
    )
    # The last complete answer before the fault begins the first gap.
    start = max((at for at in times if at <= since), default=since)
    marks = [start, *(at for at in times if since < at <= until), until]
    return max(after - before for before, after in pairwise(marks))


def _start_cluster(cluster: Cluster) -> None:
    cluster.start_entries()
    for name, zone in RUNNERS:
        entry_names = [entry.name for entry in cluster.entries.values() if entry.zone == zone]
        cluster.start_runners(name, service=SERVICE, zone=zone, entry_names=entry_names)
    cluster.wait_until_started()
    for address in cluster.callers:
        client = Client(entries=[address], give_up_s=GIVE_UP_S)
        tasks = [{"id": "t", "body": {"run_ms": 1}}]
        if isinstance(
            client.submit({"service": SERVICE, "kind": KIND, "tasks": tasks}).answer, Failure
        ):
            raise RuntimeError(f"a job submitted through {address} was not complete")


def _start_entries(cluster: Cluster, *names: str) -> None:
    cluster.start_entries(*names)
    cluster.wait_until_started()


def _has_recovered(cluster: Cluster, name: str) -> bool:
    dump = cluster.ask_operators(name, "GET", "/v1/dump")
    if isinstance(dump, Failure):
        return False
    state = dump["config"]
    return bool(state["is_voter"]) and not state["is_recovering"]


def _document() -> dict[str, Any]:
    kind = {
        "repeatable": False,
        "expected_ms": RUN_MS,
        "lease_ms": 2_000,
        "deadline_ms": 8_000,
    }
    return {
        "system": {"voters": list(VOTERS)},
        "services": {SERVICE: {"slots": SLOTS, "connections": 16, "kinds": {KIND: kind}}},
    }


def _show_table(results: dict[str, list[dict[str, Any]]]) -> None:
    table = Table(
        "fault", "service resumes, s", "answers lost", "no final answer", "doubled", "messages/task"
    )
    for name, runs in results.items():
        table.add_row(
            name,
            _median_and_range([run["resumed_s"] for run in runs]),
            _median_and_range([run["answers_lost"] for run in runs]),
            str(sum(run["without_final_answer"] for run in runs)),
            str(sum(run["doubled_starts"] for run in runs)),
            _median_and_range([run["messages_per_task"] for run in runs]),
        )
    Console(width=120).print(table)


def _median_and_range(values: list[float]) -> str:
    """Format the median, the lowest and the highest of some values."""
    return f"{statistics.median(values):g} ({min(values):g} to {max(values):g})"


def main() -> int:
    """Measure the named faults; return 1 if a job got no final answer or a task started twice."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=2)
    parser.add_argument("faults", nargs="*", default=list(FAULTS), metavar="FAULT")
    args = parser.parse_args()
    results: dict[str, list[dict[str, Any]]] = {name: [] for name in args.faults}
    for _ in range(args.repetitions):
        for name, runs in results.items():
            runs.append(measure(FAULTS[name]))
            print(json.dumps({"fault": name, **runs[-1]}), flush=True)
    _show_table(results)
    all_runs = [run for runs in results.values() for run in runs]
    return int(any(run["without_final_answer"] or run["doubled_starts"] for run in all_runs))


if __name__ == "__main__":
    raise SystemExit(main())
