"""Tests of slot requests and grants with lost messages and with runners that change their owner."""

import random

import pytest
import structlog

from kumquatlift.clock import ManualClock
from kumquatlift.failure import Failure
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.service_slots import (
    OWNER_LEASE_S,
    RELEASED_WAIT_S,
    REQUESTER_UNREACHABLE_S,
)
from kumquatlift.scheduling.slot_client import REBALANCE_INTERVAL_S
from kumquatlift.scheduling.slot_messages import SlotGrants
from kumquatlift.scheduling.slot_source import GrantedSlot
from kumquatlift.transport.channel import Topic
from tests.fakes import FakeNetwork
from tests.slot_world import (
    FailingListener,
    Listener,
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

    def test_new_owner_waits_for_the_lease_of_the_previous_one(self) -> None:
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

    def test_new_owner_waits_only_for_grants_in_flight_after_a_release(self) -> None:
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

    def test_new_owner_does_not_grant_slots_in_use_for_the_previous_one(self) -> None:
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

    def test_announcement_buffered_while_the_owner_was_suspended_grants_nothing(self) -> None:
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
    def test_owner_that_was_replaced_while_suspended_waits_like_a_new_one(
        self, is_released: bool
    ) -> None:
        # Guards against a stale announcement that registers the runner without a wait, so that
        # the slots are granted while grants of the other owner are still in flight.
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
            # Without a usable runner, a demand is refused at once, so each step sends a new one.
            process.client.request("s", demand(f"w{step}", 1), listener)
            process.client.flush()
            clock.advance(0.25)
        assert len(listener.slots) == 1

    def test_owner_grants_nothing_once_a_runner_echoes_another_owner(self) -> None:
        # Guards against an owner that grants until the lease of its last confirmed answer ends.
        clock = ManualClock()
        process, _ = pair(FakeNetwork(), clock)
        process.owner.announce(announcement(token_of(process, clock)))
        process.owner.announce(announcement("other-9.0"))
        listener = Listener()
        process.client.request("s", demand("w", 4), listener)
        process.client.flush()
        assert not listener.slots

    def test_grant_buffered_while_the_requester_was_suspended_is_not_usable(self) -> None:
        # Guards against a suspended process that uses a grant after its owner has revoked it: a
        # runner with two slots then had three requests.
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
        requester.client.accept_grants(grants[-1])
        (slot,) = listener.slots
        assert slot.use_by < clock.now()

    def test_validity_of_a_grant_starts_at_the_last_message_of_the_requester(self) -> None:
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

    def test_leaving_or_unreachable_runner_gets_no_requests(self) -> None:
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

    def test_failing_listener_does_not_affect_other_grants(self) -> None:
        """Guards against a job that never gets its grant because another listener has failed."""
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
        assert len(third.slots) == 2, "the slots of the failing listener are free again"

    def test_withdrawal_after_a_long_wait_is_logged_with_the_zones(self) -> None:
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

    def test_unreachable_requester_does_not_make_a_runner_appear_slow(self) -> None:
        """Guards against jobs that are refused because a suspended process holds all slots."""
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

        assert slowness_after(REQUESTER_UNREACHABLE_S - REBALANCE_INTERVAL_S) > 1.0
        assert slowness_after(2 * REBALANCE_INTERVAL_S) == 1.0

    def test_slots_of_a_cancelled_demand_are_returned(self) -> None:
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
