"""The command line: one executable with a subcommand for each job."""

import contextlib
import io
import os
import signal
import sys
from pathlib import Path
from typing import NoReturn

import defopt

EXIT_FAILED = 1
EXIT_USAGE = 2


def check(document: Path) -> None:
    """Check a configuration file and show every error in it.

    Args:
        document: TOML file with the whole configuration.
    """
    from kumquatlift.document import Document

    try:
        text = document.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _fail(f"{document}: cannot be read: {exc}")
    result = Document.from_toml(text)
    if isinstance(result, list):
        _fail("\n".join(f"{document}: {problem}" for problem in result))
    print(f"{document}: valid, {len(result.services)} service(s), {len(result.teams)} team(s)")


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
    speed: float = 1.0,
    delay_ms: int = 0,
    stall_ms: int = 0,
    late_ms: int = 0,
    fault: str = "none",
) -> None:
    """Run a runner stand-in until SIGTERM; it prints its address and sleeps for run times.

    Args:
        name: Name of the runner.
        service: Service that it works for.
        zone: Availability zone.
        entries: Addresses of entry processes for announcements, each "ip:port".
        worker: Name of the machine.
        address: Where to listen, "ip:port"; port 0 takes a free one.
        slots: Requests run at a time.
        connections: Open connections allowed.
        speed: Run times are divided by this factor.
        delay_ms: Delay of each start.
        stall_ms: Time for which a started request holds its slot before it runs.
        late_ms: Delay of each answer after the run.
        fault: none, fail, refuse, close or truncate.
    """
    from kumquatlift.failure import Failure
    from kumquatlift.log import configure_logs
    from kumquatlift.runner_stand_in import Mode, RunnerIdentity, RunnerStandIn

    mode = Mode().changed(
        {"speed": speed, "delay_ms": delay_ms, "stall_ms": stall_ms, "late_ms": late_ms}
        | {"fault": fault}
    )
    if isinstance(mode, Failure):
        _fail(f"runner: {mode.reason}", EXIT_USAGE)
    host, port = _address(address)
    for entry in entries:
        _address(entry)
    configure_logs(process=name)
    try:
        stand_in = RunnerStandIn(
            identity=RunnerIdentity(name, service, zone, worker, slots, connections),
            host=host,
            port=port,
            entries=tuple(entries),
            mode=mode,
        )
    except OSError as exc:
        _fail(f"runner: cannot listen on {address}: {exc}")
    told_to_stop = _stop_flag()
    stand_in.start()
    print(f"listening on {stand_in.address}", flush=True)
    stand_in.wait_until_finished(lambda: bool(told_to_stop))
    stand_in.close()


def entry(settings: Path, *, log_level: str = "info") -> None:
    """Run an entry process until it gets SIGTERM.

    Args:
        settings: TOML file with the process's own settings.
        log_level: Lowest level of events shown: debug, info, warning or error.
    """
    from kumquatlift.entry import run_entry
    from kumquatlift.log import configure_logs
    from kumquatlift.settings import Settings

    cfg = Settings.from_file(settings)
    if isinstance(cfg, list):
        _fail("\n".join(f"{settings}: {problem}" for problem in cfg))
    configure_logs(process=cfg.name, level=log_level)
    code = run_entry(cfg)
    sys.stderr.flush()
    # The servers' loops offer no stop from outside; everything they served has been answered.
    os._exit(code)


def main() -> None:
    """Run the subcommand named on the command line."""
    usage = io.StringIO()
    try:
        with contextlib.redirect_stderr(usage):
            command = defopt.bind([check, entry, runner], no_negated_flags=True)
    except SystemExit as exc:
        if exc.code:
            # The last line is the error; the usage text before it is what --help shows.
            print(usage.getvalue().strip().splitlines()[-1], file=sys.stderr)
        raise
    command()


def _stop_flag() -> list[int]:
    """Return a list that gets a signal number when SIGTERM or SIGINT arrives."""
    signals: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _frame: signals.append(received))
    return signals


def _address(text: str) -> tuple[str, int]:
    """Split "ip:port"; ends the process when the text is something else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        _fail(f"not an address of the form ip:port: {text!r}", EXIT_USAGE)
    return host, int(port)


def _fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(code)
