"""The processes that scenarios run against, and the jobs that they submit."""

import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from kumquatlift.client import Client, Submission, call
from kumquatlift.failure import Failure
from tools.cluster import Cluster, wait_for

T = TypeVar("T")
SERVICE = "work"
# Name and zone of the runners, each a process of its own. South has only one, so that a zone whose
# runners are all killed has to use those of the other zone.
RUNNERS = {"north-a": "north", "north-b": "north", "south-a": "south"}
DOCUMENT = Path(__file__).with_name("document.toml")
ANSWER_TIMEOUT_S = 20.0


class Job(NamedTuple):
    """A job: the fields of its request and the future answer to its submission."""

    fields: dict[str, Any]
    answer: Future[dict[str, Any] | Failure]

    @property
    def id(self) -> str:
        """The job id."""
        return str(self.fields["id"])


class World:
    """Entry processes, their runners, and callers in background threads.

    Args:
        document: Configuration document.
        zones: Availability zone of each entry process.
        voters: Names of the entry processes with a disk.
        is_proxied: Whether network faults can be injected between the entry processes.
    """

    def __init__(
        self,
        *,
        document: Path = DOCUMENT,
        zones: Sequence[str] = ("north", "north", "south"),
        voters: Sequence[str] = ("north-1", "north-2", "south-1"),
        is_proxied: bool = False,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="kumquatlift-")
        self._executor = ThreadPoolExecutor(max_workers=32)
        self._last_readings: dict[str, dict[str, Any]] = {}
        self.cluster = Cluster(
            folder=Path(self._folder.name),
            document=document,
            zones=zones,
            voters=voters,
            is_proxied=is_proxied,
        )

    def start(self) -> None:
        """Start all processes that are not running; wait until each entry process answers jobs."""
        cluster = self.cluster
        ended = [name for name in cluster.entries if not cluster.is_running(name)]
        if ended:
            cluster.start_entries(*ended)
        for name in RUNNERS:
            if not cluster.is_running(name):
                self.start_runner(name)
        cluster.wait_until_started()
        for name in cluster.entries:
            submission = self.submit_until_answered(name)
            assert submission.code == 1000, submission

    def start_runner(self, name: str) -> None:
        """Start one runner."""
        zone = RUNNERS.get(name, "north")
        entries = self.cluster.entries.values()
        # With proxies, runners announce themselves only within their zone, since a cut between
        # zones would also separate them from the entry processes of other zones.
        entry_names = [
            entry.name for entry in entries if entry.zone == zone and entry.peers_announced
        ]
        self.cluster.start_runners(name, service=SERVICE, zone=zone, entry_names=entry_names)

    def callers(self, entry: str) -> str:
        """Return the address of an entry process for callers."""
        return self.cluster.entries[entry].callers

    def submit(self, entry: str, kind: str, count: int, run_ms: int, **extra: Any) -> Job:
        """Submit a job with a new id in the background, once, without resubmission."""
        return self.resubmit(self.prepare(entry, kind, count, run_ms, **extra), entry)

    def prepare(self, entry: str, kind: str, count: int, run_ms: int, **extra: Any) -> Job:
        """Return a job with an id from a ticket of an entry process, to be submitted later."""
        ticket = call(self.callers(entry), "POST", "/v1/tickets", payload={})
        assert not isinstance(ticket, Failure), ticket
        fields = {**_fields(kind, count, run_ms), **extra}
        fields["id"] = f"{ticket['ledger']}.{time.monotonic_ns()}"
        return Job(fields, Future())

    def resubmit(self, job: Job, entry: str) -> Job:
        """Send a job with its id to an entry process, once, in the background."""
        fut = self._executor.submit(
            call,
            self.callers(entry),
            "POST",
            "/v1/jobs",
            payload=job.fields,
            timeout_s=ANSWER_TIMEOUT_S,
        )
        return Job(job.fields, fut)

    def resubmit_until_final(self, job: Job, entry: str) -> dict[str, Any]:
        """Send a job to one entry process until the answer doesn't ask for a resubmission.

        Returns:
            The final answer.
        """
        answers: list[dict[str, Any]] = []

        def is_final() -> bool:
            answer = self.resubmit(job, entry).answer.result()
            if isinstance(answer, Failure):
                return False
            answers.append(answer)
            return answer["resubmit"] != "same-id"

        wait_for(is_final, "a final answer", timeout_s=ANSWER_TIMEOUT_S)
        return answers[-1]

    def submit_until_answered(self, entry: str, run_ms: int = 10) -> Submission:
        """Submit a small job with a client that resubmits it until it has a final answer."""
        client = Client(
            entries=[self.callers(entry)], answer_timeout_s=5, give_up_s=ANSWER_TIMEOUT_S
        )
        return client.submit(_fields("once", 4, run_ms))

    def in_background(self, function: Callable[..., T], *arguments: Any) -> Future[T]:
        """Call a function in another thread, so that the caller can wait with a time limit."""
        return self._executor.submit(function, *arguments)

    def reading(self, runner: str) -> dict[str, Any]:
        """Return the statistics of a runner, or the last ones read if it doesn't answer."""
        answer = call(self.cluster.runners[runner], "GET", "/starts")
        if not isinstance(answer, Failure):
            self._last_readings[runner] = answer
        return self._last_readings[runner]

    def has_started(self, job: Job, runner: str) -> bool:
        """Return whether a runner has started a task of a job."""
        return any(row["job"] == job.id for row in self.reading(runner)["starts"])

    def starts(self, job: Job) -> Counter[str]:
        """Return the number of starts of each task of a job, summed over all runners."""
        readings = [self.reading(name) for name in self.cluster.runners]
        return Counter(
            row["task"] for reading in readings for row in reading["starts"] if row["job"] == job.id
        )

    def close(self) -> None:
        """Kill all processes and delete their files."""
        self.cluster.close(force=True)
        self._executor.shutdown()
        self._folder.cleanup()


def _fields(kind: str, count: int, run_ms: int) -> dict[str, Any]:
    tasks = [{"id": f"t{number}", "body": {"run_ms": run_ms}} for number in range(count)]
    return {"service": SERVICE, "kind": kind, "tasks": tasks}
