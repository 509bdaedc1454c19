"""Tests of run time estimates, runner health, retry budget and zone choice."""

import random

from kumquatlift.jobs.retry_budget import RetryBudget
from kumquatlift.scheduling.run_times import MAX_KINDS, MAX_RUNNERS, RunTimes
from kumquatlift.scheduling.runner_health import MAX_QUARANTINE_S, HealthPolicy, RunnerHealth
from kumquatlift.scheduling.zone_choice import FreeSlots, ZoneLoad, choose_moves, choose_zones


class TestRunTimes:
    """Guards against placement by wrong declared run times."""

    def test_declared_times_and_speeds_are_corrected(self) -> None:
        rng = random.Random(1)
        times = RunTimes()
        for number in range(4000):
            runner, slowness = [("fast", 0.5), ("slow", 2.0)][number % 2]
            times.observe("k", runner, 3.0, rng.uniform(0.1, 0.5) * slowness, 0.0)
        expected = {
            name: times.expected_s("k", 3.0) * times.slowness(name, 0.0)
            for name in ("fast", "slow")
        }
        assert 0.12 < expected["fast"] < 0.18
        assert 0.48 < expected["slow"] < 0.72

    def test_single_very_long_task_has_little_effect(self) -> None:
        times = RunTimes()
        for _ in range(200):
            times.observe("k", "r", 0.3, 0.3, 0.0)
        times.observe("k", "r", 0.3, 600.0, 0.0)
        assert times.expected_s("k", 0.3) * times.slowness("r", 0.0) < 0.4

    def test_slowness_of_an_unused_runner_decays(self) -> None:
        times = RunTimes()
        for number in range(400):
            times.observe("k", f"r{number % 4}", 1.0, 8.0 if number % 4 == 0 else 1.0, 0.0)
        before = times.slowness("r0", 0.0)
        assert before > 3
        assert times.slowness("r0", 600.0) < 1.1

    def test_tables_are_bounded(self) -> None:
        times = RunTimes()
        for number in range(MAX_RUNNERS + 10):
            times.observe(f"k{number}", f"r{number}", 1.0, 1.0, 0.0)
        assert len(times._corrections) == len(times._log_ratios) == MAX_KINDS
        assert len(times._log_slowness) == MAX_RUNNERS


class TestRunnerHealth:
    """Guards against a failing runner that keeps getting requests."""

    def test_consecutive_failures_quarantine_until_one_trial_succeeds(self) -> None:
        health = RunnerHealth(policy=HealthPolicy(first_quarantine_s=1.0, failures_to_quarantine=2))
        health.record_failure("g1", 0.0)
        assert not health.is_quarantined
        health.record_failure("g2", 0.0)
        assert health.is_quarantined
        assert not health.may_start_trial(0.9)
        assert health.may_start_trial(1.0)
        health.start_trial("g3")
        assert not health.may_start_trial(1.0)
        health.record_success("g0", 1.0)
        assert (
            health.is_quarantined
        ), "the success of a request that started before the quarantine does not end it"
        health.record_success("g3", 1.0)
        assert not health.is_quarantined

    def test_quarantine_grows_up_to_a_limit(self) -> None:
        health = RunnerHealth(policy=HealthPolicy(first_quarantine_s=1.0, growth=2.0))
        now, lengths = 0.0, []
        health.record_failure("a", now)
        health.record_failure("b", now)
        for number in range(8):
            lengths.append(health.quarantined_until - now)
            now = health.quarantined_until
            health.start_trial(f"t{number}")
            health.record_failure(f"t{number}", now)
        assert lengths == [1, 2, 4, 8, 16, MAX_QUARANTINE_S, MAX_QUARANTINE_S, MAX_QUARANTINE_S]

    def test_failure_rate_decays_while_a_runner_is_avoided(self) -> None:
        health = RunnerHealth(policy=HealthPolicy())
        health.record_failure("a", 0.0)
        assert health.failure_rate(0.0) > 4 * health.failure_rate(90.0) > 0

    def test_trial_that_was_not_sent_is_tried_again(self) -> None:
        health = RunnerHealth(policy=HealthPolicy())
        health.record_failure("a", 0.0)
        health.record_failure("b", 0.0)
        health.start_trial("c")
        health.record_unused("c")
        assert health.may_start_trial(5.0)


class TestRetryBudget:
    """Guards against retries that amplify an overload."""

    def test_retries_are_a_share_of_successes(self) -> None:
        budget = RetryBudget(share=0.1, burst=2.0)
        assert [budget.take() for _ in range(3)] == [True, True, False]
        budget.succeeded(19)
        assert [budget.take() for _ in range(2)] == [True, False]

    def test_no_share_means_no_retry(self) -> None:
        budget = RetryBudget(share=0.0)
        budget.succeeded(1000)
        assert not budget.take()


def load(free: int, queued: int = 0, run_s: float = 0.3, delay_s: float = 0.0005) -> ZoneLoad:
    return ZoneLoad(free, queued, 64, run_s, delay_s, (FreeSlots(free, run_s),) if free else ())


class TestZoneChoice:
    """Guards against a distribution that leaves a zone idle or sends requests away needlessly."""

    def test_own_zone_is_preferred(self) -> None:
        zones = {"a": load(10), "b": load(64)}
        assert choose_zones(10, "a", zones, 0.3) == {"a": 10}

    def test_excess_requests_go_to_free_slots_of_another_zone(self) -> None:
        zones = {"a": load(4, run_s=0.3), "b": load(64, run_s=0.3)}
        assert choose_zones(64, "a", {**zones, "a": load(4, 300)}, 0.0) == {"a": 4, "b": 60}

    def test_message_weight_keeps_short_waits_in_the_own_zone(self) -> None:
        zones = {"a": load(0, 1), "b": load(64)}
        assert choose_zones(1, "a", zones, 0.0) == {"b": 1}
        assert choose_zones(1, "a", zones, 1.0) == {"a": 1}

    def test_no_usable_slots_anywhere(self) -> None:
        assert choose_zones(3, "a", {"b": ZoneLoad(0, 0, 0, 0.0, 0.0)}, 0.3) == {"a": 3}

    def test_waiting_requests_move_only_to_free_slots(self) -> None:
        crowded = load(0, 64)
        assert choose_moves({"a": 10}, {"a": crowded, "b": load(64)}, 0.3) == {"a": 10}
        assert choose_moves({"a": 10}, {"a": load(0, 10), "b": load(4)}, 0.3) == {"a": 4}
        assert choose_moves({"a": 10}, {"a": crowded, "b": load(0, 1)}, 0.3) == {}
        assert choose_moves({"a": 1}, {"a": load(0, 1), "b": load(64)}, 0.3) == {}

    def test_load_after_placing_has_the_remaining_slots(self) -> None:
        after = load(10).after(14)
        assert (after.free, after.queued, after.free_slots) == (0, 4, ())
