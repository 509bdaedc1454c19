"""Membership changes, and recovery of the right to vote after a lost disk."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from kumquatlift.log import get_logger
from kumquatlift.store._messages import Message

# A voter that has not answered for this long may be replaced by a replica that wants to join. The
# shortest time after which a replaced machine may no longer count as lost is 4 s from the start of
# its successor, and another disk may be lost from then on.
REPLACE_AFTER_S = 2.0
# A replica that wants to join repeats its request every 0.25 s; an older request has expired.
JOINER_TIMEOUT_S = 2.0


class DiskRecovery:
    """Determines when a replica without state may vote again.

    The lost disk may have held a vote and acknowledged entries, so the replica must first catch up
    with a leader that is at least as new as any it may have voted for. Every majority of n voters
    overlaps with any n - majority + 1 voters whose disks are intact. So no election that the lost
    vote decided can have a term above the highest term of such a group, and a leader whose term is
    at least that high and that has committed an entry of its own term holds all acknowledged
    entries.

    Args:
        name: Name of this replica.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._status: dict[str, tuple[int, bool]] = {}
        self.known_voters: frozenset[str] = frozenset()
        """Voters named by other replicas; the leader need not be among the contacts."""
        self.term_floor: int | None = None
        """Lowest term whose leader can be trusted; None until enough voters have answered."""

    def record_voters(self, message: Message) -> None:
        """Record the voters that another replica's answer names."""
        self.known_voters |= frozenset(message.fields["voters"])

    def record_status(self, sender: str, message: Message, min_voters: int) -> None:
        """Record another replica's term and voters.

        Args:
            sender: The replica.
            message: Its answer.
            min_voters: An answer that names fewer voters is out of date.
        """
        self._status[sender] = (message.term, message.fields["member"])
        voters = tuple(message.fields["voters"])
        if len(voters) < min_voters or not voters:
            return
        terms = [
            term
            for name, (term, can_vote) in self._status.items()
            if can_vote and name in voters and name != self._name
        ]
        needed = len(voters) - (len(voters) // 2 + 1) + 1
        if len(terms) >= needed and self.term_floor is None:
            self.term_floor = max(terms)
            get_logger().info("term_floor", term=self.term_floor, asked=len(terms))

    def is_complete(self, message: Message, matched: int) -> bool:
        """Return whether this replica holds all that a trusted leader has committed.

        Args:
            message: Message of a leader.
            matched: Index up to which this replica's log matches the leader's.
        """
        if self.term_floor is None or message.term < self.term_floor:
            return False
        commit_index: int = message.fields["commit"]
        return commit_index >= message.fields["own"] and matched >= commit_index


class ReplicaProgress(NamedTuple):
    """Replication progress of a voter or joiner, as the leader sees it.

    Args:
        can_vote: Whether it may vote.
        match_index: Index up to which its log matches the leader's.
        last_contact_at: Time of its last answer, in seconds.
    """

    can_vote: bool
    match_index: int
    last_contact_at: float


def next_voters(
    *,
    name: str,
    voters: tuple[str, ...],
    target_voters: int,
    joiners: Mapping[str, float],
    progress_of: Callable[[str], ReplicaProgress | None],
    min_match_index: int,
    now: float,
) -> tuple[str, ...] | None:
    """Return the voters after the next change; None if no change is due.

    Args:
        name: The leader.
        voters: Present voters.
        target_voters: Number of voters wanted.
        joiners: Replicas that asked to join, with the time of the last request.
        progress_of: Returns the progress of a replica; None for an unknown one.
        min_match_index: A joiner has caught up when its log matches the leader's up to this index.
        now: Clock of the leader, in seconds.
    """
    peers = {other: progress_of(other) for other in {*voters, *joiners} - {name}}
    ready = [
        other
        for other in sorted(joiners)
        if other not in voters
        and now - joiners[other] < JOINER_TIMEOUT_S
        and (peer := peers[other]) is not None
        and peer.can_vote
        and peer.match_index >= min_match_index
    ]
    unresponsive = [
        other
        for other in voters
        if (peer := peers.get(other)) is not None and now - peer.last_contact_at > REPLACE_AFTER_S
    ]
    if len(voters) > target_voters and unresponsive:
        return tuple(other for other in voters if other != unresponsive[0])
    if ready and (len(voters) < target_voters or unresponsive):
        return (*voters, ready[0])
    return None
