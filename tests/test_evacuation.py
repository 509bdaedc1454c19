"""Availability zones that an operator empties and takes back, in simulation."""

import json
import random
from concurrent.futures import Future
from typing import Any

import pytest

from kumquatlift.authority import (
    Operation,
    OrderAnswer,
    Reply,
    Request,
    ServingConfig,
    StartOrder,
)
from kumquatlift.authority._evacuation import MAX_ZONES, evacuation_command
from kumquatlift.authority._state import State
from kumquatlift.codes import ResultCode
from kumquatlift.store import Role
from tests.authority_world import QUEUE, job
from tools.fleet_model import FleetModel
from tools.model_upstream import ModelUpstream

COLD_S = 3.0
DONE = Reply(ResultCode.ACCEPTED)


class RecordingUpstream(ModelUpstream):
    """An upstream that records when its start orders arrive."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.orders: list[float] = []

    def start(self, token: int, order: StartOrder) -> OrderAnswer:
        self.orders.append(self.world.clock.now())
        return super().start(token, order)


def make(*, seed: int = 1, unanswered_share: float = 0.0) -> FleetModel:
    """Return a fleet with two upstreams in each of the zones "a" and "b"."""
    world = FleetModel(seed=seed, unanswered_share=unanswered_share)
    for name in ("a0", "a1", "b0", "b1"):
        state = world.add_upstream(name, zone=name[0]).state
        world.upstreams[name] = RecordingUpstream(world=world, state=state, speed=1.0)
    world.run(0.2)
    world.configure(QUEUE)
    return world


def ask_number(world: FleetModel) -> str:
    """Return the number that the leader expects of the next order."""
    asked = world.send_request(Request(Operation.EVACUATE, {"zone": "a", "is_empty": True}))
    world.loop.run_pending()
    return str(asked.result(timeout=0).fields["number"])


def order(
    world: FleetModel, zone: str, *, is_empty: bool = True, number: str = ""
) -> "Future[Reply]":
    """Send an order with a number, by default the one that the leader expects."""
    fields: dict[str, Any] = {"zone": zone, "is_empty": is_empty}
    number = number or ask_number(world)
    return world.send_request(Request(Operation.EVACUATE, {**fields, "number": number}))


def evacuate(world: FleetModel, zone: str, *, is_empty: bool = True) -> None:
    """Empty a zone or take it back, and wait for the commit."""
    fut = order(world, zone, is_empty=is_empty)
    world.run(0.05)
    assert fut.result(timeout=0) == DONE


def submit(
    world: FleetModel, first: int, count: int, *, work_ms: float = 100, gap_s: float = 0.02
) -> None:
    for number in range(first, first + count):
        world.submit(f"{number:016x}", job(1), work_ms=work_ms)
        world.run(gap_s)


def orders_after(world: FleetModel, zone: str, at: float) -> list[float]:
    """Return the times at which start orders have reached a zone after a time."""
    return [
        when
        for name, upstream in world.upstreams.items()
        if name[0] == zone and isinstance(upstream, RecordingUpstream)
        for when in upstream.orders
        if when > at
    ]


class TestEmptiedZone:
    """No start order reaches a zone once the order that empties it is committed (rule EVAC)."""

    def test_nothing_is_sent_there_and_runs_end_by_themselves(self) -> None:
        world = make()
        submit(world, 0, 8, work_ms=600)
        evacuate(world, "a")
        emptied_at = world.clock.now()
        assert any(world.upstreams[name].runs for name in ("a0", "a1"))
        submit(world, 8, 40)
        world.run(2.0)
        assert orders_after(world, "a", emptied_at) == []
        assert all(world.state_of(f"{number:016x}") == "completed" for number in range(8))
        assert world.starts == 48 - refused(world, 48)
        assert world.violations == []

    def test_it_is_used_again_when_it_is_taken_back(self) -> None:
        world = make()
        evacuate(world, "a")
        evacuate(world, "a", is_empty=False)
        taken_back_at = world.clock.now()
        submit(world, 0, 20, work_ms=300)
        assert orders_after(world, "a", taken_back_at)

    def test_upstreams_that_come_later_are_left_out_too(self) -> None:
        world = make()
        evacuate(world, "a")
        state = world.add_upstream("a2", zone="a").state
        world.upstreams["a2"] = RecordingUpstream(world=world, state=state, speed=9.0)
        world.run(0.3)
        submit(world, 0, 20)
        assert orders_after(world, "a", 0.0) == []

    def test_admission_knows_the_room_that_is_left_at_once(self) -> None:
        world = make()
        evacuate(world, "a")
        submit(world, 0, 1)
        evacuate(world, "b")
        fut = world.submit("a" * 16, job(1), work_ms=100)
        world.run(0.05)
        assert fut.result(timeout=0).code is ResultCode.OVERLOADED

    @pytest.mark.parametrize("seed", range(8))
    def test_late_orders_and_changes_of_the_leader(self, seed: int) -> None:
        """Load: a part of the orders gets no answer and is carried out seconds later."""
        world = make(seed=seed, unanswered_share=0.2)
        submit(world, 0, 20, work_ms=300)
        evacuate(world, "a")
        emptied_at = world.clock.now()
        sent = sent_starts(world)
        submit(world, 20, 20, work_ms=300)
        world.change_leader(gap_s=0.3)
        world.run(0.5)
        submit(world, 40, 20, work_ms=300)
        world.run(15.0)
        assert [at for zone, at in sent if zone == "a" and at > emptied_at] == []
        assert world.violations == []
        for number in range(60):
            assert world.state_of(f"{number:016x}") in ("completed", "")


class TestUnconfirmedStarts:
    """Starts that are on their way when the zone is emptied are not repeated there."""

    def test_a_start_without_an_answer_is_barred(self) -> None:
        world = make()
        for name in ("a0", "a1"):
            # The answer is lost, and the order too.
            world.upstreams[name].broken_share = 1.0
        submit(world, 0, 6, work_ms=400)
        evacuate(world, "a")
        emptied_at = world.clock.now()
        for name in ("a0", "a1"):
            world.upstreams[name].broken_share = 0.0
        world.run(3.0)
        assert orders_after(world, "a", emptied_at) == []
        assert not any(world.upstreams[name].runs for name in ("a0", "a1"))
        assert all(world.state_of(f"{number:016x}") == "completed" for number in range(6))
        assert world.violations == []

    def test_a_start_that_was_not_carried_out_goes_elsewhere_at_once(self) -> None:
        world = make()
        for name in ("a0", "a1"):
            world.upstreams[name].refused_starts = 1.0
        submit(world, 0, 4, work_ms=100)
        evacuate(world, "a")
        world.run(1.0)
        assert all(world.state_of(f"{number:016x}") == "completed" for number in range(4))
        assert world.violations == []


class TestOrders:
    """Orders that race, are sent again, or arrive late."""

    def test_the_last_committed_of_two_counts(self) -> None:
        world = make()
        first = order(world, "a")
        second = order(world, "a", is_empty=False)
        world.run(0.05)
        assert first.result(timeout=0).code is second.result(timeout=0).code is ResultCode.ACCEPTED
        assert world.authority.state.evacuations.zones == []

    def test_an_order_that_is_sent_again_is_acknowledged_and_changes_nothing(self) -> None:
        world = make()
        for _ in range(3):
            evacuate(world, "a")
        assert world.authority.state.evacuations.zones == ["a"]
        for _ in range(2):
            evacuate(world, "b", is_empty=False)
        assert world.authority.state.evacuations.zones == ["a"]

    @pytest.mark.parametrize("is_committed", [True, False])
    def test_a_delayed_order_has_no_effect_once_another_was_given(self, is_committed: bool) -> None:
        """Failure: the message was in a process that was paused while the zone was taken back."""
        world = make()
        evacuate(world, "a")
        number = ask_number(world)
        last = order(world, "a", is_empty=False)
        world.loop.run_pending()
        if is_committed:
            world.run(0.05)
        delayed = order(world, "a", number=number)
        world.run(0.05)
        assert last.result(timeout=0) == DONE
        assert delayed.result(timeout=0).fields["number"] not in ("", number)
        assert world.authority.state.evacuations.zones == []

    def test_an_order_with_the_number_of_an_earlier_leader_has_no_effect(self) -> None:
        """Failure: the leader is lost before it commits the order that the number names."""
        world = make()
        number = ask_number(world)
        world.change_leader(gap_s=0.3)
        world.run(1.5)
        delayed = order(world, "a", number=number)
        world.run(0.05)
        assert delayed.result(timeout=0).fields["number"] != number
        assert world.authority.state.evacuations.zones == []

    @pytest.mark.parametrize("seed", range(20))
    def test_what_was_acknowledged_holds(self, seed: int) -> None:
        """Failures: lost answers, changes of the leader, messages that arrive again much later."""
        world, rng = make(seed=seed), random.Random(seed)
        sent: list[Request] = []
        for _ in range(30):
            fields: dict[str, Any] = {"zone": rng.choice("ab"), "is_empty": rng.random() < 0.5}
            is_acknowledged = False
            while not is_acknowledged:
                asked = world.send_request(Request(Operation.EVACUATE, fields))
                world.run(0.002)
                number = asked.result(timeout=0).fields.get("number", "")
                sent.append(Request(Operation.EVACUATE, {**fields, "number": number}))
                fut = world.send_request(sent[-1])
                if rng.random() < 0.2:
                    world.run(rng.uniform(0, 0.03))
                    world.change_leader(gap_s=rng.uniform(0.05, 0.3))
                world.run(rng.choice([0.05, 0.05, 0.5]))
                is_lost = rng.random() < 0.3
                is_acknowledged = fut.done() and fut.result() == DONE and not is_lost
            for late in rng.sample(sent, min(3, len(sent))):
                world.send_request(late)
            world.run(0.05)
            is_empty = fields["zone"] in world.authority.state.evacuations
            assert is_empty == fields["is_empty"]

    def test_an_unknown_zone_is_refused_and_one_of_the_settings_is_not(self) -> None:
        world = make()
        fields: dict[str, Any] = {"zone": "none", "is_empty": True}
        unknown = world.send_request(Request(Operation.EVACUATE, fields))
        known = world.send_request(Request(Operation.EVACUATE, {**fields, "is_known": True}))
        world.run(0.05)
        assert unknown.result(timeout=0).code is ResultCode.NOT_FOUND
        assert known.result(timeout=0) == Reply(ResultCode.ACCEPTED, {"number": "1.0"})
        assert world.authority.state.evacuations.zones == []

    def test_an_instance_that_does_not_lead_does_not_answer_for_the_leader(self) -> None:
        world = make()
        fut = order(world, "a")
        world.loop.run_pending()
        world.change_leader(gap_s=0.3)
        world.run(0.05)
        # The order may be committed by another leader.
        assert fut.result(timeout=0).code is ResultCode.CLAIM_UNKNOWN
        late = world.send_request(Request(Operation.EVACUATE, {"zone": "a", "is_empty": True}))
        world.run(0.05)
        assert late.result(timeout=0).code is ResultCode.NOT_LEADER


class TestDurability:
    """The emptied zones outlive leaders and processes."""

    def test_a_new_leader_starts_nothing_there(self) -> None:
        world = make()
        evacuate(world, "a")
        world.change_leader(gap_s=0.3)
        emptied_at = world.clock.now()
        world.run(1.5)
        submit(world, 0, 20)
        assert orders_after(world, "a", emptied_at) == []
        assert orders_after(world, "b", emptied_at)

    def test_a_restart_from_a_snapshot(self) -> None:
        world = make()
        evacuate(world, "a")
        evacuate(world, "b")
        evacuate(world, "b", is_empty=False)
        data = world.authority.snapshot()
        number = world.authority.state.evacuations.number
        world.log.term += 1
        world.authority.on_role(Role.FOLLOWER, world.log.term)
        world.authority.restore(b"")
        assert world.authority.state.evacuations.zones == []
        world.authority.restore(data)
        assert world.authority.state.evacuations.zones == ["a"]
        assert world.authority.state.evacuations.number == number
        emptied_at = world.clock.now()
        world.run(1.5)
        submit(world, 0, 20)
        assert orders_after(world, "a", emptied_at) == []


class TestOtherBuilds:
    """Replicas of the build before and after this one hold the same log."""

    def test_a_state_without_orders_has_the_snapshot_of_the_build_before(self) -> None:
        state = new_state()
        assert json.loads(state.snapshot()) == {"config": "", "jobs": [], "upstreams": []}
        state.restore(state.snapshot())
        assert state.evacuations.zones == []

    def test_a_command_of_a_later_build_is_skipped(self) -> None:
        state = new_state()
        state.apply(1, 1, evacuation_command("a", is_empty=True).to_bytes())
        state.apply(2, 1, b'["of-a-later-build",{"zone":"a"}]')
        state.apply(3, 1, b'["evacuation",{"zone":7,"is_empty":true}]')
        assert (state.evacuations.zones, state.evacuations.number) == (["a"], 1)

    def test_the_number_of_zones_is_bounded(self) -> None:
        state = new_state()
        for number in range(MAX_ZONES + 5):
            state.apply(number + 1, 1, evacuation_command(str(number), is_empty=True).to_bytes())
        assert len(state.evacuations) == MAX_ZONES


class TestColdUpstreams:
    """Upstreams that come back cold get half of what they can take, and teach no speed."""

    def test_they_are_not_flooded_and_no_speed_is_learned(self) -> None:
        world = make()
        evacuate(world, "a")
        evacuate(world, "a", is_empty=False)
        for name in ("a0", "a1"):
            world.upstreams[name].speed = 0.2
            announce_cold(world, name)
        for number in range(6):
            # Their runs end after 0.5 s, those of the others after 0.1 s.
            submit(world, 4 * number, 4, gap_s=0.0)
            world.run(0.04)
            assert all(len(world.upstreams[name].runs) <= 1 for name in ("a0", "a1"))
            world.run(0.2)
        world.run(1.0)
        leader = world.authority._leader
        assert leader is not None
        assert sum(len(orders_after(world, zone, 0.0)) for zone in "ab") == world.starts
        assert orders_after(world, "a", 0.0)
        assert all(leader.fleet[name].speed_samples == 0 for name in ("a0", "a1"))
        world.run(COLD_S)
        submit(world, 50, 8, gap_s=0.0)
        world.run(0.02)
        assert [len(world.upstreams[name].runs) for name in ("a0", "a1")] == [2, 2]
        world.run(2.0)
        assert all(leader.fleet[name].speed < 0.9 for name in ("a0", "a1"))

    def test_nothing_changes_where_no_zone_was_ever_emptied(self) -> None:
        world = make()
        announce_cold(world, "a0")
        leader = world.authority._leader
        assert leader is not None
        assert leader.fleet["a0"].cold_until == 0


def announce_cold(world: FleetModel, name: str) -> None:
    fields = {"upstream": list(world.upstreams[name].state), "cold_ms": COLD_S * 1000}
    world.send_request(Request(Operation.ANNOUNCE, fields))
    world.run(0.01)


def new_state() -> State:
    return State(read_config=lambda _source: ServingConfig(), wall_clock=lambda: 1.0)


def refused(world: FleetModel, jobs: int) -> int:
    return sum(1 for number in range(jobs) if not world.state_of(f"{number:016x}"))


def sent_starts(world: FleetModel) -> list[tuple[str, float]]:
    """Record the zones and times of the start orders that the leader sends from now on."""
    sent: list[tuple[str, float]] = []
    deliver = world.start

    def start(ref: Any, order: StartOrder, done: Any) -> None:
        sent.append((ref.upstream_id[0], world.clock.now()))
        deliver(ref, order, done)

    world.start = start  # type: ignore[method-assign]
    return sent
