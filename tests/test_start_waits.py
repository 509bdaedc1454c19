"""How long a new job waits for resources while all upstreams are busy."""

import random

import pytest

from kumquatlift.authority import JobSpec, Queue, Step
from kumquatlift.authority._free_rate import FreeRate
from kumquatlift.authority._leader import Leader
from kumquatlift.codes import ResultCode
from tools.fleet_model import FleetModel


def make(upstreams: int) -> tuple[FleetModel, Leader]:
    """Return a fleet with room for two tasks of 6,800 thousandths on each upstream."""
    world = FleetModel()
    for number in range(upstreams):
        world.add_upstream(f"u{number}")
    world.run(0.2)
    world.configure(Queue("q", "h", "/q/", "s", 0, 3, 1.6, 60))
    leader = world.authority._leader
    assert leader is not None
    return world, leader


def spec(tasks: int, run_ms: int) -> JobSpec:
    return JobSpec("text", (Step(tasks, 6800, 64, 0, run_ms),), answers_at_end=True)


class TestTimeToFreeResources:
    """Load: a burst in which no upstream has free resources."""

    def start_ms(self, world: FleetModel, leader: Leader, tasks: int = 1) -> float:
        return leader._meter.load("s", 6800, world.clock.now() + 1.0, tasks).start_ms

    def test_one_of_two_runs_ends_after_half_of_its_time(self) -> None:
        world, leader = make(1)
        world.submit(f"{1:016x}", spec(1, 400), work_ms=400)
        world.run(0.1)
        assert self.start_ms(world, leader) == 0.0
        world.submit(f"{2:016x}", spec(1, 400), work_ms=400)
        world.run(0.1)
        assert self.start_ms(world, leader) == pytest.approx(200)

    def test_it_is_short_where_many_runs_end_one_after_the_other(self) -> None:
        world, leader = make(40)
        world.submit(f"{1:016x}", spec(80, 800), work_ms=800)
        world.run(0.1)
        assert self.start_ms(world, leader) == pytest.approx(10)
        assert self.start_ms(world, leader, tasks=8) == pytest.approx(80)

    def test_it_is_zero_while_a_task_can_start(self) -> None:
        world, leader = make(40)
        world.submit(f"{1:016x}", spec(75, 800), work_ms=800)
        world.run(0.1)
        assert self.start_ms(world, leader, tasks=8) == 0.0

    def test_a_run_whose_end_makes_room_for_a_larger_task_counts_in_full(self) -> None:
        world, leader = make(1)
        world.submit(f"{1:016x}", spec(1, 400), work_ms=400)
        world.run(0.1)
        load = leader._meter.load("s", 16_000, world.clock.now() + 1.0)
        assert load.start_ms == pytest.approx(400)

    def test_a_run_that_takes_longer_than_expected_is_not_about_to_end(self) -> None:
        world, leader = make(1)
        world.submit(f"{1:016x}", spec(2, 100), work_ms=2000)
        world.run(1.0)
        assert self.start_ms(world, leader) == pytest.approx(500, rel=0.01)

    def test_a_job_that_is_wider_than_the_service_waits_for_nothing_on_an_idle_one(self) -> None:
        world, leader = make(2)
        assert self.start_ms(world, leader, tasks=50) == 0.0


class TestFreeRate:
    """The sum over all runs, for tasks of any size."""

    @pytest.mark.parametrize("seed", range(10))
    def test_it_equals_the_sum_over_the_runs(self, seed: int) -> None:
        rng = random.Random(seed)
        world, leader = make(12)
        for number in range(rng.randrange(8, 30)):
            step = Step(1, rng.randrange(2000, 9000), 64, 0, rng.randrange(50, 900))
            job = JobSpec("text", (step,), answers_at_end=True)
            world.submit(f"{number:016x}", job, work_ms=400)
            world.run(0.01)
        now, fleet = world.clock.now(), leader.fleet.values()
        rate = FreeRate(upstreams=fleet, now=now)
        for cpu_milli in (0, 1000, 5000, 8000, 16_000, 40_000):
            expected = sum(
                min(1.0, (max(0, upstream.free.cpu_milli) + run.size.cpu_milli) / max(1, cpu_milli))
                / max(run.expected_ms / 1000 / upstream.speed, now - run.decided_at)
                for upstream in fleet
                for run in upstream.runs.values()
            )
            assert rate.per_s(cpu_milli) == pytest.approx(expected)


class TestAdmission:
    """Guards against refusals for the whole remaining time of the runs in progress.

    Load: a queue of long tasks fills hundreds of slots, of which one is freed every few
    milliseconds. Short jobs are served first, so they would start in time.
    """

    def test_short_jobs_are_accepted_beside_long_ones(self) -> None:
        world, leader = make(60)
        world.submit(f"{1:016x}", spec(60, 300), work_ms=300)
        world.run(0.15)
        for number in range(15):
            world.submit(f"{2 + number:016x}", spec(4, 600), work_ms=600)
        world.run(0.02)
        assert self.is_full(leader)
        replies = []
        for number in range(10):
            replies.append(world.submit(f"{100 + number:016x}", spec(4, 50), work_ms=50))
            world.run(0.05)
        world.run(0.3)
        answers = [reply.result(timeout=0) for reply in replies]
        assert [answer.code for answer in answers] == [ResultCode.ACCEPTED] * 10
        assert all(answer.fields["state"] == "completed" for answer in answers)

    @staticmethod
    def is_full(leader: Leader) -> bool:
        return all(upstream.free.cpu_milli < 6800 for upstream in leader.fleet.values())
