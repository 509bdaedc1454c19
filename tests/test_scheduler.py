"""Tests of the scheduler: limits, order, quotas, refusals and failing runners."""

import json

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.configuration.document import Kind, Service, Team, Urgency
from kumquatlift.failure import Failure
from kumquatlift.scheduling.demand import UNMEASURED_S
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer, Scheduler

OK, FAILED, UNUSED = AttemptOutcome.OK, AttemptOutcome.FAILED, AttemptOutcome.UNUSED


def make_scheduler(**limits: int) -> Scheduler:
    kinds = {"count": Kind(urgency=Urgency.URGENT, repeatable=True, lease_ms=2000), "swap": Kind()}
    service = Service(kinds=kinds)._replace(**limits)
    teams = {"red": Team(max_running=3, max_queued=20), "blue": Team()}
    return Scheduler(service=service, teams=teams)


def make_offer(name: str, *, slots: int = 8, busy: int = 0, incarnation: str = "1") -> RunnerOffer:
    return RunnerOffer(name, incarnation, f"{name}:80", "w1", slots, 64, busy)


def make_demand(
    name: str,
    count: int = 1,
    *,
    kind: str = "count",
    team: str = "",
    urgency: int = 1,
    deadline_at: float = 100.0,
) -> Demand:
    return Demand(name, "e1", "stock", kind, team, count, urgency, deadline_at, 0.3)


def run(scheduler: Scheduler, grants: list[Grant], now: float, outcome: AttemptOutcome) -> None:
    for grant in grants:
        scheduler.started(grant.id, now)
        scheduler.finish(grant.id, outcome, 0.3, now + 0.3)


class TestLimits:
    """Guards against more requests on a runner than it has slots or connections."""

    def test_slots_are_not_exceeded_and_are_free_again_when_requests_end(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=2), 0.0)
        assert scheduler.enqueue(make_demand("d1", 5), 0.0) is None
        first = scheduler.poll(0.0)
        assert len(first) == 2
        assert scheduler.poll(0.1) == []
        run(scheduler, first[:1], 0.1, OK)
        assert len(scheduler.poll(0.5)) == 1

    def test_connections_are_a_limit_too(self) -> None:
        scheduler = make_scheduler(connections=3)
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d1", 5), 0.0)
        assert len(scheduler.poll(0.0)) == 3

    def test_slots_in_use_for_a_previous_owner_are_not_granted(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=4, busy=3), 0.0)
        scheduler.enqueue(make_demand("d1", 4), 0.0)
        assert len(scheduler.poll(0.0)) == 1


class TestRunTimes:
    """Guards against estimates that include runs without a measured time."""

    def test_run_without_a_measured_time_does_not_change_the_estimate(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        for number in range(20):
            scheduler.enqueue(make_demand(f"d{number}"), 0.0)
        run(scheduler, scheduler.poll(0.0), 0.0, OK)
        expected = scheduler.expected_wait("count", 10, 1.0)
        for _ in range(9):
            (grant,) = scheduler.poll(1.0)
            scheduler.started(grant.id, 1.0)
            scheduler.finish(grant.id, OK, UNMEASURED_S, 1.0)
        remaining = scheduler.expected_wait("count", 10, 1.0)
        assert abs(remaining - (expected - 9 * 0.3)) < 1e-9


class TestUnreachableRequester:
    """Guards against jobs refused because a suspended requester doesn't report the end of requests.

    Both slots of the only runner of a zone were in use by the suspended process. The runner counted
    as stalled and eight times slower, so the zone expected 58.76 s until the end of jobs that it
    could have run in time, and refused them.
    """

    def refusal(self, *, is_known: bool) -> Failure | None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=2), 0.0)
        for number in range(20):
            scheduler.enqueue(make_demand(f"learn{number}"), 0.0)
            run(scheduler, scheduler.poll(0.0), 0.0, OK)
        scheduler.enqueue(make_demand("d1", 2), 1.0)
        for grant in scheduler.poll(1.0):
            scheduler.started(grant.id, 1.0)
        if is_known:
            scheduler.mark_requester_unreachable("e1")
        # Requests of 0.3 s have been running for 2.5 s; their lease and its margin end at 4.0 s.
        scheduler.offer(make_offer("r1", slots=2), 3.5)
        return scheduler.enqueue(make_demand("d2", 10, deadline_at=7.5), 3.5)

    def test_runner_is_not_stalled_when_its_requester_is_known_to_be_unreachable(self) -> None:
        assert self.refusal(is_known=True) is None

    def test_runner_is_stalled_when_its_requester_should_report_ends(self) -> None:
        assert self.refusal(is_known=False) is not None


class TestRefusals:
    """Guards against refusals that come late, lack a Retry-After or concern work that ran."""

    def check(self, failure: Failure | None, code: ResultCode) -> Failure:
        assert failure is not None
        assert failure.code is code
        assert failure.ran is Ran.NO
        return failure

    def test_demand_over_the_queue_limit_never_fits(self) -> None:
        scheduler = make_scheduler(max_queued=10)
        self.check(scheduler.enqueue(make_demand("d1", 11), 0.0), ResultCode.NEVER_FITS)
        assert scheduler.enqueue(make_demand("d2", 10), 0.0) is None
        assert self.check(
            scheduler.enqueue(make_demand("d3"), 0.0), ResultCode.OVERLOADED
        ).retry_after_ms

    def test_team_over_its_waiting_quota(self) -> None:
        scheduler = make_scheduler()
        assert scheduler.enqueue(make_demand("d1", 20, team="red"), 0.0) is None
        refused = scheduler.enqueue(make_demand("d2", team="red"), 0.0)
        self.check(refused, ResultCode.OVER_QUOTA)
        assert scheduler.enqueue(make_demand("d3", team="blue"), 0.0) is None

    def test_deadline_that_cannot_be_met(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        for number in range(10):
            scheduler.enqueue(make_demand(f"d{number}"), float(number))
            scheduler.offer(make_offer("r1", slots=1), float(number))
            run(scheduler, scheduler.poll(float(number)), float(number), OK)
        assert scheduler.enqueue(make_demand("many", 50), 10.0) is None
        late = scheduler.enqueue(make_demand("late", deadline_at=12.0), 10.0)
        assert self.check(late, ResultCode.DEADLINE_UNREACHABLE).retry_after_ms > 1000
        assert scheduler.expected_wait("count", 1, 10.0) > 10.0

    def test_no_runner_is_refused_after_a_grace_period(self) -> None:
        scheduler = make_scheduler()
        assert scheduler.enqueue(make_demand("d1"), 0.0) is None
        self.check(scheduler.enqueue(make_demand("d2"), 5.0), ResultCode.NO_RUNNER)

    def test_unknown_kind_and_team(self) -> None:
        scheduler = make_scheduler()
        unknown = scheduler.enqueue(make_demand("d1", kind="none"), 0.0)
        self.check(unknown, ResultCode.UNKNOWN_KIND)
        unknown = scheduler.enqueue(make_demand("d1", team="none"), 0.0)
        self.check(unknown, ResultCode.UNKNOWN_TEAM)


class TestGrants:
    """Guards against slots that are lost or used by two requests."""

    def test_grant_that_is_not_started_is_void_after_1_s(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        scheduler.enqueue(make_demand("d1", 2), 0.0)
        grant = scheduler.poll(0.0)[0]
        assert grant.expires_at < 1.0
        assert scheduler.next_wakeup(0.0) <= 1.0
        scheduler.offer(make_offer("r1", slots=1), 0.9)
        assert scheduler.poll(0.99) == []
        assert len(scheduler.poll(1.0)) == 1

    def test_void_grant_whose_start_is_reported_late_occupies_a_slot(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        scheduler.enqueue(make_demand("d1"), 0.0)
        grant = scheduler.poll(0.0)[0]
        scheduler.offer(make_offer("r1", slots=1), 1.0)
        assert scheduler.poll(1.1) == []
        scheduler.started(grant.id, 1.1)
        scheduler.enqueue(make_demand("d2"), 1.1)
        assert scheduler.poll(1.2) == []
        scheduler.finish(grant.id, OK, 0.1, 1.3)
        assert len(scheduler.poll(1.3)) == 1

    def test_slot_is_free_again_when_the_lease_has_ended(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        scheduler.enqueue(make_demand("d1", 2), 0.0)
        scheduler.started(scheduler.poll(0.0)[0].id, 0.0)
        scheduler.offer(make_offer("r1", slots=1), 2.9)
        assert scheduler.poll(2.9) == []
        assert len(scheduler.poll(3.0)) == 1

    def test_repeated_demand_and_finish_change_nothing(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        for _ in range(3):
            assert scheduler.enqueue(make_demand("d1", 2), 0.0) is None
        grants = scheduler.poll(0.0)
        run(scheduler, grants * 2, 0.1, OK)
        assert len(scheduler.poll(0.5)) == 1
        assert scheduler.cancel("d1", 0.5) == 0

    def test_part_of_a_demand_is_cancelled(self) -> None:
        scheduler = make_scheduler()
        scheduler.enqueue(make_demand("d1", 5), 0.0)
        assert scheduler.cancel("d1", 0.0, 2) == 2
        scheduler.offer(make_offer("r1"), 0.0)
        assert len(scheduler.poll(0.0)) == 3
        assert scheduler.cancel("d1", 0.0, 2) == 0

    def test_demand_that_waited_elsewhere_keeps_its_waiting_time(self) -> None:
        scheduler = make_scheduler()
        scheduler.enqueue(make_demand("new"), 0.0)
        scheduler.enqueue(make_demand("moved")._replace(waited_s=1.0), 0.0)
        scheduler.offer(make_offer("r1", slots=1), 0.0)
        assert [grant.demand_id for grant in scheduler.poll(0.0)] == ["moved"]

    def test_demand_past_its_deadline_gets_no_grant(self) -> None:
        scheduler = make_scheduler()
        scheduler.enqueue(make_demand("d1", deadline_at=1.0), 0.0)
        scheduler.offer(make_offer("r1"), 1.0)
        assert scheduler.poll(1.0) == []

    def test_running_quota_of_a_team_and_its_share_of_the_zone(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d1", 8, team="red"), 0.0)
        scheduler.enqueue(make_demand("d2", 1, team="blue"), 0.0)
        assert [grant.demand_id for grant in scheduler.poll(0.0)].count("d1") == 3
        scheduler = make_scheduler()
        scheduler.set_total_slots(24)
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d1", 8, team="red"), 0.0)
        assert len(scheduler.poll(0.0)) == 1


class TestRunners:
    """Guards against work for runners that are gone, shutting down, failing or stalled."""

    def granted_runners(
        self, scheduler: Scheduler, count: int, now: float, kind: str = "count"
    ) -> list[str]:
        scheduler.enqueue(make_demand(f"n{now}", count, kind=kind), now)
        grants = scheduler.poll(now)
        for grant in grants:
            scheduler.finish(grant.id, UNUSED, 0.0, now)
        scheduler.cancel(f"n{now}", now)
        return [grant.runner for grant in grants]

    def fail(self, scheduler: Scheduler, runner: str, now: float) -> None:
        scheduler.enqueue(make_demand(f"f{now}", 24), now)
        for grant in scheduler.poll(now):
            outcome = FAILED if grant.runner == runner else OK
            run(scheduler, [grant], now, outcome)

    def offer_all(self, scheduler: Scheduler, now: float) -> None:
        for name in ("r1", "r2", "r3"):
            scheduler.offer(make_offer(name), now)

    def test_stale_leaving_and_withdrawn_runners_get_no_grants(self) -> None:
        scheduler = make_scheduler()
        self.offer_all(scheduler, 0.0)
        self.offer_all(scheduler, 0.5)
        scheduler.offer(make_offer("r1")._replace(is_leaving=True), 1.0)
        scheduler.offer(make_offer("r2"), 2.6)
        scheduler.withdraw("r3", 1.0)
        assert set(self.granted_runners(scheduler, 24, 2.6)) == {"r2"}
        assert self.granted_runners(scheduler, 1, 4.7) == []

    def test_new_incarnation_has_all_its_slots_free(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=2), 0.0)
        scheduler.enqueue(make_demand("d1", 4), 0.0)
        old = scheduler.poll(0.0)
        scheduler.offer(make_offer("r1", slots=2, incarnation="2"), 0.1)
        assert len(scheduler.poll(0.1)) == 2
        run(scheduler, old, 0.2, FAILED)
        assert scheduler.poll(0.3) == []

    def test_failing_runner_is_quarantined_until_one_repeatable_trial_succeeds(self) -> None:
        scheduler = make_scheduler()
        self.offer_all(scheduler, 0.0)
        self.fail(scheduler, "r1", 0.0)
        assert "r1" not in self.granted_runners(scheduler, 24, 0.4)
        self.offer_all(scheduler, 1.5)
        assert "r1" not in self.granted_runners(scheduler, 24, 1.5, kind="swap")
        assert self.granted_runners(scheduler, 24, 1.6).count("r1") == 1
        scheduler.enqueue(make_demand("d"), 1.7)
        run(scheduler, scheduler.poll(1.7), 1.7, OK)
        assert self.granted_runners(scheduler, 24, 2.1).count("r1") == 8

    def test_quarantines_are_ignored_when_most_runners_fail(self) -> None:
        scheduler = make_scheduler()
        self.offer_all(scheduler, 0.0)
        scheduler.enqueue(make_demand("d", 24), 0.0)
        run(scheduler, scheduler.poll(0.0), 0.0, FAILED)
        assert set(self.granted_runners(scheduler, 24, 0.4)) == {"r1", "r2", "r3"}

    def test_stalled_runner_is_used_last(self) -> None:
        scheduler = make_scheduler()
        self.offer_all(scheduler, 0.0)
        scheduler.enqueue(make_demand("d", 9), 0.0)
        for grant in scheduler.poll(0.0):
            scheduler.started(grant.id, 0.0)
            if grant.runner != "r1":
                scheduler.finish(grant.id, OK, 0.3, 0.3)
        self.offer_all(scheduler, 1.8)
        assert "r1" not in self.granted_runners(scheduler, 6, 1.8)

    def test_refusing_runner_is_left_out_for_its_retry_after_and_then_probed(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d", 3), 0.0)
        for grant in scheduler.poll(0.0):
            scheduler.finish(grant.id, AttemptOutcome.REFUSED, 0.5, 0.1)
        assert self.granted_runners(scheduler, 1, 0.59) == []
        assert self.granted_runners(scheduler, 8, 0.61) == ["r1"]
        scheduler.enqueue(make_demand("e"), 0.7)
        run(scheduler, scheduler.poll(0.7), 0.7, OK)
        assert self.granted_runners(scheduler, 8, 1.1) == ["r1"] * 8

    def test_refusal_without_retry_after_causes_a_short_backoff(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d"), 0.0)
        scheduler.finish(scheduler.poll(0.0)[0].id, AttemptOutcome.REFUSED, 0.0, 0.1)
        assert self.granted_runners(scheduler, 1, 0.19) == []
        assert self.granted_runners(scheduler, 1, 0.21) == ["r1"]

    def test_snapshot_is_plain_data(self) -> None:
        scheduler = make_scheduler()
        self.offer_all(scheduler, 0.0)
        self.fail(scheduler, "r1", 0.0)
        assert json.loads(json.dumps(scheduler.snapshot(1.0)))["runners"]["r1"]["is_out"]


class TestReconfigure:
    """Guards against a new configuration that does not take effect."""

    def test_new_limits_apply_at_once_and_waiting_demands_are_kept(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1"), 0.0)
        scheduler.enqueue(make_demand("d", 5), 0.0)
        service = Service(kinds={"count": Kind()}, slots=2)
        scheduler.reconfigure(service, {})
        assert len(scheduler.poll(0.0)) == 2
