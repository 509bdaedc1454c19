"""Membership changes and recovery of a lost disk, without network and disk."""

from kumquatlift.store._messages import Message, MessageKind
from kumquatlift.store._voters import REPLACE_AFTER_S, DiskRecovery, ReplicaProgress, next_voters

VOTERS = ("a", "b", "c")


class TestNextVoters:
    """Guards against changes of the voters that leave fewer reliable voters than configured."""

    def change(
        self, *, target_voters: int, unresponsive: str = "", joiner: ReplicaProgress | None = None
    ) -> object:
        now = 100.0
        peers = {
            name: ReplicaProgress(
                True, 50, now - (REPLACE_AFTER_S + 1 if name == unresponsive else 0.1)
            )
            for name in VOTERS
        }
        if joiner is not None:
            peers["d"] = joiner
        return next_voters(
            name="a",
            voters=VOTERS,
            target_voters=target_voters,
            joiners={"d": now} if joiner is not None else {},
            progress_of=peers.get,
            min_match_index=40,
            now=now,
        )

    def test_caught_up_joiner_replaces_an_unresponsive_voter(self) -> None:
        caught_up = ReplicaProgress(True, 50, 100.0)
        assert self.change(target_voters=3, unresponsive="c", joiner=caught_up) == (*VOTERS, "d")
        assert self.change(target_voters=3, joiner=caught_up) is None
        assert self.change(target_voters=5, joiner=caught_up) == (*VOTERS, "d")

    def test_joiner_that_is_behind_or_has_lost_its_disk_does_not_vote(self) -> None:
        assert self.change(target_voters=5, joiner=ReplicaProgress(True, 39, 100.0)) is None
        assert self.change(target_voters=5, joiner=ReplicaProgress(False, 50, 100.0)) is None

    def test_unresponsive_voter_is_removed_only_above_the_target(self) -> None:
        assert self.change(target_voters=2, unresponsive="b") == ("a", "c")
        assert self.change(target_voters=3, unresponsive="b") is None


class TestDiskRecovery:
    """Guards against a replica that votes although its disk lost a vote or an entry."""

    def status(self, term: int, *, can_vote: bool = True) -> Message:
        fields = {"member": can_vote, "voters": VOTERS}
        return Message(MessageKind.STATUS_ANSWER, term, fields)

    def test_both_other_voters_have_to_answer_with_an_intact_disk(self) -> None:
        recovery = DiskRecovery(name="a")
        recovery.record_status("b", self.status(4), 0)
        recovery.record_status("c", self.status(7, can_vote=False), 0)
        assert recovery.term_floor is None
        recovery.record_status("c", self.status(7), 0)
        assert recovery.term_floor == 7

    def test_log_of_an_older_leader_is_not_enough(self) -> None:
        recovery = DiskRecovery(name="a")
        for sender in "bc":
            recovery.record_status(sender, self.status(7), 0)
        fields = {"commit": 20, "own": 18}
        assert not recovery.is_complete(Message(MessageKind.APPEND, 6, fields), 20)
        assert not recovery.is_complete(Message(MessageKind.APPEND, 7, fields), 19)
        assert recovery.is_complete(Message(MessageKind.APPEND, 7, fields), 20)
