"""Measures the processor time of an entry process per task, by the number of tasks per request."""

import json
import os
import tempfile
import threading
import time
from pathlib import Path

import tomli_w

from kumquatlift.client import call
from kumquatlift.failure import Failure
from tools.cluster import Cluster, wait_for
from tools.slopes import Slope

LOAD_S = 4.0
IDLE_MEASUREMENT_S = 5.0
SETTLE_S = 3.0
CLIENTS = 8
TASKS_PER_JOB = 64
RUN_MS = 1
RUNNER_PROCESSES = 4
RUNNERS_PER_PROCESS = 3
BATCH_SIZES = (1, 2, 4, 8, 16)


def _write_document(path: Path) -> None:
    kinds = {
        f"batch-{size}": {"tasks_per_request": size, "expected_ms": RUN_MS, "repeatable": True}
        for size in BATCH_SIZES
    }
    source = {"system": {"voters": ["a-1"]}, "services": {"s": {"kinds": kinds}}}
    path.write_text(tomli_w.dumps(source))


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def small_job(kind: str) -> dict[str, object]:
    """Return the fields of a job of short tasks."""
    tasks = [{"id": f"t{number}", "body": {"run_ms": RUN_MS}} for number in range(TASKS_PER_JOB)]
    return {"service": "s", "kind": kind, "tasks": tasks}


def _run_clients(address: str, kind: str) -> int:
    """Submit jobs from several clients, each one at a time; return the number of complete jobs."""
    until = time.monotonic() + LOAD_S
    done = [0] * CLIENTS

    def client(number: int) -> None:
        while time.monotonic() < until:
            reply = call(address, "POST", "/v1/jobs", payload=small_job(kind))
            if not isinstance(reply, Failure) and reply.get("code") == 1000:
                done[number] += 1

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(done)


def entry_slopes() -> list[Slope]:
    """Measure idle processor time by runners, and processor time per task by requests per task.

    The entry process and the runners are real processes.
    """
    points: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        _write_document(folder / "document.toml")
        cluster = Cluster(
            folder=folder, document=folder / "document.toml", zones=["a"], voters=["a-1"]
        )
        with cluster:
            cluster.start_entries()
            for number in range(RUNNER_PROCESSES):
                cluster.start_runners(
                    f"r{number}", service="s", zone="a", copies=RUNNERS_PER_PROCESS
                )
            cluster.wait_until_started()
            address = cluster.callers[0]
            wait_for(lambda: submit_one(address), "a job is complete")
            pid = cluster.pid("a-1")
            slopes = [_idle_slope(cluster, pid)]
            for size in BATCH_SIZES:
                before, start = cpu_s(pid), time.monotonic()
                tasks = _run_clients(address, f"batch-{size}") * TASKS_PER_JOB
                spent, elapsed = cpu_s(pid) - before, time.monotonic() - start
                points.append((1 / size, spent / max(tasks, 1) * 1e6))
                print(
                    json.dumps(
                        {
                            "tasks_per_request": size,
                            "tasks_per_s": round(tasks / elapsed),
                            "cores": round(spent / elapsed, 2),
                            "cpu_us_per_task": round(points[-1][1]),
                            "rss_kb": rss_kb(pid),
                        }
                    )
                )
    return [*slopes, Slope.fit("entry: processor time a task, by requests", "us/request", points)]


def _idle_slope(cluster: Cluster, pid: int) -> Slope:
    """Measure the processor time of an entry process without jobs, by the number of runners."""
    points: list[tuple[float, float]] = []
    for added in (0, 12, 24):
        if added:
            cluster.start_runners(f"idle-{added}", service="s", zone="a", copies=added)
            cluster.wait_until_started()
            time.sleep(SETTLE_S)
        before, start = cpu_s(pid), time.monotonic()
        time.sleep(IDLE_MEASUREMENT_S)
        share = (cpu_s(pid) - before) / (time.monotonic() - start)
        points.append((len(cluster.runners), share * 100))
    for name in ("idle-12", "idle-24"):
        cluster.kill(name)
    time.sleep(SETTLE_S)
    return Slope.fit("entry: idle processor time, by runners", "% of a core per runner", points)


def submit_one(address: str) -> bool:
    """Submit one job; return whether its answer was complete."""
    reply = call(address, "POST", "/v1/jobs", payload=small_job("batch-1"))
    return not isinstance(reply, Failure) and reply.get("code") == 1000


if __name__ == "__main__":
    entry_slopes()
