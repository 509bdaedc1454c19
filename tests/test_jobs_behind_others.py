"""Tests that jobs don't wait behind others that need what can't be had."""

import pytest

from kumquatlift.authority import JobSpec, Step, _scheduler
from tests.authority_world import job, make
from tools.fleet_model import FleetModel

JOB = "a" * 16
LABEL = "gone"
# More than the jobs of one need that are tried in a pass, and more than twenty.
JOBS = 25


def fill(world: FleetModel, step: Step, jobs: int = JOBS) -> None:
    """Submit jobs that can't be placed, and wait until they are sorted before younger ones."""
    for number in range(jobs):
        world.submit(f"{number:016x}", JobSpec("text", (step,)), work_ms=100)
        world.run(0.02)
    world.run(2.0)


class TestJobsThatCanNotBePlaced:
    """Guards against jobs that are never tried because the same older ones are tried each time."""

    @pytest.mark.parametrize(
        "step",
        [
            Step(1, 100, 64, 0, 100, label=LABEL),
            Step(1, 16_001, 64, 0, 100),
            Step(4, 16_000, 64, 0, 100, is_gang=True),
        ],
        ids=["label", "size", "gang"],
    )
    def test_a_late_step_of_a_job_starts_behind_them(self, step: Step) -> None:
        """Its first step takes so long that the job is late like them, and younger."""
        world = make(upstreams=2)
        fill(world, step)
        assert world.starts == 0
        first = Step(1, 6800, 64, 0, 100)
        spec = JobSpec("text", (first, first._replace(after=(0,))))
        world.submit(JOB, spec, work_ms=3000)
        world.run(8.0)
        assert world.state_of(JOB) == "completed"

    def test_a_job_that_is_in_time_starts_before_them(self) -> None:
        world = make(upstreams=2)
        fill(world, Step(1, 100, 64, 0, 100, label=LABEL))
        world.submit(JOB, job(2), work_ms=100)
        world.run(1.0)
        assert world.state_of(JOB) == "completed"

    def test_a_pass_tries_few_of_many_jobs_that_need_the_same(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against passes that take longer the more jobs wait."""
        world = make(upstreams=2)
        fill(world, Step(1, 100, 64, 0, 100, label=LABEL), jobs=60)
        tried = []
        place = _scheduler.Scheduler._place_job
        monkeypatch.setattr(
            _scheduler.Scheduler,
            "_place_job",
            lambda *args: tried.append(1) or place(*args),  # type: ignore[func-returns-value]
        )
        leader = world.authority._leader
        assert leader is not None
        leader._scheduler.run()
        assert len(tried) == _scheduler.MAX_SKIPPED_ALIKE
