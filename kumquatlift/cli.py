"""The command line: one executable with a subcommand for each task of a caller or operator."""

import contextlib
import io
import os
import sys
from pathlib import Path

import defopt

from kumquatlift.commands import EXIT_USAGE, dump, fail, load, runner, submit
from kumquatlift.configuration.document_check import read_toml


def check(document: Path) -> None:
    """Check a configuration file and show every error in it.

    Args:
        document: TOML file with the whole configuration.
    """
    try:
        text = document.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fail(f"{document}: cannot be read: {exc}", EXIT_USAGE)
    result = read_toml(text)
    if isinstance(result, list):
        fail("\n".join(f"{document}: {problem}" for problem in result))
    print(f"{document}: valid, {len(result.services)} service(s), {len(result.teams)} team(s)")


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
        fail("\n".join(f"{settings}: {problem}" for problem in cfg))
    configure_logs(process=cfg.name, level=log_level)
    code = run_entry(cfg)
    sys.stderr.flush()
    # Every request has been answered, but the loops of the HTTP servers still run, and their
    # threads would keep the process alive.
    os._exit(code)


def main() -> None:
    """Run the subcommand named on the command line."""
    usage = io.StringIO()
    try:
        with contextlib.redirect_stderr(usage):
            command = defopt.bind(
                [check, dump, entry, load, runner, submit],
                no_negated_flags=True,
                argparse_kwargs={"prog": "kumquatlift"},
            )
    except SystemExit as exc:
        if exc.code:
            # Print only the error, which is the last line. The usage text before it is that of
            # --help.
            print(usage.getvalue().strip().splitlines()[-1], file=sys.stderr)
        raise
    command()
