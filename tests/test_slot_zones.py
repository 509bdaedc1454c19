"""Tests of demands across zones: refusals, moves and deadlines."""

import structlog

from kumquatlift.clock import ManualClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.scheduling.admission import NO_RUNNER_GRACE_S
from kumquatlift.scheduling.open_demands import MIN_ZONE_BACKOFF_S, OpenDemand
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.service_slots import (
    OWNER_LEASE_S,
)
from kumquatlift.scheduling.slot_client import REBALANCE_INTERVAL_S
from tests.fakes import FakeNetwork, member
from tests.slot_world import (
    Listener,
    Process,
    announcement,
    demand,
    token_of,
)


class TestZones:
    """Guards against demands that wait in one zone while another zone has free slots."""

    def test_demand_moves_from_a_zone_without_runners_to_one_that_has_some(self) -> None:
        clock, network = ManualClock(), FakeNetwork()
        north, south = member("a", "z"), member("b", "y")
        with_runner = Process(north, [south], network, clock)
        without_runners = Process(south, [north], network, clock)
        with_runner.owner.announce(announcement(token_of(with_runner, clock)))
        listener = Listener()
        without_runners.client.request("s", demand("w", 2), listener)
        without_runners.client.flush()
        assert not listener.slots
        for _ in range(2):
            clock.advance(REBALANCE_INTERVAL_S)
            without_runners.client.rebalance()
            without_runners.client.flush()
        assert len(listener.slots) == 2
        assert {slot.pool for slot in listener.slots} == {("s", "z")}

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
        assert {slot.pool for slot in listener.slots[-2:]} == {("s", "z")}

    def test_demand_is_sent_again_to_a_zone_that_refused_it_when_it_has_slots(self) -> None:
        """Guards against requests that stay in a zone without runners until their deadline.

        Zones with long queues refused a job, so its requests went to a zone without runners. They
        must move back when a zone that refused them has slots again.
        """
        clock, network = ManualClock(), FakeNetwork()
        north, south = member("a", "z"), member("b", "y")
        refusing = Process(north, [south], network, clock)
        without_runners = Process(south, [north], network, clock)
        early, listener = Listener(), Listener()
        refusing.owner.announce(announcement(token_of(refusing, clock)))
        clock.advance(NO_RUNNER_GRACE_S)
        refusing.owner.announce(announcement(token_of(refusing, clock)))
        without_runners.client.request("s", demand("early", 1), early)
        for _ in range(2):
            clock.advance(REBALANCE_INTERVAL_S)
            without_runners.client.rebalance()
            without_runners.client.flush()
        assert early.slots
        # The known load is out of date: the runner is gone and its owner refuses. The owner of the
        # other zone is new and still waits for runners to announce themselves.
        clock.advance(OWNER_LEASE_S)
        without_runners.client.request("s", demand("w", 2), listener)
        without_runners.client.flush()
        assert not listener.slots
        for _ in range(10):
            clock.advance(REBALANCE_INTERVAL_S)
            refusing.owner.announce(announcement(token_of(refusing, clock)))
            without_runners.client.send_state()
            without_runners.client.rebalance()
            without_runners.client.flush()
        assert {slot.pool for slot in listener.slots} == {("s", "z")}
        assert len(listener.slots) == 2

    def test_refusal_excludes_a_zone_for_a_share_of_the_remaining_time(self) -> None:
        """Guards against a Retry-After beyond the deadline that excludes a zone for good.

        A zone refused a demand because it expected 14.92 s where 6.83 s remained. Other zones took
        over its queue 2 s later, but the demand was not sent to that zone again.
        """
        waiting = demand("w", 9)._replace(deadline_s=10.0)
        entry = OpenDemand(service="s", demand=waiting, listener=Listener(), requested_at=0.0)
        entry.record_refusal("y", Failure(ResultCode.OVERLOADED, "the queue is long", 8096), 3.2)
        assert entry.is_refused("y", 4.8)
        assert not entry.is_refused("y", 5.0)
        entry.record_refusal("y", Failure(ResultCode.OVERLOADED, "the queue is long", 8096), 9.5)
        assert entry.is_refused("y", 9.5 + MIN_ZONE_BACKOFF_S - 0.1)
        entry.record_refusal("z", Failure(ResultCode.NEVER_FITS, "larger than any runner", 0), 3.2)
        assert entry.is_refused("z", 9.9)

    def test_demand_near_its_deadline_goes_before_later_ones_of_another_zone(self) -> None:
        """Guards against a job that misses its deadline while later jobs run in another zone.

        Requests of the first jobs waited for two slots, while four slots of another zone served
        requests of later jobs.
        """
        clock, network = ManualClock(), FakeNetwork()
        near, far = member("a", "z"), member("b", "y")
        process, other = Process(near, [far], network, clock), Process(far, [near], network, clock)

        def announce() -> None:
            for each in (process, other):
                ann = announcement(token_of(each, clock))
                zone = each.members.me.zone
                each.owner.announce(ann._replace(runner=f"r-{zone}", zone=zone))

        def exchange_state() -> None:
            announce()
            for each in (process, other):
                each.client.send_state()
                each.client.rebalance()
                each.client.flush()

        announce()
        for each in (process, other):
            first = Listener()
            each.client.request("s", demand(f"learn-{each.members.me.name}", 1), first)
            each.client.flush()
            each.client.finish(first.slots[0], AttemptOutcome.OK, 0.1)
            each.client.flush()
        early, late, others = Listener(), Listener(), Listener()
        process.client.request("s", demand("others", 4), others)
        other.client.request("s", demand("late", 30)._replace(expected_s=100.0), late)
        for _ in range(2):
            exchange_state()
        process.client.request("s", demand("early", 8)._replace(deadline_s=10.0), early)
        for _ in range(int(6.0 / REBALANCE_INTERVAL_S)):
            clock.advance(REBALANCE_INTERVAL_S)
            exchange_state()
        assert not early.slots
        for slot in late.slots[:4]:
            other.client.finish(slot, AttemptOutcome.OK, 0.1)
        other.client.flush()
        assert {slot.pool for slot in early.slots} == {("s", "y")}

    def test_refused_demand_is_not_sent_to_the_same_zone_again_at_once(self) -> None:
        """Guards against a storm of demands and refusals between two processes.

        The own zone was the fallback even after it had refused, which led to hundreds of refusals
        of one demand within 5 ms.
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
