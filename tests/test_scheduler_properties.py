"""Property test: compares the scheduler with a simple model of demands, slots and quotas."""

from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.configuration.document import Kind, Service, Team
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer, Scheduler

SLOTS = {"r0": 2, "r1": 3}
QUOTA = 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["enqueue", "enqueue", "cancel", "start", "finish", "finish", "offer"]),
        st.integers(0, 30),
    ),
    max_size=60,
)


class SchedulerModel:
    """Model of the waiting demands and the slots in use, in plain dicts."""

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}
        self.team: dict[str, str] = {}
        self.open: dict[str, Grant] = {}
        self.started: set[str] = set()

    def record(self, grants: list[Grant]) -> None:
        for grant in grants:
            self.remaining[grant.demand_id] -= 1
            assert (
                self.remaining[grant.demand_id] >= 0
            ), "a cancelled or fully granted demand got a grant"
            assert grant.id not in self.open
            self.open[grant.id] = grant
        for runner, slots in SLOTS.items():
            assert sum(grant.runner == runner for grant in self.open.values()) <= slots
        running = [self.team[grant.demand_id] for grant in self.open.values()]
        assert running.count("red") <= QUOTA


class TestAgainstModel:
    """Guards against lost demands, grants after a cancellation and exceeded limits."""

    @given(STEPS)
    def test_limits_hold_and_no_demand_is_lost(self, steps: list[tuple[str, int]]) -> None:
        scheduler = Scheduler(
            service=Service(kinds={"k": Kind(lease_ms=100_000)}),
            teams={"red": Team(max_running=QUOTA), "blue": Team()},
        )
        model = SchedulerModel()
        now = 0.0
        for step, number in [*steps, ("offer", 0)]:
            now += 0.01
            self.apply(scheduler, model, step, number, now)
            model.record(scheduler.poll(now))
        for _ in range(1000):
            if not any(model.remaining.values()):
                break
            now += 0.01
            for name in SLOTS:
                scheduler.offer(self.offer(name), now)
            for grant_id in list(model.open):
                scheduler.finish(grant_id, AttemptOutcome.OK, 0.01, now)
                del model.open[grant_id]
            model.record(scheduler.poll(now))
        assert not any(model.remaining.values()), "a demand was lost"

    def offer(self, name: str) -> RunnerOffer:
        return RunnerOffer(name, "1", name, "w", SLOTS[name], 64)

    def apply(
        self, scheduler: Scheduler, model: SchedulerModel, step: str, number: int, now: float
    ) -> None:
        if step == "enqueue":
            name, team = f"d{len(model.remaining)}", ["red", "blue", ""][number % 3]
            demand = Demand(name, "e", "s", "k", team, 1 + number % 7, number % 4, 1e6, 0.01)
            assert scheduler.enqueue(demand, now) is None
            model.remaining[name], model.team[name] = demand[5], team
        elif step == "cancel" and model.remaining:
            name = f"d{number % len(model.remaining)}"
            assert scheduler.cancel(name, now) == model.remaining[name]
            model.remaining[name] = 0
        elif step == "start" and model.open:
            scheduler.started(list(model.open)[number % len(model.open)], now)
        elif step == "finish" and model.open:
            grant_id = list(model.open)[number % len(model.open)]
            outcome = list(AttemptOutcome)[number % 6]
            scheduler.finish(grant_id, outcome, 0.01, now)
            del model.open[grant_id]
        elif step == "offer":
            for runner in SLOTS:
                scheduler.offer(self.offer(runner), now)
