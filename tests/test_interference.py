"""Queues that slow each other down on one upstream: what is learned, and what placement does."""

import math
import random
from collections.abc import Iterator

import pytest

from kumquatlift.authority import EndReason, Limits, TaskKey
from kumquatlift.authority._company import MAX_KINDS, Company
from kumquatlift.authority._interference import (
    HALF_LIFE_S,
    MAX_BLOCKS,
    MAX_NEIGHBOURS,
    MAX_VICTIMS,
    Disturbance,
    Interference,
    Observation,
    disturbance,
)
from kumquatlift.authority._placement import OffersBySpeed, UpstreamOffer, WaitingTask, choose_apart
from kumquatlift.clock import ManualClock
from tests.authority_world import QUEUE, answered_at_end, make
from tools.fleet_model import FleetModel
from tools.measure_interference import measure

KINDS = ("a", "b", "c")
UPSTREAMS = 20
RUNS = 2000
FAULTS = ("slow", "cold", "wrong estimate", "heavy tail", "companion")


def observed(
    seed: int,
    *faults: str,
    effects: dict[tuple[str, str], float] | None = None,
    runs: int = RUNS,
    gap_s: float = 0.05,
) -> Iterator[tuple[Observation, float]]:
    """Yield runs of a fleet of upstreams, and when each ends.

    Declared run times are off by 40 %, of which half remains in the expected ones. The longer a run
    takes for any reason, the more of its time is beside runs that start after it.
    """
    rng = random.Random(seed)
    speeds = [rng.choice((0.6, 1.0, 1.6)) for _ in range(UPSTREAMS)]
    for number in range(runs):
        now = number * gap_s
        upstream = rng.randrange(UPSTREAMS)
        kind = rng.choice(KINDS)
        # Half of the upstreams are fuller, among them some that are slow and some that are cold.
        present = {other for other in KINDS if rng.random() < (0.7 if upstream % 2 else 0.4)}
        if "companion" in faults and "b" in present:
            present |= {"c"} if rng.random() < 0.8 else set()
        time = rng.gauss(0, 0.5 * 0.4) + rng.gauss(0, 0.2) - math.log(speeds[upstream])
        if "heavy tail" in faults and rng.random() < 0.03:
            time += math.log(7)
        if "slow" in faults and upstream in (1, 3, 4):
            time += 1.5
        if "cold" in faults and upstream in (5, 6, 7):
            time += math.exp(-now / 10)
        if "wrong estimate" in faults and kind == "b":
            time += math.log(2)
        later = max(0.0, min(1.0, 0.5 + 0.3 * time))
        shares = {
            other: rng.uniform(0.6, 1.0) if other in present else 0.5 * later * rng.random()
            for other in KINDS
        }
        for (slower, beside), factor in (effects or {}).items():
            if slower == kind:
                time += math.log(1 + (factor - 1) * shares[beside])
        yield Observation(kind, upstream, time, frozenset(present), shares), now


def learn(
    rows: Iterator[tuple[Observation, float]], learned: Interference | None = None
) -> tuple[Interference, dict[tuple[str, str], int]]:
    """Return what is learned, and after how many runs each pair was first kept apart."""
    learned = learned or Interference()
    first: dict[tuple[str, str], int] = {}
    for number, (run, now) in enumerate(rows):
        learned.observe(run, now)
        if number % 20 == 0:
            learned.update(now)
            for pair in learned.apart:
                first.setdefault(pair, number)
    return learned, first


class TestFalseAlarms:
    """Load: no queue slows another down; the pairs are judged 100 times in each of many seeds."""

    @pytest.mark.parametrize("faults", [(), *((fault,) for fault in FAULTS), FAULTS])
    def test_less_than_one_pair_in_a_hundred_is_seen(self, faults: tuple[str, ...]) -> None:
        """Guards against queues that are kept apart because of something else that is slow."""
        seeds = 40
        seen = sum(len(learn(observed(seed, *faults))[1]) for seed in range(seeds))
        assert seen < 0.01 * seeds * len(KINDS) ** 2


class TestSlowDowns:
    """Load: runs of one queue take half as long again beside those of another."""

    @pytest.mark.parametrize("faults", [(), *((fault,) for fault in FAULTS), FAULTS])
    def test_it_is_seen_within_a_few_hundred_runs_of_the_queue(
        self, faults: tuple[str, ...]
    ) -> None:
        """Guards against a slow-down that hides behind others; the queue has a third of the runs.

        Half of the seeds see it in 240 runs at most, and all in 420; with all faults at a time it
        takes 280 and 500. Each upstream has a twentieth of these runs.
        """
        effects = {("a", "b"): 1.5}
        seen = []
        for seed in range(20):
            learned, first = learn(observed(seed, *faults, effects=effects, runs=1600))
            assert set(first) == set(effects)
            seen.append(first["a", "b"] / len(KINDS))
            pair = next(each for each in learned.pairs() if each.key == ("a", "b"))
            assert 1.25 < pair.ratio < 1.65
        half, most = (280, 500) if len(faults) > 1 else (240, 420)
        assert sorted(seen)[10] <= half
        assert max(seen) <= most

    def test_it_fades_and_is_no_longer_kept_apart(self) -> None:
        """Guards against queues that stay apart for ever, so that nothing new is learned."""
        learned, _ = learn(observed(1, effects={("a", "b"): 1.5}, runs=1000))
        assert ("a", "b") in learned.apart
        learned.update(50 + 12 * HALF_LIFE_S)
        assert not learned.apart
        assert not learned.involved

    def test_it_ends_when_the_queues_have_changed(self) -> None:
        """Guards against evidence that outweighs what is seen later."""
        learned, _ = learn(observed(1, effects={("a", "b"): 1.5}, runs=1000))
        rows = ((run, 50 + now) for run, now in observed(2, gap_s=0.5, runs=4000))
        learned, _ = learn(rows, learned)
        assert not learned.apart


class TestMemory:
    """Load: configurations with more queues than are followed."""

    def test_it_is_bounded(self) -> None:
        """Guards against a leader that grows with each queue and upstream that ever was."""
        rng = random.Random(1)
        learned = Interference()
        for number in range(30_000):
            present = frozenset(f"k{rng.randrange(200)}" for _ in range(3))
            shares = dict.fromkeys(present, 0.5)
            kind = f"k{rng.randrange(200)}"
            learned.observe(Observation(kind, number, rng.random(), present, shares), 0.0)
            key = Observation(kind, number % 5, rng.random(), present, shares)
            learned.observe(key, 0.001 * number)
        learned.update(30.0)
        assert len(learned._blocks) <= MAX_BLOCKS
        assert len(learned._evidence) <= MAX_VICTIMS
        assert len(learned.pairs()) <= MAX_VICTIMS * MAX_NEIGHBOURS

    def test_an_upstream_forgets_queues_that_have_left(self) -> None:
        """Guards against an upstream whose company is copied at each start and grows."""
        company = Company(clock=ManualClock())
        for number in range(100):
            company.enter(f"k{number}", 10.0)
            company.leave(f"k{number}", 10.0)
        assert len(company.enter("k", 10.0).rows) <= MAX_KINDS


class TestCompany:
    """Load: runs that come and go beside a longer one."""

    def test_the_share_counts_the_time_beside_at_least_one(self) -> None:
        clock = ManualClock()
        company = Company(clock=clock)
        company.enter("b", 10.0)
        mark = company.enter("a", 10.0)
        clock.advance(1.0)
        company.enter("b", 10.0)
        clock.advance(1.0)
        company.leave("b", 10.0)
        company.leave("b", 10.0)
        clock.advance(2.0)
        company.enter("a", 10.0)
        clock.advance(4.0)
        assert mark.present == {"b"}
        assert company.shares("a", mark) == {"b": 0.25, "a": 0.5}


def offer(name: str, speed: float = 1.0) -> UpstreamOffer:
    return UpstreamOffer(name, 16_000, 32_768, 0, speed, ("a",), "r1")


class TestPlacement:
    """Load: an upstream with a bad neighbour is the best for a task."""

    TASK = WaitingTask(6800, 64, 0, 100.0, 10.0)
    APART = {("a", "b"): 1.5}

    def test_both_sides_count(self) -> None:
        assert disturbance("a", {"b": 200.0}, self.APART) == Disturbance(1.5, 0.0)
        assert disturbance("b", {"a": 200.0}, self.APART) == Disturbance(1.0, 50.0)
        assert disturbance("b", {"a": 200.0, "b": 90.0}, self.APART).others_ms == 0
        assert disturbance("c", {"a": 200.0, "b": 90.0}, self.APART).is_none

    @pytest.mark.parametrize(
        ("remaining_ms", "speeds", "bad", "chosen"),
        [
            # Another upstream on which the task is in time is free.
            (1000, (0.6, 1.0, 1.6), {"u0"}, "u1"),
            # There is no room to keep them apart: the one on which the least time is lost.
            (1000, (0.6, 1.0, 1.6), {"u0", "u1", "u2"}, "u2"),
            # The only other one would make the job late.
            (400, (0.5, 1.6), {"u1"}, "u1"),
            # It is late on both, and slower on the other one than beside the neighbour.
            (10, (0.6, 1.6), {"u1"}, "u1"),
            # It is late on both, and faster on the other one.
            (10, (1.4, 1.6), {"u1"}, "u0"),
        ],
    )
    def test_it_is_weighed_against_the_objective_and_the_speed(
        self, remaining_ms: float, speeds: tuple[float, ...], bad: set[str], chosen: str
    ) -> None:
        """Guards against keeping apart what then is late, or waits."""
        offers = OffersBySpeed(offer(f"u{n}", speed) for n, speed in enumerate(speeds))
        task = self.TASK._replace(objective_at=(remaining_ms + 25) / 1000)

        def disturb(offer: UpstreamOffer) -> Disturbance:
            return Disturbance(1.5) if offer.upstream_id in bad else Disturbance()

        for need in (task, task._replace(avoid=frozenset(["other"]))):
            best = offers.choose_apart(need, 0.0, frozenset(), disturb)
            assert best is not None
            assert best.upstream_id == chosen

    def test_excluded_upstreams_and_those_without_room_stay_out(self) -> None:
        """Guards against anti-affinity and capacity that give way to bad neighbours."""
        full = offer("u2", 1.2)._replace(cpu_milli=100)
        offers = OffersBySpeed([offer("u0"), offer("u1", 1.1), full])
        exclude = frozenset(["u1"])
        best = offers.choose_apart(self.TASK, 0.0, exclude, lambda _: Disturbance(2.0))
        assert best is not None
        assert best.upstream_id == "u0"

    def test_without_a_bad_neighbour_nothing_changes(self) -> None:
        rng = random.Random(1)
        for _ in range(200):
            offers = OffersBySpeed(offer(f"u{n}", rng.uniform(0.3, 2)) for n in range(6))
            task = self.TASK._replace(objective_at=rng.uniform(0, 0.6))
            apart = offers.choose_apart(task, 0.0, frozenset(), lambda _: Disturbance())
            assert apart == offers.choose(task, 0.0)

    def test_no_offer_is_no_error(self) -> None:
        assert choose_apart(self.TASK, [], 0.0, lambda _: Disturbance()) is None


def world_of(upstreams: int = 4, **options: float) -> tuple[FleetModel, list[Observation]]:
    """Return a fleet whose leader notices interference, and the runs that count as evidence."""
    world = make(upstreams, limits=Limits(keeps_apart=True), **options)  # type: ignore[arg-type]
    leader = world.authority._leader
    assert leader is not None
    assert leader._mates is not None
    seen: list[Observation] = []
    leader._mates.interference.observe = lambda run, now: seen.append(run)  # type: ignore
    return world, seen


class TestEvidence:
    """Load: jobs of one task, one after another."""

    @staticmethod
    def _play(world: FleetModel, jobs: int = 40) -> None:
        for number in range(jobs):
            world.submit(f"{number:016x}", answered_at_end(1), work_ms=100)
            world.run(0.06)
        world.run(2.0)

    def test_sound_runs_count(self) -> None:
        world, seen = world_of()
        self._play(world)
        assert len(seen) == 40
        assert any(run.shares.get(run.kind, 0) > 0 for run in seen)

    def test_failed_runs_do_not(self) -> None:
        """Guards against a neighbour that is blamed for failures and what follows from them."""
        world, seen = world_of(upstreams=8)
        failed: set[TaskKey] = set()
        plain = world.on_end

        def on_end(task, upstream, reason):  # type: ignore[no-untyped-def]
            plain(task, upstream, reason)
            if reason is EndReason.FAILED:
                failed.add(task)
                world.failing_tasks.discard(task)

        world.on_end = on_end  # type: ignore[method-assign]
        world.failing_tasks.update(TaskKey(f"{n:016x}", 0, 0, 0) for n in range(0, 40, 8))
        self._play(world)
        assert len(failed) == 5
        assert len(seen) == 40
        assert all(abs(run.log_ratio) < 0.4 for run in seen)

    def test_late_and_lost_answers_do_not(self) -> None:
        """Guards against a neighbour that is blamed for a network that is slow."""
        world, seen = world_of(unanswered_share=0.4)
        self._play(world)
        assert len(seen) < 40
        assert all(run.log_ratio < math.log(2.2) for run in seen)

    def test_the_tasks_of_a_job_count_once_on_an_upstream(self) -> None:
        """Guards against one wrong estimate that counts as many times as the job has tasks."""
        world, seen = world_of(upstreams=1)
        world.submit("a" * 16, answered_at_end(2), work_ms=100)
        world.run(1.0)
        assert len(seen) == 1


class TestWholeFleet:
    """Load: three queues at three fifths of the usual load, two of which share few upstreams."""

    def test_fewer_runs_are_disturbed_and_none_is_refused_for_it(self) -> None:
        plain, apart = (
            measure(keeps_apart=each, factor=1.5, load=0.6, seed=1, length_s=30.0)
            for each in (False, True)
        )
        assert apart.disturbed < 0.8 * plain.disturbed
        assert apart.refused <= plain.refused + 0.002
        assert apart.worth >= plain.worth - 0.002

    def test_without_interference_placement_does_not_change(self) -> None:
        plain, apart = (
            measure(keeps_apart=each, factor=1.0, load=0.8, seed=1, length_s=8.0)
            for each in (False, True)
        )
        assert apart == plain

    def test_a_new_leader_begins_anew(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against pairs of a leader that was lost, and checks what operators see."""
        world = make(
            6,
            limits=Limits(keeps_apart=True),  # type: ignore[arg-type]
            slowdowns={("/q/", "/r/"): 2.0},  # type: ignore[arg-type]
        )
        world.configure(QUEUE, QUEUE._replace(name="r", prefix="/r/"))
        rng = random.Random(1)
        section = world.authority._section
        number = 0
        while not any(row["is_apart"] for row in section.get("interference")) and number < 6000:
            number += 1
            path = rng.choice(("/q/", "/r/"))
            work_ms = 100 * rng.lognormvariate(0, 0.2)
            world.submit(f"{number:016x}", answered_at_end(1), work_ms=work_ms, path=path)
            world.run(rng.expovariate(25))
        row = next(row for row in section.get("interference") if row["is_apart"])
        assert (row["queue"], row["beside"]) == ("h/q/", "h/r/")
        assert 1.3 < row["ratio"] < 2.8
        assert row["low"] < row["ratio"] < row["high"]
        text = capsys.readouterr()
        assert (text.out + text.err).count("queues_kept_apart") == 1
        world.change_leader()
        assert section.get("interference") == []
        world.run(3.0)
        assert not any(row["is_apart"] for row in section.get("interference"))
