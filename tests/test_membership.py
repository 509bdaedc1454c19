"""Membership views on a manual clock with lost datagrams, and gossip over loopback sockets."""

import socket
import time

import pytest

from kumquatlift.clock import ManualClock
from kumquatlift.membership._gossip_codec import MAX_DATAGRAM_BYTES, Message, decode, encode
from kumquatlift.membership._heartbeat_age import HeartbeatAge
from kumquatlift.membership.gossip import Gossip
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.membership.view import (
    MAX_DIGEST_HEARTBEATS,
    MAX_MEMBERS,
    Digest,
    Heartbeat,
    MembershipView,
    Record,
    key_of,
)
from tests.fakes import member
from tests.simulated_gossip import SimulatedGossip


def view_of(name: str, clock: ManualClock) -> MembershipView:
    return MembershipView(me=member(name, "z0"), clock=clock, first_counter=1000)


class TestMembershipView:
    """Views of simulated processes; datagrams are lost with a probability of 30%."""

    @pytest.mark.parametrize("seed", range(5))
    def test_dead_member(self, seed: int) -> None:
        """Guards against a process that still treats a dead member as live after 3 s."""
        sim = SimulatedGossip(count=7, seed=seed)
        sim.run(8.0)
        assert sim.is_complete()
        del sim.processes["m3"]
        sim.run(3.0)
        assert not any(process.sees("m3") for process in sim.processes.values())

    @pytest.mark.parametrize("seed", range(5))
    def test_no_false_removal(self, seed: int) -> None:
        """Guards against the removal of a live member within a minute due to lost datagrams."""
        sim = SimulatedGossip(count=7, seed=seed)
        sim.run(8.0)
        removed: set[tuple[str, str]] = set()

        def check() -> None:
            for name, process in sim.processes.items():
                removed.update((name, other.name) for other in process.view.unreachable())

        sim.run(60.0, check)
        assert removed == set()

    @pytest.mark.parametrize("seed", range(5))
    def test_heal(self, seed: int) -> None:
        """Guards against two sides of a healed partition that stay apart."""
        sim = SimulatedGossip(count=7, seed=seed)
        sim.run(8.0)
        sim.is_cut = lambda sender, receiver: (sender in "m1m4") != (receiver in "m1m4")
        sim.run(30.0)
        inside = {member.name for member in sim.processes["m1"].view.live()}
        assert inside == {"entry-m1", "entry-m4"}
        assert len(sim.processes["m0"].view.live()) == 5
        sim.is_cut = lambda sender, receiver: False
        sim.run(5.0)
        assert sim.is_complete()

    def test_death_during_partition(self) -> None:
        """Guards against a dead member that becomes live again when a partition heals."""
        sim = SimulatedGossip(count=7, seed=1)
        sim.run(8.0)
        sim.is_cut = lambda sender, receiver: (sender in "m1m4") != (receiver in "m1m4")
        sim.run(10.0)
        del sim.processes["m4"]
        sim.run(3.0)
        sim.is_cut = lambda sender, receiver: False

        def check() -> None:
            assert not any(process.sees("m4") for process in sim.processes.values())

        sim.run(10.0, check)
        assert sim.is_complete()

    def test_restart(self) -> None:
        """Guards against keeping the previous incarnation of a process, or both."""
        sim = SimulatedGossip(count=5, seed=2)
        sim.run(8.0)
        restarted = sim.start("m2")
        sim.run(3.0)
        assert sim.is_complete()
        for process in sim.processes.values():
            seen = process.view.get("entry-m2")
            assert seen is not None
            assert seen.incarnation == restarted.view.me.incarnation

    def test_restart_with_clock_set_back(self) -> None:
        """Guards against ignoring a new incarnation because its counter is lower."""
        sim = SimulatedGossip(count=5, seed=3)
        sim.run(8.0)
        del sim.processes["m2"]
        sim.run(4.0)
        restarted = sim.start("m2", clock_error_s=-300.0)
        sim.run(5.0)
        assert sim.is_complete()
        seen = sim.processes["m0"].view.get("entry-m2")
        assert seen is not None
        assert seen.incarnation == restarted.view.me.incarnation

    @pytest.mark.parametrize("seed", range(5))
    def test_leaving(self, seed: int) -> None:
        """Guards against new work for a process more than 2 s after it announced leaving."""
        sim = SimulatedGossip(count=7, seed=seed)
        sim.run(8.0)
        sim.leave("m3")
        sim.run(2.0)
        for process in sim.processes.values():
            assert "entry-m3" not in [member.name for member in process.view.live()]
            assert process.view.get("entry-m3").state is MemberState.LEAVING  # type: ignore[union-attr]

    def test_against_full_information(self) -> None:
        """Guards against views that differ from the running processes after random changes."""
        for seed in range(4):
            sim = SimulatedGossip(count=6, seed=seed)
            sim.run(8.0)
            for _ in range(6):
                name = sim.rng.choice(["m1", "m2", "m3", "m4", "m5"])
                if name in sim.processes:
                    del sim.processes[name]
                else:
                    sim.start(name)
                sim.run(4.0)
                assert sim.is_complete(), f"seed {seed}, after a change of {name}"

    def test_traffic(self) -> None:
        """Guards against traffic above 3 KB/s per process, sent and received, at any group size."""
        for count in (7, 28):
            sim = SimulatedGossip(count=count, seed=0, loss=0.0)
            sim.run(10.0)
            sim.bytes_per_s(1.0)
            sim.run(5.0)
            assert sum(sim.bytes_per_s(5.0)) < 3000

    def test_full_table(self) -> None:
        """Guards against a table or a digest that grows with the number of names received."""
        clock = ManualClock()
        view = view_of("a", clock)
        view.merge_records([Record(member(f"m{n}", "z0"), 5) for n in range(MAX_MEMBERS + 50)])
        assert len(view.snapshot()) == MAX_MEMBERS
        beats = tuple(Heartbeat(key_of(member(f"m{n}", "z0")), 6) for n in range(99))
        view.merge_digest(Digest(Heartbeat(1, 1), 0, beats))
        reported = view.digest(with_others=True).relayed
        assert len(reported) == MAX_DIGEST_HEARTBEATS
        assert set(reported) < set(beats)
        clock.advance(1000.0)
        view.refresh()
        assert view.snapshot() == []

    def test_config_version(self) -> None:
        """Guards against a new configuration version that is not announced to other processes."""
        clock = ManualClock()
        a, b = view_of("a", clock), view_of("b", clock)
        b.merge_records(a.records([key_of(a.me)]))
        a.set_config_version(7)
        assert b.merge_digest(a.digest(with_others=False)) == []
        assert b.get("a") == a.me


class TestHeartbeatAge:
    """Age of relayed and late heartbeats."""

    def test_relayed_heartbeat(self) -> None:
        """Guards against measuring the age of a relayed heartbeat from its arrival."""
        age = HeartbeatAge(counter=0, now=0.0)
        age.advance(8, 1.0)
        age.advance(16, 4.0)
        assert age.age_s(4.0) == 2.0

    def test_clock_stopped(self) -> None:
        """Guards against a member that stays dead forever after its machine was suspended."""
        age = HeartbeatAge(counter=0, now=0.0)
        age.advance(8, 1.0)
        for n in range(20):
            age.advance(10 + 2 * n, 100.0 + n / 4)
        assert age.is_live(105.0)

    def test_single_late_heartbeat(self) -> None:
        """Guards against a dead member that becomes live because of one late datagram."""
        age = HeartbeatAge(counter=0, now=0.0)
        age.advance(8, 1.0)
        age.advance(10, 50.0)
        assert not age.is_live(50.0)


class TestGossip:
    """Datagrams over loopback sockets."""

    def test_two_processes(self) -> None:
        """Guards against faults of the socket loop: bad datagrams, seeds, reports, close."""
        processes = []
        ports = _free_ports(2)
        changes: list[str] = []
        for n, port in enumerate(ports):
            address = f"127.0.0.1:{port}"
            me = Member(f"p{n}", "z0", address, address, address, f"{n:012x}")
            gossip = Gossip(
                me=me,
                seeds=(f"127.0.0.1:{ports[0]}",),
                listener=lambda joined, left: changes.extend(one.name for one in joined),
            )
            gossip.start()
            processes.append(gossip)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket:
            other_socket.sendto(b"\xff" * 99, ("127.0.0.1", ports[0]))
        deadline = time.monotonic() + 10.0
        while changes.count("p0") + changes.count("p1") < 4 and time.monotonic() < deadline:
            time.sleep(0.02)
        try:
            assert sorted(changes) == ["p0", "p0", "p1", "p1"]
            dump = processes[0].snapshot()
            assert dump["traffic"]["bad"] >= 1
            assert [row["diagnosis"] for row in dump["members"]] == ["live"]
        finally:
            for gossip in processes:
                gossip.close()

    def test_codec(self) -> None:
        """Guards against datagrams that lose a field or exceed the maximum size."""
        record = Record(member("a", "z0")._replace(state=MemberState.LEAVING, config_version=4), 9)
        message = Message(Digest(Heartbeat(1, 2), 3, (Heartbeat(4, 5),)), (6, 7), (record,))
        assert decode(encode(message)) == message
        many = message._replace(records=(record,) * 100)
        assert len(encode(many)) <= MAX_DATAGRAM_BYTES
        for data in (b"", b"\xff" * 50, b"GET / HTTP/1.1"):
            with pytest.raises(ValueError, match="not gossip"):
                decode(data)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
