"""Slots between entry processes that lose messages, and runners that change their owner."""

import random

import pytest
import structlog

from kumquatlift.clock import ManualClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.scheduling.admission import NO_RUNNER_GRACE_S
from kumquatlift.scheduling.open_demands import MIN_REFUSAL_S, OpenDemand
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.service_slots import (
    OWNER_LEASE_S,
    RELEASED_WAIT_S,
    REQUESTER_SILENT_S,
)
from kumquatlift.scheduling.slot_client import REBALANCE_INTERVAL_S
from kumquatlift.scheduling.slot_messages import SlotGrants
from kumquatlift.scheduling.slot_source import GrantedSlot
from kumquatlift.transport.channel import Topic
from tests.fakes import FakeNetwork, member
from tests.slot_world import (
    FailingListener,
    Listener,
    Process,
    announcement,
    demand,
    pair,
    token_of,
)


class TestSlots:
    """Guards against slots that are lost, granted twice or granted by two owners."""

    @pytest.mark.parametrize("seed", range(20))
    def test_lost_messages_neither_leak_slots_nor_exceed_the_limit(self, seed: int) -> None:
        rng = random.Random(seed)
        network, clock = FakeNetwork(), ManualClock()
        owner, requester = pair(network, clock)
        network.lost = lambda sender, receiver: rng.random() < 0.3
        listener = Listener()
        total, used = 40, 0
        running: list[tuple[float, GrantedSlot]] = []
        for number in range(total // 4):
            requester.client.request("s", demand(f"w{number}", 4), listener)
        for step in range(3000):
            clock.advance(0.05)
            owner.owner.announce(announcement(token_of(owner, clock), busy=len(running)))
            if step % 20 == 0:
                requester.client.send_state()
            requester.client.flush()
            owner.owner.tick()
            while listener.slots:
                slot = listener.slots.pop()
                running.append((clock.now() + rng.uniform(0.05, 0.5), slot))
                used += 1
            assert len(running) <= 4
            for item in [item for item in running if item[0] <= clock.now()]:
                running.remove(item)
                requester.client.finish(item[1], AttemptOutcome.OK, 0.1)
        network.lost = lambda sender, receiver: False
        assert used == total, "every demand is granted in the end"
        assert listener.refused == 0

    def test_new_owner_waits_for_the_lease_of_the_former_one(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        listener = Listener()
        process.client.request("s", demand("w", 4), listener)
        process.client.flush()
        process.owner.announce(announcement("other-9.0"))
        for _ in range(int(OWNER_LEASE_S / 0.5)):
            assert not listener.slots
            process.owner.announce(announcement(token_of(process, clock)))
            clock.advance(0.5)
        process.owner.announce(announcement(token_of(process, clock)))
        assert len(listener.slots) == 4

    def test_new_owner_waits_only_for_grants_on_their_way_after_a_release(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        listener = Listener()
        process.client.request("s", demand("w", 4), listener)
        process.client.flush()
        process.owner.announce(announcement("other-9.0"), is_released=True)
        process.owner.announce(announcement(token_of(process, clock)))
        assert not listener.slots
        clock.advance(RELEASED_WAIT_S)
        process.owner.announce(announcement(token_of(process, clock)))
        assert len(listener.slots) == 4

    def test_new_owner_leaves_slots_alone_that_are_busy_for_the_former_one(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        listener = Listener()
        process.client.request("s", demand("w", 4), listener)
        process.client.flush()
        process.owner.announce(announcement("other-9.0", busy=3))
        for _ in range(6):
            clock.advance(0.5)
            busy = 3 + len(listener.slots)
            process.owner.announce(announcement(token_of(process, clock), busy=busy))
        assert len(listener.slots) == 1

    def test_nothing_is_granted_before_the_runner_has_chosen_the_owner(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        listener = Listener()
        process.client.request("s", demand("w", 1), listener)
        process.client.flush()
        answer = process.owner.announce(announcement(""))
        assert not isinstance(answer, Failure)
        assert not listener.slots
        process.owner.announce(announcement(answer.owner))
        assert len(listener.slots) == 1

    def test_announcement_that_lay_in_a_buffer_during_a_freeze_grants_nothing(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        stale = announcement(token_of(process, clock))
        process.owner.announce(stale)
        clock.advance(OWNER_LEASE_S)
        listener = Listener()
        process.client.request("s", demand("w", 1), listener)
        process.owner.announce(stale)
        process.client.flush()
        assert not listener.slots
        process.owner.announce(announcement(token_of(process, clock)))
        assert len(listener.slots) == 1

    @pytest.mark.parametrize("is_released", [False, True])
    def test_owner_that_was_replaced_during_a_freeze_waits_like_a_new_one(
        self, is_released: bool
    ) -> None:
        # A stale announcement had registered the runner without a wait, and the slots that came
        # back from the other owner were granted while that owner's grants were on their way.
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        stale = announcement(token_of(process, clock))
        process.owner.announce(stale)
        clock.advance(3 * OWNER_LEASE_S)
        process.owner.tick()
        process.owner.announce(stale)
        listener = Listener()
        process.owner.announce(announcement("other-9.0"), is_released=is_released)
        steps = int((RELEASED_WAIT_S if is_released else OWNER_LEASE_S) / 0.25)
        for step in range(steps + 1):
            assert not listener.slots
            process.owner.announce(announcement(token_of(process, clock)))
            # Without a usable runner a demand is refused at once, so each step has one of its own.
            process.client.request("s", demand(f"w{step}", 1), listener)
            process.client.flush()
            clock.advance(0.25)
        assert len(listener.slots) == 1

    def test_owner_grants_nothing_once_a_runner_echoes_another_owner(self) -> None:
        # The lease of the former owner ended only with its last confirmed answer.
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        process.owner.announce(announcement(token_of(process, clock)))
        process.owner.announce(announcement("other-9.0"))
        listener = Listener()
        process.client.request("s", demand("w", 4), listener)
        process.client.flush()
        assert not listener.slots

    def test_grant_that_lay_in_a_buffer_during_a_freeze_is_too_late(self) -> None:
        # A process that was stopped took a grant for new that its owner had already taken back,
        # and a runner of two slots had three requests.
        clock, network = ManualClock(), FakeNetwork()
        owner, requester = pair(network, clock)
        listener = Listener()
        requester.client.request("s", demand("w", 1), listener)
        requester.client.flush()
        grants: list[SlotGrants] = []
        requester.channel.handle(
            Topic.SLOTS_GRANT, lambda _, body: grants.append(SlotGrants.from_bytes(body))
        )
        owner.owner.announce(announcement(token_of(owner, clock)))
        clock.advance(5.0)
        requester.client.take_grants(grants[-1])
        (slot,) = listener.slots
        assert slot.use_by < clock.now()

    def test_grant_counts_from_the_newest_message_of_the_requester(self) -> None:
        clock, network = ManualClock(), FakeNetwork()
        owner, requester = pair(network, clock)
        listener = Listener()
        requester.client.request("s", demand("w", 1), listener)
        requester.client.flush()
        clock.advance(5.0)
        requester.client.rebalance()
        requester.client.flush()
        owner.owner.announce(announcement(token_of(owner, clock)))
        (slot,) = listener.slots
        assert slot.use_by > clock.now()

    def test_leaving_or_silent_runner_gets_nothing(self) -> None:
        for leaving in (True, False):
            clock = ManualClock()
            process, _ = pair(FakeNetwork(), clock)
            listener = Listener()
            token = token_of(process, clock)
            process.owner.announce(announcement(token))
            if leaving:
                process.owner.announce(announcement(token, leaving=True))
            else:
                clock.advance(OWNER_LEASE_S + 0.1)
                process.owner.tick()
            process.client.request("s", demand("w", 1), listener)
            process.client.flush()
            assert not listener.slots

    def test_demand_moves_from_a_zone_without_runners_to_one_that_has_some(self) -> None:
        clock, network = ManualClock(), FakeNetwork()
        north, south = member("a", "z"), member("b", "y")
        with_runner = Process(north, [south], network, clock)
        without = Process(south, [north], network, clock)
        with_runner.owner.announce(announcement(token_of(with_runner, clock)))
        listener = Listener()
        without.client.request("s", demand("w", 2), listener)
        without.client.flush()
        assert not listener.slots
        for _ in range(2):
            clock.advance(REBALANCE_INTERVAL_S)
            without.client.rebalance()
            without.client.flush()
        assert len(listener.slots) == 2
        assert {slot.place for slot in listener.slots} == {("s", "z")}

    def test_demand_moves_away_from_an_owner_whose_grants_do_not_arrive(self) -> None:
        clock, network = ManualClock(), FakeNetwork()
        members = [member("a", "z"), member("b", "y")]
        near, far = (
            Process(me, [other for other in members if other != me], network, clock)
            for me in members
        )
        listener = Listener()
        far.owner.announce(announcement(token_of(far, clock))._replace(zone="y"))
        near.client.request("s", demand("first", 1), listener)
        near.client.flush()
        near.client.send_state()
        near.client.flush()
        network.lost = lambda sender, receiver: sender == "b"
        near.client.request("s", demand("second", 2), listener)
        near.client.flush()
        granted = len(listener.slots)
        near.owner.announce(announcement(token_of(near, clock)))
        for _ in range(8):
            clock.advance(REBALANCE_INTERVAL_S)
            near.owner.announce(announcement(token_of(near, clock)))
            near.client.rebalance()
            near.client.flush()
        assert len(listener.slots) >= granted + 2
        assert {slot.place for slot in listener.slots[-2:]} == {("s", "z")}

    def test_listener_that_fails_keeps_no_grant_from_the_others(self) -> None:
        """Guards against a job that waits until its deadline for a slot that it was granted."""
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        failing, listener, third = FailingListener(), Listener(), Listener()
        for name, each in (("first", failing), ("second", listener)):
            process.client.request("s", demand(name, 2), each)
        process.client.flush()
        process.owner.announce(announcement(token_of(process, clock)))
        assert len(listener.slots) == 2
        process.client.flush()
        process.client.request("s", demand("third", 2), third)
        process.client.flush()
        assert len(third.slots) == 2, "the slots that were not taken are free again"

    def test_withdrawn_demand_that_waited_long_is_logged_with_the_zones(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        process.owner.announce(announcement(token_of(process, clock)))
        for name, waits_s in (("short", 0.5), ("long", 1.5)):
            process.client.request("s", demand(name, 6), Listener())
            process.client.flush()
            clock.advance(waits_s)
            process.owner.announce(announcement(token_of(process, clock)))
            process.client.send_state()
            process.client.flush()
            with structlog.testing.capture_logs() as lines:
                process.client.cancel(name)
            process.client.flush()
        (line,) = lines
        assert line["event"] == "demand_withdrawn"
        assert (line["demand"], line["waited_s"]) == ("long", 1.5)
        assert line["zones"] == "z:open=6,free=0,queued=6,slots=4,heard;unplaced=0"

    def test_zone_that_refused_is_asked_again_when_it_has_slots(self) -> None:
        """Guards against requests that wait for a zone without slots beside one with free slots.

        Found by a loop of the scenario of the frozen owner: two zones refused a job while their
        queues were long, its requests went to a zone without runners, and stayed there until the
        deadline.
        """
        clock, network = ManualClock(), FakeNetwork()
        north, south = member("a", "z"), member("b", "y")
        refusing = Process(north, [south], network, clock)
        lonely = Process(south, [north], network, clock)
        early, listener = Listener(), Listener()
        refusing.owner.announce(announcement(token_of(refusing, clock)))
        clock.advance(NO_RUNNER_GRACE_S)
        refusing.owner.announce(announcement(token_of(refusing, clock)))
        lonely.client.request("s", demand("early", 1), early)
        for _ in range(2):
            clock.advance(REBALANCE_INTERVAL_S)
            lonely.client.rebalance()
            lonely.client.flush()
        assert early.slots
        # The load that is known is old: the runner has gone, and its owner refuses. The owner of
        # the other zone is new and still waits for runners.
        clock.advance(OWNER_LEASE_S)
        lonely.client.request("s", demand("w", 2), listener)
        lonely.client.flush()
        assert not listener.slots
        for _ in range(10):
            clock.advance(REBALANCE_INTERVAL_S)
            refusing.owner.announce(announcement(token_of(refusing, clock)))
            lonely.client.send_state()
            lonely.client.rebalance()
            lonely.client.flush()
        assert {slot.place for slot in listener.slots} == {("s", "z")}
        assert len(listener.slots) == 2

    def test_silent_requester_does_not_make_a_runner_look_slow(self) -> None:
        """Guards against jobs that are refused since a frozen process holds all slots."""
        clock, network = ManualClock(), FakeNetwork()
        clock.advance(1.0)
        owner, requester = pair(network, clock)
        owner.owner.announce(announcement(token_of(owner, clock)))
        held = Listener()
        requester.client.request("s", demand("held", 4), held)
        requester.client.flush()
        assert len(held.slots) == 4

        def slowness_after(seconds: float) -> float:
            for _ in range(int(seconds / REBALANCE_INTERVAL_S)):
                clock.advance(REBALANCE_INTERVAL_S)
                owner.owner.announce(announcement(token_of(owner, clock), busy=4))
                owner.owner.tick()
            slots = owner.owner._services[("s", "z")]
            return float(slots.snapshot(clock.now())["runners"]["r"]["slowness"])

        assert slowness_after(REQUESTER_SILENT_S - REBALANCE_INTERVAL_S) > 1.0
        assert slowness_after(2 * REBALANCE_INTERVAL_S) == 1.0

    def test_refusal_holds_for_a_share_of_the_time_that_is_left(self) -> None:
        """Guards against a Retry-After beyond the deadline that leaves a zone out for good.

        Found by the scenario of the frozen owner: a zone refused with "14.92 s are expected and
        6.83 s are left" while it had the queue of all zones; 2 s later other zones took it over.
        """
        waiting = demand("w", 9)._replace(deadline_s=10.0)
        entry = OpenDemand(service="s", demand=waiting, listener=Listener(), asked_at=0.0)
        entry.note_refusal("y", Failure(ResultCode.OVERLOADED, "the queue is long", 8096), 3.2)
        assert entry.is_refused("y", 4.8)
        assert not entry.is_refused("y", 5.0)
        entry.note_refusal("y", Failure(ResultCode.OVERLOADED, "the queue is long", 8096), 9.5)
        assert entry.is_refused("y", 9.5 + MIN_REFUSAL_S - 0.1)
        entry.note_refusal("z", Failure(ResultCode.NEVER_FITS, "larger than any runner", 0), 3.2)
        assert entry.is_refused("z", 9.9)

    def test_demand_near_its_deadline_goes_before_later_ones_of_another_zone(self) -> None:
        """Guards against a job that misses its deadline while later jobs run in another zone.

        Found by the scenario of the frozen owner: the rest of the first jobs waited for two
        slots, while four slots of another zone took requests of the second jobs.
        """
        clock, network = ManualClock(), FakeNetwork()
        near, far = member("a", "z"), member("b", "y")
        process, other = Process(near, [far], network, clock), Process(far, [near], network, clock)

        def announce() -> None:
            for each in (process, other):
                ann = announcement(token_of(each, clock))
                zone = each.members.me.zone
                each.owner.announce(ann._replace(runner=f"r-{zone}", zone=zone))

        def take_turns() -> None:
            announce()
            for each in (process, other):
                each.client.send_state()
                each.client.rebalance()
                each.client.flush()

        announce()
        for each in (process, other):
            learned = Listener()
            each.client.request("s", demand(f"learn-{each.members.me.name}", 1), learned)
            each.client.flush()
            each.client.finish(learned.slots[0], AttemptOutcome.OK, 0.1)
            each.client.flush()
        early, late, others = Listener(), Listener(), Listener()
        process.client.request("s", demand("others", 4), others)
        other.client.request("s", demand("late", 30)._replace(expected_s=100.0), late)
        for _ in range(2):
            take_turns()
        process.client.request("s", demand("early", 8)._replace(deadline_s=10.0), early)
        for _ in range(int(6.0 / REBALANCE_INTERVAL_S)):
            clock.advance(REBALANCE_INTERVAL_S)
            take_turns()
        assert not early.slots
        for slot in late.slots[:4]:
            other.client.finish(slot, AttemptOutcome.OK, 0.1)
        other.client.flush()
        assert {slot.place for slot in early.slots} == {("s", "y")}

    def test_refused_demand_is_not_sent_to_the_same_zone_again_at_once(self) -> None:
        """Guards against a storm of demands and refusals between two processes.

        Found by a run of the scenarios: hundreds of refusals of one demand within 5 ms, since the
        own zone was the last resort also after it had refused.
        """
        clock, network = ManualClock(), FakeNetwork()
        near, far = member("a", "z"), member("b", "y")
        process, other = Process(near, [far], network, clock), Process(far, [near], network, clock)
        other.owner.announce(announcement("someone-9.0"))
        process.client.request("s", demand("first", 1), Listener())
        process.client.flush()
        clock.advance(NO_RUNNER_GRACE_S)
        with structlog.testing.capture_logs() as lines:
            process.client.request("s", demand("second", 1), Listener())
            for _ in range(20):
                process.client.flush()
        zones = [line["zone"] for line in lines if line["event"] == "demand_refused"]
        assert len(zones) == len(set(zones))

    def test_slots_of_a_vanished_demand_are_given_back(self) -> None:
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        process.owner.announce(announcement(token_of(process, clock)))
        cancelled, other = Listener(), Listener()
        process.client.request("s", demand("first", 4), cancelled)
        process.client.cancel("first")
        process.client.flush()
        process.client.request("s", demand("second", 4), other)
        process.client.flush()
        assert not cancelled.slots
        assert len(other.slots) == 4
