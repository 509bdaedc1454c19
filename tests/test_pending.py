"""Tests of what a leader tells of jobs of which no run has begun."""

import pytest

from kumquatlift.authority import Operation, Request
from tests.authority_world import job, make
from tools.fleet_model import FleetModel

JOB = "a" * 16


def pending(world: FleetModel) -> int:
    fut = world.send_request(Request(Operation.PENDING, {"host": "h", "path": "/q/"}))
    world.loop.run_pending()
    return int(fut.result(timeout=0).fields["pending"])


class TestRefusedStarts:
    """Guards against jobs that count as begun because a start was decided and then refused."""

    @pytest.mark.parametrize("has_new_leader", [False, True])
    def test_jobs_whose_starts_are_refused_are_pending(self, has_new_leader: bool) -> None:
        world = make(upstreams=1)
        world.upstreams["u0"].refused_starts = 1.0
        for number in range(2):
            world.submit(f"{number:016x}", job(estimate_ms=900), work_ms=900)
            world.run(0.3)
            # Also while the next start is on its way.
            assert pending(world) == number + 1
        if has_new_leader:
            world.change_leader(gap_s=0.2)
            world.run(1.0)
        assert pending(world) == 2
        assert world.state_of("0" * 16) == "queued"
        assert world.starts == 0

    def test_a_job_has_begun_with_the_confirmation_of_its_first_run(self) -> None:
        world = make(upstreams=1)
        world.upstreams["u0"].refused_starts = 1.0
        world.submit(JOB, job(estimate_ms=900), work_ms=900)
        world.run(0.3)
        world.upstreams["u0"].refused_starts = 0.0
        world.run(0.6)
        assert world.starts == 1
        assert pending(world) == 0
        assert world.state_of(JOB) == "running"


class TestBegunJobs:
    """Guards against jobs that count as pending again after one of their runs has begun."""

    @pytest.mark.parametrize("has_new_leader", [False, True])
    def test_a_job_that_waits_again_has_begun(self, has_new_leader: bool) -> None:
        world = make(upstreams=1)
        upstream = world.upstreams["u0"]
        world.submit(JOB, job(estimate_ms=5000), work_ms=5000)
        world.run(0.2)
        assert pending(world) == 0
        upstream.refused_starts = 1.0
        upstream.is_reachable = False
        world.run(2.0)
        upstream.is_reachable = True
        world.run(1.5)
        if has_new_leader:
            world.change_leader(gap_s=0.2)
            world.run(1.0)
        assert not upstream.runs
        assert pending(world) == 0
        assert world.state_of(JOB) == "running"
