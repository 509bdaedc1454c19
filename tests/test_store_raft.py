"""The Raft protocol under message loss, crashes, wiped disks and partitions."""

import pytest

from kumquatlift.clock import ManualClock
from kumquatlift.store import Message, Raft, Role, Timing
from kumquatlift.store._journal import HardState, RecoveredState, Snapshot
from kumquatlift.store._messages import MessageKind
from tools.fuzz_store import (
    PowerLossSchedule,
    Schedule,
    check_agreement,
    check_leaders,
    check_lease,
    check_previous_lease,
    check_served,
    settle,
)
from tools.replica_world import ListMachine, World


def is_served_after_restart(seed: int) -> bool:
    """Restart five voters; return whether one serves shortly after the last start."""
    world = World(count=5, seed=seed)
    world.run(3.0)
    for replica in world.replicas.values():
        replica.crash()
    world.run(1.0)
    for replica in world.replicas.values():
        replica.start(startup_s=0.3)
        world.run(0.1)
    # The third process, which completes a majority, started at least 0.5 s ago. Election timeouts
    # count from the start of the process, not from the time at which the replica is ready.
    world.run(Timing().election_s / 2)
    leader = world.leader
    if leader is None or not leader.raft.is_serving:
        return False
    # A process counts as in contact with the previous leader up to its start, which was at least
    # 0.3 s ago.
    assert leader.raft.since_previous_leader_s >= 0.3
    return True


class TestElection:
    """Elections, the leader lease and leadership transfer."""

    def test_one_leader_is_elected_and_serves(self) -> None:
        world = World()
        world.run(3.0)
        assert world.leader is not None
        assert world.leader.raft.is_serving

    def test_a_cut_off_leader_loses_its_lease_before_another_leads(self) -> None:
        """Guards against two leaders that command the upstreams at the same time."""
        world = World()
        world.run(3.0)
        old = world.leader
        world.cut = lambda sender, to: old.name in (sender, to)
        for _ in range(400):
            world.step()
            leaders = [r.name for r in world.replicas.values() if r.raft.has_lease]
            assert len(leaders) <= 1
        assert world.leader.name != old.name

    def test_an_isolated_follower_does_not_disturb_when_it_returns(self) -> None:
        world = World()
        world.run(3.0)
        leader = world.leader
        term = leader.raft.term
        isolated = next(name for name in world.names if name != leader.name)
        world.cut = lambda sender, to: isolated in (sender, to)
        world.run(5.0)
        world.cut = lambda sender, to: False
        world.run(2.0)
        assert world.leader is leader
        assert leader.raft.term == term

    def test_a_restart_of_all_is_served_soon_after_the_majority_is_back(self) -> None:
        """Guards against half a second without service after a power failure of all instances.

        The instances restart one after the other. Each process starts 0.3 s before its replica is
        ready, and its election timeout counts from the start.
        """
        served = [is_served_after_restart(seed) for seed in range(16)]
        # A split vote takes another election.
        assert sum(served) >= 12

    @pytest.mark.parametrize("seed", range(8))
    def test_a_voter_that_restarts_leaves_the_leader_alone(self, seed: int) -> None:
        """Guards against a restarted voter that starts an election against a live leader."""
        world = World(seed=seed)
        world.run(3.0)
        leader = world.leader
        term = leader.raft.term
        follower = next(each for each in world.replicas.values() if each is not leader)
        follower.crash()
        world.run(1.0)
        follower.start(startup_s=1.0)
        world.run(2.0)
        assert world.leader is leader
        assert leader.raft.term == term

    def test_a_leader_that_stops_hands_over_at_once(self) -> None:
        world = World()
        world.run(3.0)
        leader = world.leader
        leader.raft.transfer_leadership()
        world.step()
        # The old leader receives no message of the election that it has requested.
        world.cut = lambda sender, to: to == leader.name
        for _ in range(30):
            assert sum(replica.raft.has_lease for replica in world.replicas.values()) <= 1
            world.step()
        assert world.leader is not leader


class TestDurability:
    """Acknowledged commands survive crashes and lost disks."""

    def test_commands_survive_a_crash_of_all(self) -> None:
        world = World()
        world.run(3.0)
        world.propose(b"a")
        world.run(0.3)
        assert world.acknowledged == [b"a"]
        for replica in world.replicas.values():
            replica.crash()
        settle(world)
        check_agreement(world)

    def test_a_wiped_replica_does_not_elect_a_leader_without_the_command(self) -> None:
        """Guards against a leader elected by a wiped replica that lacks an acknowledged entry."""
        world = World()
        world.run(3.0)
        leader = world.leader
        behind, wiped = [r for r in world.replicas.values() if r is not leader]
        world.cut = lambda sender, to: behind.name in (sender, to)
        world.propose(b"a")
        world.run(0.3)
        assert world.acknowledged == [b"a"]
        leader.crash()
        wiped.crash(wipe=True)
        world.cut = lambda sender, to: False
        wiped.start()
        world.run(10.0)
        assert world.leader is None
        leader.start()
        world.run(8.0)
        check_agreement(world)

    def test_a_wiped_replica_votes_again_after_it_has_caught_up(self) -> None:
        world = World()
        world.run(3.0)
        wiped = next(r for r in world.replicas.values() if r is not world.leader)
        world.propose(b"a")
        world.run(0.3)
        wiped.crash(wipe=True)
        wiped.start()
        world.run(3.0)
        assert wiped.raft.can_vote
        world.leader.crash()
        world.run(4.0)
        assert world.leader is not None
        settle(world)
        check_agreement(world)

    def test_a_disk_counts_once_its_right_to_vote_is_synced(self) -> None:
        """Guards against a majority with a replica that a restart would find without its vote."""
        world = World()
        world.run(3.0)
        leader = world.leader
        wiped, other = [each for each in world.replicas.values() if each is not leader]
        wiped.crash(wipe=True)
        world.cut = lambda sender, to: {sender, to} == {wiped.name, other.name}
        wiped.start()
        world.run(1.0)
        assert not leader.raft.followers.progress_of(wiped.name).can_vote
        # It holds the whole log. Its disk hangs before the other voter's state is known to it.
        wiped.sync_s = 60.0
        world.cut = lambda sender, to: False
        world.run(1.0)
        assert wiped.raft.can_vote
        assert not wiped.disk.recover().hard.can_vote
        assert not leader.raft.followers.progress_of(wiped.name).can_vote

    def test_a_replica_far_behind_gets_a_snapshot(self) -> None:
        world = World()
        world.run(3.0)
        behind = next(r for r in world.replicas.values() if r is not world.leader)
        behind.crash()
        for number in range(50):
            world.propose(b"c%d" % number)
            world.run(0.05)
        world.leader.compact()
        world.run(0.5)
        settle(world)
        check_agreement(world)

    def test_the_term_outlives_a_received_snapshot(self) -> None:
        """Guards against a journal that starts after a snapshot without the hard state."""
        world = World()
        world.run(3.0)
        behind = next(r for r in world.replicas.values() if r is not world.leader)
        behind.crash()
        world.propose(b"a")
        world.run(0.3)
        world.leader.compact()
        behind.start()
        world.run(2.0)
        term = behind.raft.term
        behind.crash()
        behind.start()
        assert behind.raft.term == term
        assert behind.raft.can_vote

    def test_a_replacement_at_another_address_becomes_a_voter(self) -> None:
        world = World()
        world.run(3.0)
        lost = next(r for r in world.replicas.values() if r is not world.leader)
        lost.crash(wipe=True)
        world.propose(b"a")
        world.run(0.5)
        joiner = world.add("n9")
        world.run(15.0)
        assert joiner.raft.can_vote
        assert joiner.name in joiner.raft.voters
        assert lost.name not in joiner.raft.voters
        assert len(joiner.raft.voters) == 3

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("successor_after_s", [-0.8, 0.5, 1.0])
    def test_a_disk_may_be_lost_when_a_successor_has_had_its_time(
        self, seed: int, successor_after_s: float
    ) -> None:
        """Guards against a voter that is gone for good and still counts for a majority.

        A removed machine stops counting as lost ``catchUpS`` after its successor has started. From
        then on, another disk may be lost.
        """
        world = World(seed=seed)
        world.run(3.0)
        gone = next(each for each in world.replicas.values() if each is not world.leader)
        if successor_after_s < 0:
            world.add("n9")
            world.run(-successor_after_s)
        gone.crash()
        if successor_after_s >= 0:
            world.run(successor_after_s)
            world.add("n9")
        world.run(4.0 + min(0.0, successor_after_s))
        while not world.acknowledged:
            world.propose(b"a")
            world.step()
        remaining = [each for each in world.replicas.values() if each is not gone]
        leader = world.leader
        for each in remaining:
            each.crash(wipe=each is leader)
        for each in remaining:
            each.start()
        world.run(8.0)
        assert world.leader is not None
        assert b"a" in world.leader.machine.commands

    def test_an_instance_joins_while_the_leader_is_not_among_its_contacts(self) -> None:
        """Guards against an instance that never joins as it asks only its contacts to admit it.

        The leader must be found through the voters that the contacts name. Reproduces seed 1003 of
        tools.fuzz_store, with joiners.
        """
        world = World()
        world.target_voters = 5
        world.run(2.0)
        world.add("n8")
        world.run(2.0)
        world.replicas["n8"].raft.start_election(is_forced=True)
        world.run(1.0)
        assert world.leader.name == "n8"
        joiner = world.add("n9")
        world.run(2.0)
        assert joiner.raft.can_vote
        assert joiner.name in world.leader.raft.voters

    def test_an_instance_that_is_a_voter_only_by_its_own_log_joins_again(self) -> None:
        """Guards against a replica that asks for votes forever and never receives the log.

        The entry that made it a voter is only in its own log, so the leader does not send to it.
        Reproduces seed 17 of tools.fuzz_store, with joiners.
        """
        world = World()
        world.target_voters = 5
        world.run(2.0)
        joiner = world.add("n8")
        while joiner.name not in world.leader.raft.voters:
            world.step()
        leader = world.leader
        others = {"n0", "n1", "n2"} - {leader.name}
        world.cut = lambda sender, to: sender == leader.name and to in others
        while joiner.name not in joiner.raft.voters:
            world.step()
        world.cut = lambda sender, to: {sender, to} & {leader.name, joiner.name} != set()
        world.run(2.0)
        assert joiner.name not in world.leader.raft.voters
        world.cut = lambda sender, to: False
        world.run(4.0)
        assert joiner.name in world.leader.raft.voters
        assert joiner.machine.commands == world.leader.machine.commands

    def test_a_removed_voter_finds_a_leader_that_it_does_not_know(self) -> None:
        """Guards against an instance that stays outside once it was replaced while cut off."""
        world = World()
        world.run(3.0)
        removed = next(each for each in world.replicas.values() if each is not world.leader)
        world.cut = lambda sender, to: removed.name in (sender, to)
        joiner = world.add("n8")
        world.run(4.0)
        assert removed.name not in world.leader.raft.voters
        joiner.raft.start_election(is_forced=True)
        world.run(0.5)
        assert world.leader is joiner
        world.cut = lambda sender, to: False
        world.run(4.0)
        assert removed.raft.leader == joiner.name

    @pytest.mark.parametrize("seed", range(8))
    def test_a_voter_that_joined_later_leads_after_a_crash_of_all(self, seed: int) -> None:
        """Guards against a leader that steps down when it applies an old configuration entry.

        After a restart of all instances, a leader applies entries from before it was a voter. When
        it stepped down at these, no instance that had joined later could stay leader after a power
        failure, and for seconds no other one was elected.
        """
        world = World(seed=seed)
        world.target_voters = 5
        world.run(2.0)
        for name in ("n8", "n9"):
            world.add(name)
        world.run(3.0)
        assert len(world.leader.raft.voters) == 5
        world.leader.crash()
        world.run(1.0)
        for replica in world.replicas.values():
            replica.crash()
        for name in ("n8", "n9", "n0", "n1"):
            world.replicas[name].start()
        lost = 0
        for _ in range(200):
            leader = world.leader
            world.step()
            lost += leader is not None and world.leader is not leader
        assert world.leader.raft.is_serving
        assert lost == 0


class TestRandomSchedules:
    """Random crashes, wiped disks, partitions and message loss."""

    @pytest.mark.parametrize("seed", range(40))
    @pytest.mark.parametrize("has_joiners", [False, True])
    def test_nothing_acknowledged_is_lost(self, seed: int, has_joiners: bool) -> None:
        Schedule(seed=seed, has_joiners=has_joiners).run()

    @pytest.mark.parametrize("seed", [*range(12), 144, 230])
    def test_nothing_is_lost_with_all_power_and_some_disks(self, seed: int) -> None:
        """Guards against acknowledgements that rest on memory or on an empty disk."""
        PowerLossSchedule(seed=seed).run()

    def test_messages_before_the_sync_are_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        def send_at_once(raft: Raft, to: str, message: Message) -> None:
            raft._send_now(to, message)

        monkeypatch.setattr(Raft, "_send_when_synced", send_at_once)
        with pytest.raises(AssertionError):
            for seed in range(1, 7):
                PowerLossSchedule(seed=seed).run()

    def test_two_leaders_of_a_term_are_found(self) -> None:
        world = World()
        world.run(2.0)
        leaders: dict[int, str] = {}
        check_leaders(world, leaders)
        other = next(each for each in world.replicas.values() if each is not world.leader)
        other.raft.role = Role.LEADER
        with pytest.raises(AssertionError, match="two leaders"):
            check_leaders(world, leaders)

    def test_two_leases_at_a_time_are_found(self) -> None:
        world = World()
        world.run(2.0)
        leader = world.leader
        other = next(each for each in world.replicas.values() if each is not leader)
        check_lease(world)
        other.raft.role, other.raft.followers = leader.raft.role, leader.raft.followers
        with pytest.raises(AssertionError, match="leases of"):
            check_lease(world)

    def test_too_short_a_wait_for_an_earlier_lease_is_found(self) -> None:
        world = World()
        world.run(2.0)
        lease_starts: dict[int, float] = {}
        check_previous_lease(world, lease_starts)
        world.leader.crash()
        world.run(1.5)
        check_previous_lease(world, lease_starts)
        world.leader.raft._previous_leader_contact_at -= 1.0
        with pytest.raises(AssertionError, match="waits too short"):
            check_previous_lease(world, lease_starts)

    def test_an_older_state_that_is_served_is_found(self) -> None:
        world = World()
        world.run(2.0)
        shown: list[bytes] = []
        world.propose(b"one")
        world.run(0.5)
        assert check_served(world, shown) == 1
        assert shown == [b"one"]
        world.leader.machine.commands.clear()
        with pytest.raises(AssertionError, match="older state"):
            check_served(world, shown)

    def test_lost_command_is_found(self) -> None:
        world = World()
        world.run(2.0)
        world.acknowledged.append(b"never stored")
        with pytest.raises(AssertionError, match="1 acknowledged"):
            check_agreement(world)


class TestDeposedLeader:
    """Guards against messages from a replica that is no longer the leader."""

    def test_a_deposed_leader_stops_sending_a_snapshot(self) -> None:
        """A chunk sent with the new term would be accepted as a message of that term's leader."""
        sent: list[tuple[str, Message]] = []
        raft = Raft(
            name="a",
            recovered=RecoveredState(
                HardState(1, "", True),
                Snapshot(5, 1, ("a", "b", "c"), ListMachine().snapshot()),
                [],
            ),
            initial_voters=(),
            machine=ListMachine(),
            send=lambda to, message: sent.append((to, message)),
            now=ManualClock(start=100.0).now,
        )
        raft.start_election(is_forced=True)
        granted = {"granted": True, "pre": False, "for": raft.term, "quiet_s": 0.0}
        raft.receive("b", Message(MessageKind.VOTE_ANSWER, raft.term, granted))
        behind = {"ok": False, "match": 0, "sent_at": 100.0, "member": True}
        raft.receive("c", Message(MessageKind.APPEND_ANSWER, raft.term, behind))
        assert sent[-1][1].kind is MessageKind.SNAPSHOT
        term = raft.term
        denied = {"granted": False, "pre": False, "for": term, "quiet_s": 0.0}
        raft.receive("b", Message(MessageKind.VOTE_ANSWER, term + 1, denied))
        sent.clear()
        late = {"ok": True, "match": 0, "have": 0, "sent_at": 100.0, "member": True}
        raft.receive("c", Message(MessageKind.APPEND_ANSWER, term, late))
        assert sent == []
