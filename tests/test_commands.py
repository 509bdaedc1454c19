"""Tests of the command line: exit codes and one-line errors."""

import sys

import pytest

from kumquatlift.cli import main

# Nothing listens on port 9, that of the discard protocol, on the loopback interface.
UNUSED_ADDRESS = "127.0.0.1:9"
LOAD = ["load", "s", "--kinds", "k", "--entries", UNUSED_ADDRESS]
SUBMIT = ["submit", "--entries", UNUSED_ADDRESS]


class TestCommands:
    """Guards against failures with exit code 0 and against tracebacks instead of error messages."""

    @pytest.mark.parametrize(
        ("arguments", "code", "error"),
        [
            ([], 2, "error"),
            (["unknown"], 2, "invalid choice"),
            (["check", "no-such-file"], 2, "no-such-file: cannot be read"),
            (["check", "requirements.lock"], 1, "not TOML"),
            (["submit"], 2, "--entries"),
            ([*SUBMIT, "--run-ms", "x"], 2, "invalid int value"),
            (
                ["submit", "no-such-file", "--entries", UNUSED_ADDRESS],
                2,
                "no-such-file: cannot be read",
            ),
            (SUBMIT, 2, "a job file, or --service and --kind, are needed"),
            (["submit", "--entries", "nowhere"], 2, "not an address of the form ip:port"),
            ([*SUBMIT, "--service", "s", "--kind", "k", "--give-up-s", "0.1"], 1, "not-delivered"),
            ([*LOAD, "--jobs", "0"], 2, "must be above 0"),
            ([*LOAD, "--jobs", "1", "--rate", "99", "--give-up-s", "0.1"], 1, "1 jobs unanswered"),
            (["dump", UNUSED_ADDRESS], 2, "a token is needed"),
            (
                ["runner", "r", "--service", "s", "--zone", "z", "--entries"],
                2,
                "at least one address",
            ),
        ],
    )
    def test_errors_have_one_line_and_their_exit_code(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        arguments: list[str],
        code: int,
        error: str,
    ) -> None:
        monkeypatch.setattr(sys, "argv", ["kumquatlift", *arguments])
        monkeypatch.delenv("KUMQUATLIFT_TOKEN", raising=False)
        with pytest.raises(SystemExit) as ended:
            main()
        assert ended.value.code == code
        last_line = capsys.readouterr().err.strip().splitlines()[-1]
        assert error in last_line
        assert "Traceback" not in last_line
