"""The command line: one executable with a subcommand for each job."""

import sys
from pathlib import Path
from typing import NoReturn

import defopt

from kumquatlift.document import Document

EXIT_FAILED = 1


def check(document: Path) -> None:
    """Check a configuration file and show every error in it.

    Args:
        document: TOML file with the whole configuration.
    """
    try:
        text = document.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _fail(f"{document}: cannot be read: {exc}")
    result = Document.from_toml(text)
    if isinstance(result, list):
        _fail("\n".join(f"{document}: {problem}" for problem in result))
    print(f"{document}: valid, {len(result.services)} service(s), {len(result.teams)} team(s)")


def main() -> None:
    """Run the subcommand named on the command line."""
    defopt.run([check], no_negated_flags=True)


def _fail(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)
