"""Measures the processor time of a leader for each start of a task, at several fleet sizes.

Run ``python -m tools.measure_leader [UPSTREAMS ...]``. The real authority and its client for
upstreams run in this process; other processes stand in for the upstreams, over TCP. The log commits
after a fixed delay, without a disk or followers.
"""

import cProfile
import logging
import multiprocessing
import pstats
import random
import resource
import sys
import time
from concurrent.futures import Future
from functools import partial
from typing import NamedTuple

import defopt
import structlog

from kumquatlift.authority import (
    Authority,
    JobSpec,
    Limits,
    Operation,
    Queue,
    Reply,
    Request,
    ServingConfig,
    Step,
    UpstreamState,
)
from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.platform._upstream_client import UpstreamClient
from kumquatlift.store import Entry, EventLoop
from tools.experiment import KINDS, SLACK, SPEEDS, TARGET_MS, Kind
from tools.users_platform import run_upstreams

SIZES = (24, 176, 270, 540)
# Fleet size that the rates of ``KINDS`` load to four fifths.
KINDS_FLEET = 24
COMMIT_S = 0.012
ARRIVALS_S = 0.005
UPSTREAMS_PER_PROCESS = 180
HEARTBEAT_S = 1.5
SETTLE_S = 1.0
FILES = 4096


class CommittingLog:
    """A log of one replica that commits each command after ``COMMIT_S``."""

    leader = "measured"
    voters = ("measured",)
    term = 1
    lease_age_s = 0.0
    since_previous_leader_s = 60.0
    has_lease = True
    is_serving = True

    def __init__(self, *, loop: EventLoop) -> None:
        self._loop = loop
        self._entries = 0
        self.authority: Authority | None = None

    def propose(self, data: bytes) -> int | None:
        """Append a command."""
        self._entries += 1
        self._loop.call_after(COMMIT_S, partial(self._commit, self._entries, data))
        return self._entries

    def _commit(self, index: int, data: bytes) -> None:
        if self.authority is not None:
            self.authority.apply(index, Entry(self.term, data))


class Measurement(NamedTuple):
    """Processor time of a leader at one fleet size.

    Args:
        upstreams: Number of upstreams.
        factor: Load, as a multiple of the usual one.
        starts: Starts of tasks per second.
        us_per_start: Processor time of the process for each start, in microseconds.
        busy: Share of the time in which the process was running.
        in_time: Share of the submitted jobs that were completed within their objective.
        refused: Share of the submitted jobs that were refused.
    """

    upstreams: int
    factor: float
    starts: float
    us_per_start: float
    busy: float
    in_time: float
    refused: float


class _Load:
    """Submits jobs at random times and counts the outcomes."""

    def __init__(
        self, *, authority: Authority, loop: EventLoop, states: list[UpstreamState], rate: float
    ) -> None:
        self._authority = authority
        self._loop = loop
        self._states = states
        self._rate = rate
        self._rng = random.Random(1)
        self._next_heartbeat = 0
        self._last_at = time.monotonic()
        self.submitted = self.refused = self.in_time = 0

    def step(self) -> None:
        """Submit the jobs and send the heartbeats that are due since the last call."""
        now = time.monotonic()
        passed_s, self._last_at = now - self._last_at, now
        beats = passed_s / HEARTBEAT_S * len(self._states)
        for _ in range(int(beats + self._rng.random())):
            self._next_heartbeat = (self._next_heartbeat + 1) % len(self._states)
            state = self._states[self._next_heartbeat]
            self._send(Request(Operation.ANNOUNCE, {"upstream": list(state)}))
        for kind in KINDS:
            jobs = passed_s * kind.rate * self._rate
            for _ in range(int(jobs + self._rng.random())):
                self._submit(kind)

    def _submit(self, kind: Kind) -> None:
        work_ms = min(4 * kind.work_ms, self._rng.lognormvariate(0, 0.4) * kind.work_ms)
        tasks = max(1, min(4 * int(kind.tasks), round(self._rng.gauss(kind.tasks, kind.tasks / 3))))
        declared_ms = max(1, int(work_ms * self._rng.lognormvariate(0, 0.4)))
        spec = JobSpec(f"{work_ms:.1f}", (Step(tasks, 8000, 64, 0, declared_ms),))
        job = f"{self.submitted:016x}"
        self.submitted += 1
        fields = {
            "job": job,
            "attempt": "",
            "spec": spec._replace(answers_at_end=True).to_plain(),
            "zone": "z",
            "host": "h",
            "path": f"/{kind.name}/{job}",
            "wait_ms": 10_000,
        }
        due_at = time.monotonic() + (SLACK * work_ms + TARGET_MS) / 1000
        self._send(Request(Operation.SUBMIT, fields)).add_done_callback(
            partial(self._on_reply, due_at)
        )

    def _send(self, request: Request) -> "Future[Reply]":
        return self._authority.handle_request(Request.from_bytes(request.to_bytes()))

    def _on_reply(self, due_at: float, fut: "Future[Reply]") -> None:
        if fut.result().code is ResultCode.OVERLOADED:
            self.refused += 1
        elif time.monotonic() <= due_at:
            self.in_time += 1


def measure(
    upstreams: int,
    factor: float,
    seconds: float,
    profile: cProfile.Profile | None,
    *,
    keeps_apart: bool = False,
) -> Measurement:
    """Run a leader with a number of upstreams and return what it took.

    Args:
        upstreams: Number of upstreams.
        factor: Load, as a multiple of the usual one.
        seconds: Length of the measurement.
        profile: Collects the time by function; None for no profile, which takes time of its own.
        keeps_apart: Whether queues that slow each other down are noticed.
    """
    loop = EventLoop(clock=MonotonicClock())
    section = Blackboard().section("authority")
    config = ServingConfig(
        1,
        tuple(
            Queue(kind.name, "h", f"/{kind.name}/", "s", kind.priority, 3, SLACK, TARGET_MS)
            for kind in KINDS
        ),
        ("s",),
        "{}",
    )
    authority = Authority(
        read_config=lambda _source: config,
        gateway=UpstreamClient(loop=loop),
        loop=loop,
        clock=MonotonicClock(),
        limits=Limits(keeps_apart=keeps_apart),
        section=section,
    )
    log = CommittingLog(loop=loop)
    log.authority = authority
    authority.attach(log)
    states, processes = _start_upstreams(upstreams)
    load = _Load(
        authority=authority, loop=loop, states=states, rate=factor * upstreams / KINDS_FLEET
    )
    marks: list[tuple[float, ...]] = []

    def mark() -> None:
        starts = section.get("starts", 0)
        marks.append((time.thread_time(), starts, load.submitted, load.in_time, load.refused))
        if profile is not None:
            # The first mark begins the measurement, and the second one ends it.
            (profile.enable if len(marks) == 1 else profile.disable)()

    try:
        # The authority serves from the end of its first batch of events.
        loop.call_after(COMMIT_S, partial(_send_all, authority, states))
        loop.call_after(SETTLE_S, partial(loop.call_every, ARRIVALS_S, load.step))
        loop.call_after(2 * SETTLE_S, mark)
        loop.call_after(2 * SETTLE_S + seconds, mark)
        loop.call_after(2 * SETTLE_S + seconds, loop.stop)
        loop.run()
    finally:
        for process in processes:
            process.terminate()
            process.join()
    used_s, starts, submitted, in_time, refused = (
        after - before for before, after in zip(*marks, strict=True)
    )
    return Measurement(
        upstreams,
        factor,
        starts / seconds,
        1e6 * used_s / max(1, starts),
        used_s / seconds,
        in_time / max(1, submitted),
        refused / max(1, submitted),
    )


def _start_upstreams(count: int) -> tuple[list[UpstreamState], list[multiprocessing.Process]]:
    states: list[UpstreamState] = []
    processes: list[multiprocessing.Process] = []
    for first in range(0, count, UPSTREAMS_PER_PROCESS):
        numbers = range(first, min(count, first + UPSTREAMS_PER_PROCESS))
        here, there = multiprocessing.Pipe()
        speeds = [SPEEDS[number % len(SPEEDS)] for number in numbers]
        process = multiprocessing.Process(target=run_upstreams, args=(there, speeds), daemon=True)
        process.start()
        processes.append(process)
        for number, port in zip(numbers, here.recv(), strict=True):
            address = f"127.0.0.1:{port}"
            states.append(
                UpstreamState(
                    f"u{number}", 1, address, "s", "z", 16_000, 32_768, 0, ("a", "r"), False
                )
            )
    return states, processes


def _send_all(authority: Authority, states: list[UpstreamState]) -> None:
    requests = [Request(Operation.REPLACE_CONFIG, {"version": 1, "source": "{}"})]
    requests += [Request(Operation.ANNOUNCE, {"upstream": list(state)}) for state in states]
    for request in requests:
        authority.handle_request(Request.from_bytes(request.to_bytes()))


def run(
    *upstreams: int,
    factor: float = 1.0,
    seconds: float = 5.0,
    profile: bool = False,
    keeps_apart: bool = False,
) -> None:
    """Print the processor time of a leader for each start of a task.

    Args:
        upstreams: Fleet sizes; 24, 176, 270 and 540 by default.
        factor: Load, as a multiple of the usual one.
        seconds: Length of each measurement.
        profile: Whether to print the functions that take the most time as well.
        keeps_apart: Whether queues that slow each other down are noticed, as `deploy/` sets it.
    """
    if factor <= 0 or seconds <= 0 or any(not 0 < each <= FILES // 4 for each in upstreams):
        sys.exit(f"factor and seconds must be above 0, and upstreams from 1 to {FILES // 4}")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(FILES, hard)), hard))
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print(
        f"{'upstreams':>9} {'load':>5} {'starts/s':>9} {'us/start':>9} "
        f"{'busy':>6} {'in time':>8} {'refused':>8}"
    )
    for size in upstreams or SIZES:
        collected = cProfile.Profile() if profile else None
        row = measure(size, factor, seconds, collected, keeps_apart=keeps_apart)
        print(
            f"{row.upstreams:>9} {row.factor:>5.2f} {row.starts:>9.0f} {row.us_per_start:>9.0f} "
            f"{row.busy:>6.2f} {row.in_time:>8.3f} {row.refused:>8.3f}"
        )
        if collected is not None:
            pstats.Stats(collected).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    defopt.run(run)
