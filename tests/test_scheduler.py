"""The scheduler: limits, order, quotas, refusals, failures of runners."""

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.document import Kind, Service, Team, Urgency
from kumquatlift.failure import Failure
from kumquatlift.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer, Scheduler

OK, FAILED, UNUSED = AttemptOutcome.OK, AttemptOutcome.FAILED, AttemptOutcome.UNUSED


def make_scheduler(**limits: int) -> Scheduler:
    kinds = {"count": Kind(urgency=Urgency.URGENT, repeatable=True, lease_ms=2000), "swap": Kind()}
    service = Service(kinds=kinds)._replace(**limits)
    teams = {"red": Team(max_running=3, max_queued=20), "blue": Team()}
    return Scheduler(service=service, teams=teams)


def make_offer(name: str, *, slots: int = 8, busy: int = 0, run: str = "1") -> RunnerOffer:
    return RunnerOffer(name, run, f"{name}:80", "w1", slots, 64, busy)


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
    """Guards against more requests on a runner than its slots or connections."""

    def test_slots_are_not_exceeded_and_return_at_the_end(self) -> None:
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

    def test_slots_held_for_a_former_owner_are_not_granted(self) -> None:
        scheduler = make_scheduler()
        scheduler.offer(make_offer("r1", slots=4, busy=3), 0.0)
        scheduler.enqueue(make_demand("d1", 4), 0.0)
        assert len(scheduler.poll(0.0)) == 1


class TestRefusals:
    """Guards against refusals that come late, name no time or are about work that ran."""

    def check(self, failure: Failure | None, code: ResultCode) -> Failure:
        assert failure is not None
        assert failure.code is code
        assert failure.ran is Ran.NO
        return failure

    def test_demand_over_every_bound_never_fits(self) -> None:
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
