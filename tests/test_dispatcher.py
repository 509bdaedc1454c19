"""Dispatcher with slots and runners that the test controls."""

from collections.abc import Iterator
from concurrent.futures import wait

import pytest

from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import ManualClock, MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.jobs.dispatcher import Dispatcher
from kumquatlift.jobs.job import JobRequest, Task
from kumquatlift.pause_watch import PauseWatch
from kumquatlift.scheduling.demand import UNMEASURED_S, AttemptOutcome
from kumquatlift.scheduling.slot_messages import SlotDemand
from kumquatlift.scheduling.slot_source import GrantedSlot, SlotListener
from kumquatlift.timer import Timer
from kumquatlift.upstreams.runner_client import AttemptEnd, AttemptResult, RunnerClient, RunRequest

DOC = read_mapping(
    {"system": {"voters": ["a"]}, "services": {"s": {"kinds": {"k": {"max_tasks": 5}}}}}
)
assert isinstance(DOC, Document)
JOB = JobRequest("s", "k", "", 0, (Task("t1", 1), Task("t2", 2)))


class FakeSlotSource:
    """Stores demands and records how granted slots were used."""

    def __init__(self) -> None:
        self.demands: dict[str, tuple[SlotDemand, SlotListener]] = {}
        self.finished: list[AttemptOutcome] = []
        self.run_times: list[float] = []

    def request(self, service: str, demand: SlotDemand, listener: SlotListener) -> None:
        self.demands[demand.id] = (demand, listener)

    def cancel(self, demand_id: str) -> None:
        self.demands.pop(demand_id, None)

    def finish(self, slot: GrantedSlot, outcome: AttemptOutcome, run_s: float) -> None:
        self.finished.append(outcome)
        self.run_times.append(run_s)


class FakeRunnerClient(RunnerClient):
    """Records every request and answers it at once."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[RunRequest] = []

    def run(self, address: str, req: RunRequest) -> AttemptResult:
        self.requests.append(req)
        return AttemptResult(AttemptEnd.OK, None, dict(req.tasks), 0.1, True)


class Harness:
    """A dispatcher with fake slots, runners and pauses."""

    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.timer = Timer(clock=self.clock)
        self.slots, self.runners = FakeSlotSource(), FakeRunnerClient()
        self.pause_clock = ManualClock()
        self.pauses = PauseWatch(clock=self.pause_clock)
        self.pauses.tick()
        self.dispatcher = Dispatcher(
            document=lambda: DOC,  # type: ignore[arg-type, return-value]
            slots=self.slots,
            client=self.runners,
            timer=self.timer,
            clock=self.clock,
            pauses=self.pauses,
            section=Blackboard().section("dispatcher"),
        )

    def grant(self, demand_id: str, use_by: float | None = None) -> None:
        """Grant one slot of a demand."""
        slot = GrantedSlot("g", ("s", "z"), "r", "127.0.0.1:9", use_by or self.clock.now() + 60)
        self.slots.demands[demand_id][1].slot_granted(slot)


@pytest.fixture
def harness() -> Iterator[Harness]:
    made = Harness()
    yield made
    made.dispatcher.close()
    made.timer.close()


class TestDispatcher:
    """Guards against lost jobs, work after a cancellation and slots that are never returned."""

    def test_job_is_complete_after_a_grant_for_each_request(self, harness: Harness) -> None:
        fut = harness.dispatcher.run("j", JOB, deadline_at=harness.clock.now() + 60)
        harness.grant("j/1")
        harness.grant("j/1")
        answer = fut.result(timeout=10)
        assert [row.result for row in answer.results] == [1, 2]
        assert harness.slots.finished == [AttemptOutcome.OK] * 2

    def test_many_cancellations_withdraw_their_demands_and_start_nothing(
        self, harness: Harness
    ) -> None:
        deadline_at = harness.clock.now() + 60
        futures = [
            harness.dispatcher.run(f"j{number}", JOB, deadline_at=deadline_at)
            for number in range(2000)
        ]
        listeners = [listener for _, listener in harness.slots.demands.values()]
        for number in range(2000):
            harness.dispatcher.cancel(f"j{number}")
        assert not harness.slots.demands
        assert harness.dispatcher.is_idle
        assert {fut.result().code for fut in futures} == {ResultCode.CANCELLED_BEFORE_START}
        late = GrantedSlot("g", ("s", "z"), "r", "127.0.0.1:9", deadline_at)
        listeners[0].slot_granted(late)
        while not harness.slots.finished:
            wait([], timeout=0.01)
        assert harness.slots.finished == [AttemptOutcome.UNUSED]
        assert not harness.runners.requests

    def test_late_slot_is_returned_and_requested_again(self, harness: Harness) -> None:
        fut = harness.dispatcher.run("j", JOB, deadline_at=harness.clock.now() + 60)
        harness.grant("j/1", use_by=harness.clock.now() - 1)
        harness.grant("j/1")
        while "j/2" not in harness.slots.demands:
            wait([fut], timeout=0.01)
        harness.grant("j/2")
        assert fut.result(timeout=10).is_complete
        assert AttemptOutcome.UNUSED in harness.slots.finished

    def test_run_time_that_contains_a_pause_of_this_process_is_not_reported(
        self, harness: Harness
    ) -> None:
        # A process that was suspended for 5 s would report run times of 5 s, and the owner of the
        # slots would then refuse jobs of 4 s as too late, as it expected 11.62 s where 9.59 s
        # remained.
        fut = harness.dispatcher.run("j", JOB, deadline_at=harness.clock.now() + 60)
        harness.grant("j/1")
        while not harness.slots.run_times:
            wait([fut], timeout=0.01)
        harness.pause_clock.advance(5)
        harness.grant("j/1")
        fut.result(timeout=10)
        assert harness.slots.run_times == [0.1, UNMEASURED_S]

    def test_job_without_slots_fails_at_its_deadline_as_not_run(self, harness: Harness) -> None:
        fut = harness.dispatcher.run("j", JOB, deadline_at=harness.clock.now() + 0.05)
        assert fut.result(timeout=10).code is ResultCode.DEADLINE_UNREACHABLE

    def test_job_that_can_never_run_is_refused_at_once(self, harness: Harness) -> None:
        large = JOB._replace(tasks=tuple(Task(f"t{number}", 0) for number in range(6)))
        refusal = harness.dispatcher.admit(large)
        assert refusal is not None
        assert refusal.code is ResultCode.NEVER_FITS
