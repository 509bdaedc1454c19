"""Subcommands for callers, operators and tests.

Modules that need much memory are imported by the subcommand that uses them.
"""

import json
import os
import signal
import sys
from pathlib import Path
from typing import Any, NoReturn

EXIT_FAILED = 1
EXIT_USAGE = 2
TOKEN_VARIABLE = "KUMQUATLIFT_TOKEN"


def runner(
    name: str,
    *,
    service: str,
    zone: str,
    entries: list[str],
    worker: str = "worker",
    address: str = "127.0.0.1:0",
    slots: int = 8,
    connections: int = 64,
    copies: int = 1,
    speeds: list[float] = [1.0],  # noqa: B006  defopt shows and copies the default
    delay_ms: int = 0,
    stall_ms: int = 0,
    late_ms: int = 0,
    fault: str = "none",
) -> None:
    """Run runner stand-ins until SIGTERM; they print their addresses and sleep instead of working.

    Args:
        name: Name of the runner.
        service: Service that it works for.
        zone: Availability zone.
        entries: Addresses of entry processes for announcements, each "ip:port".
        worker: Name of the machine.
        address: Where to listen, "ip:port"; port 0 picks a free port and is needed with copies.
        slots: Requests run at a time.
        connections: Open connections allowed.
        copies: Runners in this process, each with its own port; they are called name-1, name-2...
        speeds: Run times are divided by this factor; the copies use several factors in turn.
        delay_ms: Delay of each start.
        stall_ms: Time for which a started request holds its slot before it runs.
        late_ms: Delay of each answer after the run.
        fault: none, fail, refuse, close or truncate.
    """
    from kumquatlift.failure import Failure
    from kumquatlift.log import configure_logs
    from kumquatlift.upstreams.runner_mode import Mode
    from kumquatlift.upstreams.runner_stand_in import (
        RunnerIdentity,
        RunnerStandIn,
        run_until_finished,
    )

    fields = {"delay_ms": delay_ms, "stall_ms": stall_ms, "late_ms": late_ms, "fault": fault}
    modes = [Mode().changed({**fields, "speed": speed}) for speed in speeds]
    host, port = parse_address(address)
    _check_addresses(entries)
    if copies < 1 or not modes or (copies > 1 and port):
        fail(
            "runner: at least one copy and one speed are needed; several copies need port 0",
            EXIT_USAGE,
        )
    configure_logs(process=name)
    stand_ins = []
    for number in range(copies):
        mode = modes[number % len(modes)]
        if isinstance(mode, Failure):
            fail(f"runner: {mode.reason}", EXIT_USAGE)
        runner_name = name if copies == 1 else f"{name}-{number + 1}"
        try:
            stand_in = RunnerStandIn(
                identity=RunnerIdentity(runner_name, service, zone, worker, slots, connections),
                host=host,
                port=port,
                entries=tuple(entries),
                mode=mode,
            )
        except OSError as exc:
            fail(f"runner: cannot listen on {address}: {exc}")
        stand_ins.append(stand_in)
    stop_signals = _record_stop_signals()
    for stand_in in stand_ins:
        stand_in.start()
        print(f"{stand_in.name} listening on {stand_in.address}", flush=True)
    run_until_finished(stand_ins, lambda: bool(stop_signals))


def submit(
    job: Path | None = None,
    *,
    entries: list[str],
    service: str = "",
    kind: str = "",
    team: str = "",
    tasks: int = 10,
    run_ms: int = 100,
    key: str = "",
    answer_timeout_s: float = 15.0,
    give_up_s: float = 120.0,
) -> None:
    """Submit a job, show its retries, and print its answer as JSON.

    It gets a ticket first, so that it can resubmit the job under the same id through another entry
    process without starting any task twice.

    Args:
        job: JSON file with service, kind and tasks; without it, tasks are generated.
        entries: Addresses of entry processes for callers, each "ip:port".
        service: Service of a generated job.
        kind: Request kind of a generated job.
        team: Team of a generated job.
        tasks: Number of generated tasks.
        run_ms: Run time of each generated task on a runner stand-in of speed 1.
        key: The caller's part of the job id, random when not given.
        answer_timeout_s: Longest wait for an answer before the job is submitted elsewhere.
        give_up_s: Time limit of the submission with all its retries.
    """
    from rich.console import Console

    from kumquatlift.client import Client
    from kumquatlift.codes import ResultCode
    from kumquatlift.failure import Failure

    _check_addresses(entries)
    if job is not None:
        fields = _read_job(job)
    else:
        if not service or not kind:
            fail("submit: a job file, or --service and --kind, are needed", EXIT_USAGE)
        generated = [{"id": f"t{number}", "body": {"run_ms": run_ms}} for number in range(tasks)]
        fields = {"service": service, "kind": kind, "team": team, "tasks": generated}
    console = Console(stderr=True)
    client = Client(
        entries=entries,
        answer_timeout_s=answer_timeout_s,
        give_up_s=give_up_s,
        on_event=lambda line: console.print(line, markup=False, highlight=False),
    )
    with console.status(f"{len(fields.get('tasks') or [])} tasks submitted, waiting"):
        submission = client.submit({**fields, "wait": True}, key=key)
    if isinstance(submission.answer, Failure):
        fail(f"submit: {submission.answer}")
    print(json.dumps(submission.answer, indent=1))
    if submission.code is not ResultCode.COMPLETE:
        fail(f"submit: {submission.code.value} {submission.code.label}")


def load(
    service: str,
    *,
    kinds: list[str],
    entries: list[str],
    runners: list[str] = [],  # noqa: B006  defopt shows and copies the default
    repeatable: list[str] = [],  # noqa: B006
    jobs: int = 100,
    rate: float = 10.0,
    min_tasks: int = 1,
    max_tasks: int = 60,
    min_run_ms: int = 50,
    max_run_ms: int = 1000,
    seed: int = 1,
    answer_timeout_s: float = 15.0,
    give_up_s: float = 120.0,
    report: Path | None = None,
) -> None:
    """Submit jobs at a given rate and report response times, messages and doubled starts.

    Args:
        service: Service of the jobs.
        kinds: Request kinds, chosen at random.
        entries: Addresses of entry processes for callers, each "ip:port".
        runners: Addresses of runner stand-ins, to read speeds, messages and starts from.
        repeatable: Request kinds whose tasks may start more than once.
        jobs: Number of jobs.
        rate: Jobs per second on average.
        min_tasks: Smallest number of tasks of a job.
        max_tasks: Largest number of tasks of a job.
        min_run_ms: Shortest run time on a runner of speed 1.
        max_run_ms: Longest usual run time; a few tasks take several times as long.
        seed: Seed of arrivals and jobs.
        answer_timeout_s: Longest wait for an answer before a job is submitted elsewhere.
        give_up_s: Time limit of the submission of a job with all its retries.
        report: File for the report as JSON.
    """
    from rich.console import Console
    from rich.progress import Progress

    from kumquatlift.bench.load import RunnerReadings, Workload, run_load

    _check_addresses([*entries, *runners])
    if not (jobs > 0 < rate and 0 < min_tasks <= max_tasks and 0 < min_run_ms <= max_run_ms):
        fail(
            "load: jobs, rate, tasks and run times must be above 0, and min at most max",
            EXIT_USAGE,
        )
    workload = Workload(
        tuple(kinds), jobs, rate, (min_tasks, max_tasks), (min_run_ms, max_run_ms), seed
    )
    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        bar = progress.add_task("jobs answered", total=jobs)
        result = run_load(
            workload.plan(),
            service=service,
            entries=entries,
            readings=RunnerReadings(runners),
            repeatable=repeatable,
            answer_timeout_s=answer_timeout_s,
            give_up_s=give_up_s,
            on_done=lambda _outcome: progress.advance(bar),
        )
    result.show(Console())
    if report is not None:
        try:
            report.write_text(json.dumps(result._asdict(), indent=1) + "\n", encoding="utf-8")
        except OSError as exc:
            fail(f"{report}: cannot be written: {exc}")
    if not result.is_sound:
        fail(
            f"load: {result.unanswered} jobs unanswered, {result.wrong_results} with wrong "
            f"results, {result.doubled_starts} doubled starts"
        )


def dump(address: str, *, token_file: Path | None = None) -> None:
    """Print the state of an entry process as JSON.

    Args:
        address: Address for operators, "ip:port".
        token_file: File with the operator's token; without it, KUMQUATLIFT_TOKEN is used.
    """
    from kumquatlift.client import call
    from kumquatlift.failure import Failure

    parse_address(address)
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file is not None:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            fail(f"{token_file}: cannot be read: {exc}", EXIT_USAGE)
    if not token:
        fail(f"dump: a token is needed, in --token-file or {TOKEN_VARIABLE}", EXIT_USAGE)
    answer = call(address, "GET", "/v1/dump", token=token)
    if isinstance(answer, Failure):
        fail(f"dump: {answer}")
    # Only an error has a field "code"; the keys of a state dump are the names of its sections.
    if "code" in answer:
        fail(f"dump: {answer['code']} {answer.get('name')}: {answer.get('reason')}")
    print(json.dumps(answer, indent=1))


def _read_job(path: Path) -> dict[str, Any]:
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        fail(f"{path}: cannot be read: {exc}", EXIT_USAGE)
    if not isinstance(fields, dict):
        fail(f"{path}: a JSON object is needed", EXIT_USAGE)
    return fields


def _check_addresses(addresses: list[str]) -> None:
    if not addresses:
        fail("at least one address is needed", EXIT_USAGE)
    for address in addresses:
        parse_address(address)


def _record_stop_signals() -> list[int]:
    """Install handlers that append the number of each SIGTERM or SIGINT to the returned list."""
    signals: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _frame: signals.append(received))
    return signals


def parse_address(text: str) -> tuple[str, int]:
    """Split "ip:port"; end the process with a usage error if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        fail(f"not an address of the form ip:port: {text!r}", EXIT_USAGE)
    return host, int(port)


def fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """Print one line to standard error and end the process."""
    print(message, file=sys.stderr)
    sys.exit(code)
