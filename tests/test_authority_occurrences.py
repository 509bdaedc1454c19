"""Jobs whose steps run several times, also very many times."""

import time

from kumquatlift.authority import JobSpec, Step
from kumquatlift.authority._runs import MAX_WAITING
from tests.authority_world import job, make
from tools.fleet_model import START_S

JOB = "a" * 16
TWO_STEPS = (Step(2, 2000, 64, 0, 50), Step(1, 2000, 64, 0, 50, (0,)))


class TestOccurrences:
    """When the occurrences of a job start, and when the job is completed."""

    def test_each_occurrence_starts_when_it_is_due(self) -> None:
        world = make()
        start_ms = int(START_S * 1000) + 1000
        spec = JobSpec("text", TWO_STEPS, 3, start_ms, 500)
        world.submit(JOB, spec, work_ms=50)
        starts = []
        for _ in range(5):
            world.run(0.5)
            starts.append(world.starts)
        # The configuration took 0.3 s, so the first check is at 0.8 s.
        assert starts == [0, 3, 6, 9, 9]
        assert world.state_of(JOB) == "completed"
        assert world.violations == []

    def test_overdue_occurrences_all_run_once_also_under_a_new_leader(self) -> None:
        world = make()
        world.submit(JOB, JobSpec("text", TWO_STEPS, 20), work_ms=50)
        world.run(0.2)
        world.change_leader(gap_s=0.2)
        world.run(4.0)
        assert world.state_of(JOB) == "completed"
        job_of_world = world.authority.state.jobs[JOB]
        assert len(job_of_world.done) == 60
        assert world.violations == []


class TestManyOccurrences:
    """Guards against a job that blocks the leader, or fills the memory of each replica.

    Each replica held an entry for each step of each occurrence, and the leader went through all of
    them at each tick: with 500,000 occurrences, 1 s of the simulation took 7.7 s.
    """

    def test_occurrences_that_are_not_due_cost_nothing(self) -> None:
        world = make()
        far_ms = int(START_S * 1000) + 3_600_000
        world.submit(JOB, job(1)._replace(occurrences=500_000, start_at_ms=far_ms), work_ms=50)
        began_at = time.process_time()
        world.run(1.0)
        # Before, 7 s on the same machine; now about 0.02 s.
        assert time.process_time() - began_at < 2
        assert world.starts == 0

    def test_occurrences_that_are_due_are_released_in_parts(self) -> None:
        world = make()
        world.submit(JOB, job(1)._replace(occurrences=50_000), work_ms=20)
        world.run(0.5)
        leader = world.authority._leader
        assert leader is not None
        progress = leader.progress[JOB]
        assert len(progress.waiting) <= MAX_WAITING
        released = len(progress.released)
        world.run(0.5)
        assert len(progress.released) > released
        assert world.violations == []
