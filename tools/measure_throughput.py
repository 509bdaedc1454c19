"""Measures jobs and tasks per second with one entry process and with three."""

import statistics
import tempfile
import threading
import time
from pathlib import Path

import tomli_w

from kumquatlift.client import call
from kumquatlift.failure import Failure
from tools.cluster import Cluster
from tools.measure_entry import cpu_s, rss_kb, small_job, submit_one

LOAD_S = 6.0
CLIENTS_PER_ENTRY = 8
RUNNER_PROCESSES_PER_ZONE = 2
RUNNERS_PER_PROCESS = 3
RUN_MS = 1


def measure(zones: list[str]) -> None:
    """Run clients against one entry process per zone; print a row for docs/benchmarks.md."""
    kinds = {"batch-1": {"expected_ms": RUN_MS, "repeatable": True}}
    source = {"system": {"voters": [f"{zones[0]}-1"]}, "services": {"s": {"kinds": kinds}}}
    with tempfile.TemporaryDirectory() as scratch:
        document = Path(scratch) / "document.toml"
        document.write_text(tomli_w.dumps(source))
        with Cluster(
            folder=Path(scratch), document=document, zones=zones, voters=[f"{zones[0]}-1"]
        ) as cluster:
            cluster.start_entries()
            for zone in zones:
                for number in range(RUNNER_PROCESSES_PER_ZONE):
                    cluster.start_runners(
                        f"{zone}-r{number}", service="s", zone=zone, copies=RUNNERS_PER_PROCESS
                    )
            cluster.wait_until_started()
            assert all(submit_one(address) for address in cluster.callers)
            _run(cluster, len(zones))


def _run(cluster: Cluster, entries: int) -> None:
    until = time.monotonic() + LOAD_S
    times: list[float] = []
    tasks: list[int] = []

    def client(address: str) -> None:
        while time.monotonic() < until:
            start = time.monotonic()
            reply = call(address, "POST", "/v1/jobs", payload=small_job("batch-1"))
            if not isinstance(reply, Failure) and reply.get("code") == 1000:
                times.append(time.monotonic() - start)
                tasks.append(len(reply["results"]))

    pids = [cluster.pid(name) for name in cluster.entries]
    sent = _requests(cluster)
    before, start = [cpu_s(pid) for pid in pids], time.monotonic()
    threads = [
        threading.Thread(target=client, args=(address,))
        for address in cluster.callers
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - start
    cores = [(cpu_s(pid) - old) / elapsed for pid, old in zip(pids, before, strict=True)]
    messages = (_requests(cluster) - sent) / max(1, sum(tasks))
    quantiles = statistics.quantiles(times, n=100)
    print(
        f"| {entries} | {len(times) / elapsed:.1f} | {sum(tasks) / elapsed:.0f} | "
        f"{min(cores):.2f} to {max(cores):.2f} | {max(map(rss_kb, pids)) / 1000:.0f} MB | "
        f"{quantiles[49]:.2f} | {quantiles[98]:.2f} | {messages:.3f} |"
    )


def _requests(cluster: Cluster) -> int:
    readings = [call(address, "GET", "/starts") for address in cluster.runners.values()]
    return sum(int(row["requests"]) for row in readings if not isinstance(row, Failure))


if __name__ == "__main__":
    measure(["a"])
    measure(["a", "b", "c"])
