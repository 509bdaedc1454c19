"""The soak's own checks can fail, and a short seeded run passes."""

import time
from pathlib import Path

import pytest

from tools.soak import Soak, is_end
from tools.users_platform import History

MUTANT_S = 6.0
TRIES = 40


class TestChecks:
    """Guards against a checker that never fires."""

    def test_two_runs_at_a_time_are_seen(self) -> None:
        history = History()
        history.record_start("a.0.0.1", "u1")
        history.record_start("a.0.0.1", "u2")
        assert len(history.violations) == 1

    def test_a_start_after_an_acknowledged_end_is_seen(self) -> None:
        history = History()
        history.record_start("a.0.0.1", "u1")
        history.record_end("a.0.0.1", "u1", "done")
        history.record_acknowledged_end("a.0.0.1", time.monotonic())
        history.record_start("a.0.0.1", "u1")
        assert history.repeated == ["a.0.0.1"]

    def test_an_end_that_is_acknowledged_after_another_start_is_seen(self) -> None:
        history = History()
        history.record_start("a.0.0.1", "u1")
        history.record_end("a.0.0.1", "u1", "done")
        ended_at = time.monotonic()
        history.record_start("a.0.0.1", "u2")
        history.record_acknowledged_end("a.0.0.1", ended_at)
        assert history.repeated == ["a.0.0.1"]

    def test_a_step_that_starts_before_the_one_it_needs_is_seen(self) -> None:
        history = History()
        history.record_start("a.0.0.0", "u1", step_tasks=2)
        history.record_start("a.0.0.1", "u1", step_tasks=2)
        history.record_end("a.0.0.0", "u1", "done")
        history.record_end("a.0.0.1", "u1", "lapsed")
        history.record_start("a.0.1.0", "u1", step_tasks=2)
        assert history.violations == ["a.0.1.0 starts before a.0.0.1 is done"]

    def test_a_start_after_too_many_failures_is_seen(self) -> None:
        history = History()
        for _ in range(2):
            history.record_start("a.0.0.0", "u1")
            history.record_end("a.0.0.0", "u1", "failed")
            history.record_acknowledged_failure("a.0.0.0", time.monotonic())
        assert history.started_after_failures(2) == []
        history.record_start("a.0.0.0", "u1")
        assert history.started_after_failures(2) == ["a.0.0.0"]
        assert history.started_after_failures(3) == []

    @pytest.mark.parametrize("state", ["queued", "running", "cancelled", ""])
    def test_a_job_without_a_cancel_must_be_completed_or_failed(self, state: str) -> None:
        assert not is_end(state, is_cancel_sent=False)

    def test_a_cancel_whose_answer_was_lost_may_have_been_carried_out(self) -> None:
        """Guards against a finding that is none, as in seed 601."""
        assert is_end("cancelled", is_cancel_sent=True)
        assert not is_end("running", is_cancel_sent=True)


class TestRun:
    """A short schedule with real processes."""

    def test_a_seeded_run_keeps_the_promises(self, tmp_path: Path) -> None:
        soak = Soak(seed=1, seconds=8.0, folder=tmp_path)
        soak.run()
        assert soak.violations == []
        assert soak.checked["starts"] > 0
        assert sum(soak.faults.values()) > 3


class TestMutants:
    """Guards against checks that cannot fire: each break of the programs is seen by one."""

    @pytest.mark.parametrize(
        ("mutant", "faults", "text"),
        [
            ("acknowledges before the log", ("core killed",), "after an end that was acknowledged"),
            ("answers with an error", ("proxies pass",), "was answered with 500"),
            ("cuts answers", ("frontend stopped",), "was cut after"),
            ("doubles the room", ("proxies pass",), "exceeds the capacity"),
            ("drops cancels", ("proxies pass",), "was cancelled and its tasks went on"),
            ("elects late", ("all cores killed",), "no job was accepted within"),
            ("ends by itself", ("proxies pass",), "has ended by itself"),
            ("ends leases early", ("upstream not heard", "proxies pass"), "while it runs on"),
            ("ends without order", ("frontend stopped",), "did not end in order"),
            ("ignores attempts", ("proxies pass",), "attempts that failed"),
            ("leaks memory", ("proxies pass",), "MB"),
            (
                "loses what was synced",
                ("all cores killed", "frontend stopped"),
                "was accepted and is unknown",
            ),
            ("places on draining", ("upstream drained",), "which drains"),
            ("reads an old configuration", ("proxies pass",), "was accepted"),
            ("refuses what runs", ("proxies pass",), "was refused and has run"),
            ("starts all steps", ("proxies pass",), "starts before"),
        ],
    )
    def test_a_mutant_is_caught(
        self, mutant: str, faults: tuple[str, ...], text: str, tmp_path: Path
    ) -> None:
        # Some breaks show only if a fault meets a task that runs; later seeds repeat the search.
        for seed in range(1, TRIES + 1):
            soak = Soak(
                seed=seed,
                seconds=MUTANT_S,
                folder=tmp_path / str(seed),
                mutant=mutant,
                only=faults,
                settle_s=MUTANT_S,
            )
            soak.run()
            if any(text in violation for violation in soak.violations):
                return
        raise AssertionError(f"{mutant!r} broke no promise that the soak checks")
