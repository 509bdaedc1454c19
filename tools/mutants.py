"""Mutants of the programs: each breaks one guarantee that the soak checks.

A check that doesn't fail for any mutant may check nothing. A mutant replaces functions in a process
that ``tools.faulty_program`` starts, so that the product needs no switches for tests.
"""

import os
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from kumquatlift.authority import Reply, _attempts, _ends, _fleet, _requests, _work
from kumquatlift.codes import ResultCode
from kumquatlift.platform import _control, _frontend, _programs
from kumquatlift.store import _journal, _raft
from kumquatlift.transport.wsgi import ApiResponse

# Share of the jobs that are answered wrongly.
WRONG_SHARE = 0.3
LATE_FLUSH_S = 1.0
# Short enough that the first formation has reached the disk before the first fault.
LATE_WRITE_S = 0.8
LATE_ELECTION_S = 30.0
# More than the memory of an instance.
LEAK_BYTES = 400_000_000
MANY_ATTEMPTS = 50
# Long enough for the first formation, without which the soak doesn't begin.
EXIT_AFTER_S = 6.0


def _acknowledge_before_logging() -> None:
    """Acknowledge ends at once, and write them to the log a second later."""
    add, flush = _ends.EndLog.add, _ends.EndLog.flush
    flushed_at = time.monotonic()

    def add_acknowledged(log: Any, upstream: Any, ends: Any) -> None:
        add(log, upstream, ends)
        upstream.durable_end = upstream.listed_end

    def flush_late(log: Any) -> None:
        nonlocal flushed_at
        if time.monotonic() - flushed_at > LATE_FLUSH_S:
            flushed_at = time.monotonic()
            flush(log)

    _patch(_ends.EndLog, "add", add_acknowledged)
    _patch(_ends.EndLog, "flush", flush_late)


def _answer_with_an_error() -> None:
    """Answer a share of the jobs with a status that the protocol doesn't have."""
    submit = _frontend.Frontend._submit

    def submit_or_fail(frontend: Any, *args: Any) -> ApiResponse:
        is_wrong = random.random() < WRONG_SHARE
        return ApiResponse.from_json(500, {}) if is_wrong else submit(frontend, *args)

    _patch(_frontend.Frontend, "_submit", submit_or_fail)


def _answer_another_job() -> None:
    """Answer the submissions of another job, in a share of the cases, when a job ends."""
    pop = _attempts.Attempts.pop

    def pop_another(attempts: Any, job_id: str) -> list[Any]:
        others = [other for other in attempts._waiting if other != job_id]
        is_wrong = bool(others) and random.random() < WRONG_SHARE
        return pop(attempts, random.choice(others) if is_wrong else job_id)

    _patch(_attempts.Attempts, "pop", pop_another)


def _cancel_at_a_disconnect() -> None:
    """Cancel a job when the connection of one of its callers breaks, and tell any state.

    Restores the fault of docs/incidents/unreadable-job-state.md.
    """
    _patch(_requests.Requests, "_withdraw", _requests.Requests._cancel)
    _patch(_requests, "_result_reply", lambda job: Reply(ResultCode.ACCEPTED, {"state": job.state}))
    _patch(
        _frontend.Frontend,
        "_state_response",
        lambda frontend, job_id, reply, allowed: ApiResponse.from_json(200, reply.fields),
    )


def _exit_on_sigterm() -> None:
    """Exit at once on SIGTERM, with requests in progress."""
    wait = _programs.StopSignal.wait

    def wait_and_exit(stop: Any) -> None:
        wait(stop)
        os._exit(0)

    _patch(_programs.StopSignal, "wait", wait_and_exit)


def _double_resources() -> None:
    """Count an upstream's processors twice."""
    _change_heartbeats(lambda state: state._replace(cpu_milli=2 * state.cpu_milli))


def _drop_cancels() -> None:
    """Acknowledge a cancellation, but let the job continue to run."""

    def answer_only(requests: Any, fields: dict[str, Any], answer: Any) -> None:
        answer(Reply(ResultCode.ACCEPTED, {"state": "cancelled"}))

    _patch(_requests.Requests, "_cancel", answer_only)


def _elect_late() -> None:
    """Wait half a minute before an election, except at the first start."""
    init = _raft.Raft.__init__

    def init_slow(raft: Any, **options: Any) -> None:
        is_first = options["recovered"].hard is None
        timing = _raft.Timing() if is_first else _raft.Timing(election_s=LATE_ELECTION_S)
        init(raft, **options, timing=timing)

    _patch(_raft.Raft, "__init__", init_slow)


def _exit_after_start() -> None:
    """Exit a few seconds after the start."""
    timer = threading.Timer(EXIT_AFTER_S, os._exit, (1,))
    timer.daemon = True
    timer.start()


def _end_leases_early() -> None:
    """Restart the tasks of an unreachable upstream before its lease has expired."""
    _patch(_fleet.Upstream, "is_lease_over", lambda upstream, now: True)


def _fail_on_sigterm() -> None:
    """Exit with an error code on SIGTERM."""
    wait = _programs.StopSignal.wait

    def wait_and_fail(stop: Any) -> None:
        wait(stop)
        os._exit(3)

    _patch(_programs.StopSignal, "wait", wait_and_fail)


def _leak_memory() -> None:
    """Allocate more memory than an instance has."""
    _patch(_programs, "leaked", b"x" * LEAK_BYTES)


def _ignore_max_attempts() -> None:
    """Restart a task regardless of how often it has failed."""
    init = _work.Job.__init__

    def init_unlimited(job: Any, **options: Any) -> None:
        init(job, **{**options, "max_attempts": MANY_ATTEMPTS})

    _patch(_work.Job, "__init__", init_unlimited)


def _lose_synced_records() -> None:
    """Report records as durable, and write them a little later."""
    append = _journal.Journal.append
    waiting: list[tuple[float, list[bytes]]] = []

    def append_late(journal: Any, records: list[bytes]) -> None:
        waiting.append((time.monotonic(), records))
        while waiting and time.monotonic() - waiting[0][0] > LATE_WRITE_S:
            append(journal, waiting.pop(0)[1])

    _patch(_journal.Journal, "append", append_late)


def _place_on_draining() -> None:
    """Place tasks on draining upstreams."""
    _change_heartbeats(lambda state: state._replace(is_draining=False))


def _read_stale_configuration() -> None:
    """Answer every read of the configuration with the result of the first read."""
    read = _control.Control._read_config
    kept: list[ApiResponse] = []

    def read_first(control: Any) -> ApiResponse:
        answer = read(control)
        if answer.status == 200:
            kept.append(answer)
        return kept[0] if kept else answer

    _patch(_control.Control, "_read_config", read_first)


def _report_accepted_as_refused() -> None:
    """Report a share of the accepted jobs as refused."""
    submit = _frontend.Frontend._submit

    def submit_or_refuse(frontend: Any, *args: Any) -> ApiResponse:
        answer = submit(frontend, *args)
        is_wrong = random.random() < WRONG_SHARE
        return ApiResponse.from_json(503, {"reason": "has not run"}) if is_wrong else answer

    _patch(_frontend.Frontend, "_submit", submit_or_refuse)


def _start_all_steps() -> None:
    """Start the tasks of all steps at once, regardless of their dependencies."""
    _patch(_work.Job, "is_step_ready", lambda job, occurrence, number: True)


def _change_heartbeats(change: Callable[[Any], Any]) -> None:
    read: Callable[..., Any] = vars(_control)["read_heartbeat"]
    _patch(
        _control,
        "read_heartbeat",
        lambda upstream_id, body, **options: change(read(upstream_id, body, **options)),
    )


def _patch(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


MUTANTS: dict[str, Callable[[], None]] = {
    "acknowledges before the log": _acknowledge_before_logging,
    "answers another job": _answer_another_job,
    "answers with an error": _answer_with_an_error,
    "cancels at a disconnect": _cancel_at_a_disconnect,
    "cuts answers": _exit_on_sigterm,
    "doubles the room": _double_resources,
    "drops cancels": _drop_cancels,
    "elects late": _elect_late,
    "ends by itself": _exit_after_start,
    "ends leases early": _end_leases_early,
    "ends without order": _fail_on_sigterm,
    "ignores attempts": _ignore_max_attempts,
    "leaks memory": _leak_memory,
    "loses what was synced": _lose_synced_records,
    "places on draining": _place_on_draining,
    "reads an old configuration": _read_stale_configuration,
    "refuses what runs": _report_accepted_as_refused,
    "starts all steps": _start_all_steps,
}
