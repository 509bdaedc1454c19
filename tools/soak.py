"""Soak test: injects random faults into the real programs and checks their guarantees.

``python -m tools.soak --seed 7 --seconds 20`` runs one schedule of faults, which the same seed
repeats. The cores and frontends are real processes; the callers and upstreams are simulated in this
process, which sees every answer and every start of a task. It ends only processes that it started.
"""

import argparse
import random
import re
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from tools.soak_faults import FAULT_KINDS, FaultSchedule
from tools.users_platform import (
    CONFIG,
    CONNECTION_LOST,
    NO_ANSWER,
    SUBMIT_TIMEOUT_S,
    UNREADABLE,
    Cluster,
    JobRequest,
    PersistentConnections,
    try_call,
    wait_until,
)

PORT = 18720
NETWORK = "127.0.9"
CALLERS = 6
FRONTENDS = 2
UPSTREAMS = 6
# Time after the last fault within which every accepted job must have ended. It covers the longest
# lease, an election, the backoff of upstreams that failed and a queue of a few seconds.
SETTLE_S = 25.0
# Delay of a caller after a refusal; without it, refusals alone would keep the processors busy.
REFUSED_DELAY_S = 0.05
# Limits that the platform guarantees: the time after an acknowledged cancel within which the tasks
# of the job have stopped, the time from the last fault until jobs are accepted again, and the
# memory and open file descriptors of a process.
CANCEL_LIMIT_S = 3.0
RECOVERY_LIMIT_S = 12.0
MAX_MEMORY_MB = 296
MAX_OPEN_FILES = 4096
# A process may exit without reading a request that arrived less than this before.
UNREAD_WINDOW_S = 0.2
# Attempts of a task that the cluster's configuration allows.
MAX_ATTEMPTS = 3
# Shares of the jobs whose tasks all fail, and of those with two steps.
FAILING_SHARE = 0.05
TWO_STEPS_SHARE = 0.2
# The threads of a proxy notice a reset only at their next poll, so a request sent up to this long
# after the reset may still use the closed connection.
PROXY_CLOSE_S = 0.1
# Number of times that a caller submits a job, statuses after which it does not submit it again, and
# the delay before it does: the time after which callers submit again, in seconds.
MAX_SUBMISSIONS = 3
ANSWERS = frozenset((200, 429, 503))
RESUBMIT_S = 1.3
# Stands for the status of a submission whose caller closed its connection.
LEFT = -2
# Shares of the callers of jobs that are answered at their end: those that close their connection
# after up to MAX_STAY_S, about the time of half of the jobs, and submit the job again through
# another frontend; and, of the others, those that submit it through all frontends at a time.
LEAVING_SHARE = 0.5
TWICE_SHARE = 0.2
MAX_STAY_S = 0.5
# States that a submission may be told that is answered at the end, and those of a stored job.
RESULT_STATES = ("completed", "failed")
JOB_STATES = (*RESULT_STATES, "cancelled", "queued", "running")
# Cancelled jobs run longer than CANCEL_LIMIT_S, so that one whose cancel has no effect is seen.
CANCELLED_SHARE = 0.1
CANCELLED_RUN_MS = 6000

# Shortest schedule that a failing one is reduced to; a shorter one rarely has a second fault.
MIN_SECONDS = 2.0


class Soak:
    """One soak run.

    Args:
        seed: Seed of the schedule of faults.
        seconds: Time during which faults are injected.
        folder: Folder for settings, logs and data.
        mutant: Name of a deliberate defect of the programs, which a check must detect.
        only: Kinds of faults to inject; empty for all.
        settle_s: Time after the last fault within which accepted jobs must end, in seconds.
        network: First three numbers of the loopback addresses; concurrent runs need different ones.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: Path,
        mutant: str = "",
        only: tuple[str, ...] = (),
        settle_s: float = SETTLE_S,
        network: str = NETWORK,
    ) -> None:
        self._settle_s = settle_s
        self._cluster = Cluster(
            folder=folder,
            port=PORT,
            frontends=FRONTENDS,
            upstreams=UPSTREAMS,
            network=network,
            mutant=mutant,
            has_proxies=True,
        )
        self._stop_callers = threading.Event()
        self._lock = threading.Lock()
        # Number of the last job; higher than that of the job that Cluster.wait_ready submits.
        self._last_number = 1000
        # Number of checks of each kind, which shows that the run exercised them.
        self.checked: Counter[str] = Counter()
        self.violations: list[str] = []
        # Jobs to check after the faults: logged ones that were accepted, and those refused by
        # every answer.
        self._accepted: list[JobRequest] = []
        self._refused: list[int] = []
        # Jobs for which a cancel was sent, and the monotonic times of acknowledged cancels.
        self._cancel_sent: set[int] = set()
        self._cancelled: dict[int, float] = {}
        # Jobs that the leader doesn't log.
        self._best_effort: set[int] = set()
        # The last version that was accepted; Cluster.configure puts the first one in force.
        self._acknowledged_version = 3
        self._fault_schedule = FaultSchedule(
            cluster=self._cluster,
            folder=folder,
            seed=seed,
            seconds=seconds,
            only=only,
            report_violation=self._report_violation,
        )
        self._faults_ended_at = 0.0

    @property
    def faults(self) -> Counter[str]:
        """Number of injected faults of each kind."""
        return self._fault_schedule.counts

    def run(self) -> None:
        """Submit jobs and replace configurations during the faults, then check the guarantees."""
        try:
            self._cluster.configure()
            self._cluster.wait_ready()
            with ThreadPoolExecutor(CALLERS + 1, thread_name_prefix="caller") as executor:
                futs = [executor.submit(self._run_caller, index) for index in range(CALLERS)]
                futs.append(executor.submit(self._replace_configurations))
                try:
                    self._fault_schedule.run()
                finally:
                    # Otherwise the executor would wait forever when a fault can't be injected.
                    self._stop_callers.set()
                self._fault_schedule.heal()
                self._faults_ended_at = time.monotonic()
                for fut in futs:
                    fut.result()
            self._check_after_faults()
        finally:
            self._cluster.close()

    # Callers and the operator

    def _run_caller(self, index: int) -> None:
        rng = random.Random(index)
        conns = PersistentConnections()
        while not self._stop_callers.is_set():
            job = self._next_job(rng)
            frontend_index = rng.randrange(FRONTENDS)
            statuses: list[int] = []
            if not job.is_logged and rng.random() < LEAVING_SHARE:
                statuses.append(self._submit_and_leave(job, frontend_index, conns, rng))
                if statuses == [LEFT]:
                    frontend_index = (frontend_index + 1) % FRONTENDS
            elif not job.is_logged and rng.random() < TWICE_SHARE:
                statuses += self._submit_twice(job)
            while len(statuses) < MAX_SUBMISSIONS and not ANSWERS.intersection(statuses):
                if statuses and statuses[-1] != LEFT:
                    time.sleep(RESUBMIT_S)
                    frontend_index = rng.randrange(FRONTENDS)
                statuses.append(self._submit(job, frontend_index, conns=conns))
            with self._lock:
                if 200 in statuses and job.is_logged:
                    self._accepted.append(job)
                if set(statuses) <= {503, 429}:
                    self._refused.append(job.number)
            if statuses == [200]:
                self._query_on_kept_connection(job, frontend_index, conns)
            if job.run_ms == CANCELLED_RUN_MS and 200 in statuses:
                time.sleep(rng.random())
                self._cancel(job.number, frontend_index)
            self.checked["answers"] += 1
            if 200 not in statuses:
                time.sleep(REFUSED_DELAY_S)
        conns.close()

    def _next_job(self, rng: random.Random) -> JobRequest:
        with self._lock:
            self._last_number += 1
            number = self._last_number
        if rng.random() < CANCELLED_SHARE:
            # Several long tasks would take all resources from the other jobs.
            return JobRequest(number, tasks=1, run_ms=CANCELLED_RUN_MS)
        job = JobRequest(
            number,
            tasks=rng.randrange(1, 5),
            run_ms=rng.choice([20, 60, 200, 900]),
            is_logged=rng.random() < 0.5,
            steps=2 if rng.random() < TWO_STEPS_SHARE else 1,
            fails=rng.random() < FAILING_SHARE,
        )
        if not job.is_logged:
            self._best_effort.add(number)
        return job

    def _submit(
        self,
        job: JobRequest,
        frontend_index: int,
        *,
        conns: PersistentConnections | None = None,
        timeout_s: float = SUBMIT_TIMEOUT_S,
    ) -> int:
        """Submit a job, check the answer, and return the status."""
        sent_at = time.monotonic()
        status, body = self._cluster.submit_job(
            job, frontend=frontend_index, conns=conns, timeout_s=timeout_s
        )
        if status == CONNECTION_LOST:
            self._check_unanswered(frontend_index, job.number, sent_at)
        elif body == UNREADABLE:
            self._report_violation(f"job {job.number:016x} got a success that can't be read")
        elif status == 200 and not job.is_logged:
            state = body.get("state") if isinstance(body, dict) else None
            self.checked[f"submissions told {state}"] += 1
            self._check_state(job, state)
        elif status not in (NO_ANSWER, 200, 429, 503, 504):
            self._report_violation(f"job {job.number:016x} was answered with {status}")
        return status

    def _submit_and_leave(
        self,
        job: JobRequest,
        frontend_index: int,
        conns: PersistentConnections,
        rng: random.Random,
    ) -> int:
        """Submit a job, close the connection if no answer has come by then, and wait to return.

        Returns:
            The status; ``LEFT`` if the caller has left.
        """
        stay_s = rng.uniform(0.01, MAX_STAY_S)
        status = self._submit(job, frontend_index, conns=conns, timeout_s=stay_s)
        if status != NO_ANSWER:
            return status
        self.checked["callers that left and returned"] += 1
        time.sleep(rng.choice([0.0, RESUBMIT_S]))
        return LEFT

    def _submit_twice(self, job: JobRequest) -> list[int]:
        """Submit a job through two frontends at a time, and return both statuses."""
        self.checked["jobs submitted twice at a time"] += 1
        with ThreadPoolExecutor(FRONTENDS) as executor:
            return list(executor.map(partial(self._submit, job), range(FRONTENDS)))

    def _query_on_kept_connection(
        self, job: JobRequest, frontend_index: int, conns: PersistentConnections
    ) -> None:
        """Query a job on the connection of its only submission; the answer must be its own."""
        status, body = self._cluster.query(job, frontend_index, conns)
        if body == UNREADABLE:
            self._report_violation(f"the state of job {job.number:016x} can't be read")
        elif status == 200:
            self.checked["queries on kept connections"] += 1
            # A job that was answered at its end has ended for good.
            self._check_state(job, body.get("state"), allowed=JOB_STATES if job.is_logged else ())

    def _check_state(
        self, job: JobRequest, state: object, *, allowed: tuple[str, ...] = ()
    ) -> None:
        """Check a state that a caller was told against the runs of its job.

        Args:
            job: The job.
            state: The state.
            allowed: States other than results that are allowed.
        """
        if state in allowed and state not in RESULT_STATES:
            return
        reason = self._cluster.history.explain_result(job.task_names, state, MAX_ATTEMPTS)
        if reason:
            self._report_violation(
                f"the caller of job {job.number:016x} is told {state!r}, {reason}"
            )

    def _cancel(self, number: int, frontend_index: int) -> None:
        self._cancel_sent.add(number)
        status, body = self._cluster.cancel(number, frontend_index)
        if status in (200, 410):
            self._cancelled[number] = time.monotonic()
        if status == 200 and (body == UNREADABLE or body.get("state") not in JOB_STATES):
            self._report_violation(f"the cancel of job {number:016x} is told {body}")

    def _replace_configurations(self) -> None:
        version = 3
        while not self._stop_callers.is_set():
            version += 1
            body = {**CONFIG, "version": version}
            core = self._cluster.cores[version % len(self._cluster.cores)]
            if try_call(core.control, "POST", "/api/config/replace", body)[0] == 200:
                self._acknowledged_version = version
            acknowledged_version = self._acknowledged_version
            time.sleep(0.4)
            other = self._cluster.cores[(version + 1) % len(self._cluster.cores)]
            status, answer = try_call(other.control, "GET", "/api/config/describe")
            if answer == UNREADABLE:
                self._report_violation("a configuration can't be read")
            elif status == 200:
                self.checked["configurations read"] += 1
                if answer["version"] < acknowledged_version:
                    self._report_violation(
                        f"version {answer['version']} was read after version "
                        f"{acknowledged_version} was accepted"
                    )

    # Checks

    def _report_violation(self, text: str) -> None:
        with self._lock:
            self.violations.append(text)

    def _check_unanswered(self, frontend_index: int, number: int, sent_at: float) -> None:
        """Report a connection that closed without an answer, unless a fault explains it.

        The accepted reasons are a frontend that couldn't be reached, one that was killed, a reset
        by the proxy, and a frontend that shut down before it could read the request.
        """
        now = time.monotonic()
        frontend = self._cluster.frontends[frontend_index]
        if self._cluster.caller_proxies[frontend_index].connect_failed_at >= sent_at:
            return
        self.checked["connections closed without an answer"] += 1
        # The caller may see the closed connection before the time of the kill is recorded.
        time.sleep(UNREAD_WINDOW_S)
        is_broken = frontend.killed_at >= sent_at or frontend.reset_at + PROXY_CLOSE_S >= sent_at
        is_unread = frontend.ended_at >= sent_at and now - sent_at < UNREAD_WINDOW_S
        if not is_broken and not is_unread:
            self._report_violation(
                f"job {number:016x} got no answer: its connection was closed after "
                f"{now - sent_at:.1f} s by {frontend.host}, "
                f"{now - frontend.ended_at:.1f} s after its last exit and "
                f"{now - frontend.started_at:.1f} s after its last start"
            )

    def _check_after_faults(self) -> None:
        try:
            remaining_s = max(0.0, self._faults_ended_at + RECOVERY_LIMIT_S - time.monotonic())
            wait_until(lambda: self._cluster.submit(self._last_number + 1) == 200, remaining_s)
        except AssertionError:
            self._report_violation(
                f"no job was accepted within {RECOVERY_LIMIT_S} s after the last fault"
            )
        self.checked["service after the last fault"] += 1
        self._check_processes()
        settled_at = time.monotonic() + self._settle_s
        for job in self._accepted:
            self.checked["accepted jobs that ended"] += 1
            remaining_s = max(0.0, settled_at - time.monotonic())
            try:
                wait_until(lambda n=job.number: self._has_ended(n), remaining_s)  # type: ignore[misc]
            except AssertionError:
                state = self._cluster.state(job.number)
                self._report_violation(
                    f"job {job.number:016x} was accepted and is {state or 'unknown'}"
                )
            else:
                state = self._cluster.state(job.number)
                self._check_state(job, state, allowed=("", "cancelled"))
        for number in self._refused:
            self.checked["refused jobs that did not run"] += 1
            if self._cluster.history.has_started(f"{number:016x}"):
                self._report_violation(f"job {number:016x} was refused and has run")
        for number, at in self._cancelled.items():
            self.checked["cancels"] += 1
            if self._cluster.history.last_event_at(f"{number:016x}") > at + CANCEL_LIMIT_S:
                self._report_violation(
                    f"job {number:016x} was cancelled, but its tasks kept running"
                )
        self.checked["starts"] = sum(
            1 for seen in self._cluster.history.events if seen.kind == "start"
        )
        self.violations += self._cluster.history.violations
        for task in self._cluster.history.repeated:
            # A best-effort job isn't logged, so it may run again when the caller resubmits it.
            if self._is_logged(task):
                self._report_violation(f"{task} starts again after its completion was acknowledged")
        for task in self._cluster.history.started_after_failures(MAX_ATTEMPTS):
            if self._is_logged(task):
                self._report_violation(f"{task} starts after {MAX_ATTEMPTS} failed attempts")

    def _is_logged(self, task: str) -> bool:
        return int(task.split(".")[0], 16) not in self._best_effort

    def _check_processes(self) -> None:
        for program in (*self._cluster.cores, *self._cluster.frontends):
            self.checked["processes measured"] += 1
            if not program.is_running:
                self._report_violation(f"{program.host} exited unexpectedly")
            if program.memory_mb > MAX_MEMORY_MB:
                self._report_violation(f"{program.host} uses {program.memory_mb:.0f} MB of memory")
            if program.open_files > MAX_OPEN_FILES:
                self._report_violation(
                    f"{program.host} has {program.open_files} open file descriptors"
                )

    def _has_ended(self, number: int) -> bool:
        state = self._cluster.state(number)
        return is_expected_end(state, is_cancel_sent=number in self._cancel_sent)


def is_expected_end(state: str, *, is_cancel_sent: bool) -> bool:
    """Return whether an accepted job may have this state once the run has settled.

    If a cancel was sent, the job may be cancelled or no longer known, even when the answer to the
    cancel was lost.
    """
    return state in RESULT_STATES or (is_cancel_sent and state in ("cancelled", ""))


def shrink(
    seed: int, seconds: float, kinds: tuple[str, ...], violation: str, *, network: str
) -> tuple[tuple[str, ...], float]:
    """Find fewer kinds of faults and a shorter time that still cause the same violation.

    The processes run in real time, so a schedule that fails only sometimes may pass here and is
    then not reduced further.

    Args:
        seed: Seed of a run that failed.
        seconds: Time with faults of that run.
        kinds: Kinds of faults that were enabled.
        violation: A violation of that run, which is compared without its numbers.
        network: First three numbers of the loopback addresses.

    Returns:
        Kinds of faults, and time with faults in seconds.
    """

    def fails(kinds: tuple[str, ...], length_s: float) -> bool:
        with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
            soak = Soak(
                seed=seed, seconds=length_s, folder=Path(folder), only=kinds, network=network
            )
            soak.run()
        return _without_numbers(violation) in map(_without_numbers, soak.violations)

    for kind in kinds:
        fewer = tuple(other for other in kinds if other != kind)
        if fewer and fails(fewer, seconds):
            kinds = fewer
    while seconds > MIN_SECONDS and fails(kinds, seconds / 2):
        seconds /= 2
    return kinds, seconds


def _without_numbers(violation: str) -> str:
    return re.sub(r"[0-9a-f.]*[0-9][0-9a-f.]*", "#", violation)


def main() -> None:
    """Run the seeds that the command line names and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="time with faults of each seed")
    parser.add_argument(
        "--only",
        action="append",
        default=[],
        choices=FAULT_KINDS,
        metavar="KIND",
        help="kind of fault to inject; may be repeated",
    )
    parser.add_argument("--network", default=NETWORK, help="first three numbers of the addresses")
    parser.add_argument("--shrink", action="store_true", help="reduce schedules that fail")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(
            seed=seed,
            seconds=args.seconds,
            folder=folder,
            only=tuple(args.only),
            network=args.network,
        )
        soak.run()
        faults = ", ".join(f"{name} {count}" for name, count in sorted(soak.faults.items()))
        checked = ", ".join(f"{name} {count}" for name, count in sorted(soak.checked.items()))
        print(f"seed {seed}: faults: {faults}\n  checked: {checked}")
        for text in soak.violations:
            print(f"  VIOLATION {text}; logs in {folder}")
        if soak.violations:
            failed += 1
            if args.shrink:
                kinds, seconds = shrink(
                    seed,
                    args.seconds,
                    tuple(args.only) or FAULT_KINDS,
                    soak.violations[0],
                    network=args.network,
                )
                print(f"  still fails after {seconds:g} s of: {', '.join(kinds)}")
        else:
            shutil.rmtree(folder)
    print(f"{args.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
