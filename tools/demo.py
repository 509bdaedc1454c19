"""A demonstration: runs both example deployments on this machine and kills a runner of each.

Entry processes in three availability zones dispatch jobs to 24 simulated runners, which sleep for
the run times of their tasks. The exit code is 0 when every job got a correct answer.
"""

import sys
import tempfile
import time
import tomllib
from pathlib import Path

from rich.console import Console

from kumquatlift.bench.load import JobOutcome, LoadReport, RunnerReadings, Workload, run_load
from kumquatlift.client import Client, call
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_JOB_TASKS, Document
from kumquatlift.configuration.document_check import read_toml
from kumquatlift.failure import Failure

# Lets the next import work when the file is run as a script, too.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from tools.cluster import ROOT, Cluster

RUNNERS_PER_ZONE = 8
# Factors that divide the run times. The fastest runner, the first one, is killed.
SPEEDS = (5.0, 2.5, 0.5, 1.5, 1.0, 1.0, 0.8, 2.0)
JOBS = 30
JOBS_PER_S = 4.0
KILL_AFTER_JOBS = 8
GIVE_UP_S = 25.0
# The runner is killed while it runs a task, or after this time if it stays idle.
BUSY_TIMEOUT_S = 5.0
EXPLANATION = (
    "1000 complete: the answer contains the result of every task.",
    "4004 attempt-unknown, 4008 partly-run: the killed runner was running tasks of a kind that may "
    "run at most once, so the job failed instead of running them a second time.",
    "Further starts of repeatable tasks: the tasks of the killed runner ran again on others after "
    "their leases had expired, which explains the longest response time.",
    "Runners that could not be read: the killed one; its figures were read just before the kill.",
    "Response time / ideal: 1 is the response time of a job that has all runners to itself, "
    "scheduled with all speeds and run times known in advance.",
)


class Deployment:
    """One example deployment, read from its folder.

    Args:
        folder: Folder with the document and the settings of the entry processes.
    """

    def __init__(self, folder: Path) -> None:
        self.name = folder.name
        self.document = folder / "document.toml"
        doc = read_toml(self.document.read_text(encoding="utf-8"))
        if not isinstance(doc, Document):
            raise ValueError(f"{self.document}: {doc[0]}")
        self.voters = doc.system.voters
        ((self.service, service),) = doc.services.items()
        self.kinds = tuple(service.kinds)
        self.repeatable = [name for name, kind in service.kinds.items() if kind.repeatable]
        settings = [
            tomllib.loads(path.read_text("utf-8")) for path in sorted(folder.glob("*-*.toml"))
        ]
        self.entry_zones = [str(entry["zone"]) for entry in settings]

    @property
    def zones(self) -> list[str]:
        """Availability zones."""
        return sorted(set(self.entry_zones))


def main() -> int:
    """Run the demonstration and return the exit code."""
    console = Console()
    started = time.monotonic()
    reports = {}
    for folder in sorted(path.parent for path in (ROOT / "examples").glob("*/document.toml")):
        deployment = Deployment(folder)
        with tempfile.TemporaryDirectory(prefix="kumquatlift-") as scratch:
            reports[deployment.name] = _show_deployment(deployment, Path(scratch), console)
    failed = [name for name, report in reports.items() if not report.is_sound]
    console.print(f"\nThe demonstration took {time.monotonic() - started:.0f} s.")
    if failed:
        console.print(f"Not every job got a correct answer: {', '.join(failed)}", style="bold red")
        return 1
    console.print("Every job got one correct answer: complete, or a failure with its reason.")
    return 0


def _show_deployment(deployment: Deployment, scratch: Path, console: Console) -> LoadReport:
    console.rule(deployment.name)
    with Cluster(
        folder=scratch,
        document=deployment.document,
        zones=deployment.entry_zones,
        voters=deployment.voters,
    ) as cluster:
        cluster.start_entries()
        victim = _start_runners(deployment, cluster)
        cluster.wait_until_started()
        _warm_up(deployment, cluster)
        console.print(
            f"{len(cluster.entries)} entry processes and {len(cluster.runners)} runners in "
            f"{len(deployment.zones)} availability zones serve {deployment.service!r}.\n"
            f"{JOBS} jobs of up to 100 tasks and one job of {MAX_JOB_TASKS} tasks follow; "
            f"runner {victim} is killed during the run."
        )
        readings = RunnerReadings(list(cluster.runners.values()))
        report = _run_jobs(deployment, cluster, readings, victim, console)
    report.show(console)
    for line in EXPLANATION:
        console.print(f"- {line}", highlight=False)
    return report


def _start_runners(deployment: Deployment, cluster: Cluster) -> str:
    """Start the runners; return the name of the one to kill, which has a process of its own."""
    for zone in deployment.zones:
        name = f"{zone}-runner"
        cluster.start_runners(
            name,
            service=deployment.service,
            zone=zone,
            copies=RUNNERS_PER_ZONE - 1,
            speeds=SPEEDS[1:],
        )
    for zone in deployment.zones:
        cluster.start_runners(
            f"{zone}-last", service=deployment.service, zone=zone, speeds=SPEEDS[:1]
        )
    return f"{deployment.zones[0]}-last"


def _warm_up(deployment: Deployment, cluster: Cluster) -> None:
    """Wait until each entry process knows runners, which lets it answer a small job."""
    tasks = [{"id": f"t{number}", "body": {"run_ms": 10}} for number in range(24)]
    for address in cluster.callers:
        client = Client(entries=[address], give_up_s=GIVE_UP_S)
        submission = client.submit(
            {"service": deployment.service, "kind": deployment.kinds[0], "tasks": tasks}
        )
        if submission.code is not ResultCode.COMPLETE:
            raise RuntimeError(f"no complete answer from {address}: {submission.answer}")


def _run_jobs(
    deployment: Deployment,
    cluster: Cluster,
    readings: RunnerReadings,
    victim: str,
    console: Console,
) -> LoadReport:
    outcomes: list[JobOutcome] = []

    def after_job(outcome: JobOutcome) -> None:
        outcomes.append(outcome)
        if len(outcomes) == KILL_AFTER_JOBS:
            _kill_while_busy(cluster, victim, readings)
            console.print(f"Runner {victim} is killed after {len(outcomes)} answers.")

    workload = Workload(deployment.kinds, JOBS, JOBS_PER_S, tasks=(1, 100), run_ms=(50, 500))
    plan = workload.plan()
    largest = workload._replace(jobs=1, tasks=(MAX_JOB_TASKS, MAX_JOB_TASKS)).plan()[0]
    return run_load(
        [*plan, largest._replace(at_s=plan[-1].at_s + 0.5)],
        service=deployment.service,
        repeatable=deployment.repeatable,
        entries=cluster.callers,
        readings=readings,
        answer_timeout_s=10.0,
        give_up_s=GIVE_UP_S,
        on_done=after_job,
    )


def _kill_while_busy(cluster: Cluster, victim: str, readings: RunnerReadings) -> None:
    address = cluster.runners[victim]
    until = time.monotonic() + BUSY_TIMEOUT_S
    while time.monotonic() < until:
        reading = call(address, "GET", "/starts")
        if isinstance(reading, Failure) or reading["busy"]:
            break
        time.sleep(0.02)
    readings.read_before_exit(address)
    cluster.kill(victim)


if __name__ == "__main__":
    sys.exit(main())
