"""Which replicas vote: readmission of one whose disk was lost, and changes of the voters."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from kumquatlift.log import get_logger
from kumquatlift.store._messages import Message

# A voter that has been silent for this long makes room for an instance that wants to join.
REPLACE_AFTER_S = 6.0
# A replica that wants to join asks every 0.25 s; one that is silent for this long has gone.
JOINER_TIMEOUT_S = 2.0


class DiskRecovery:
    """Finds out when a replica without state may vote again.

    A lost disk may have held a vote and acknowledged entries. Both are known to the others: every
    majority of n voters meets any n - majority + 1 of those whose disk is intact, so no leader of a
    term below the highest that these know can have been elected with the lost vote.

    Args:
        name: Name of this replica.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._status: dict[str, tuple[int, bool]] = {}
        self.known_voters: frozenset[str] = frozenset()
        """Voters that other replicas named; the leader need not be among the first contacts."""
        self.term_floor: int | None = None
        """Lowest term whose leader can be trusted; None until enough others have answered."""

    def record_status(self, sender: str, message: Message, min_voters: int) -> None:
        """Take another replica's term; answers that know fewer voters are out of date."""
        self._status[sender] = (message.term, message.fields["member"])
        voters = tuple(message.fields["voters"])
        self.known_voters |= frozenset(voters)
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
        """Return whether the log of a trusted leader is here as far as it is committed."""
        if self.term_floor is None or message.term < self.term_floor:
            return False
        commit_index: int = message.fields["commit"]
        return commit_index >= message.fields["own"] and matched >= commit_index


class ReplicaProgress(NamedTuple):
    """A replica that wants to vote, or a voter, as the leader sees it.

    Args:
        can_vote: Whether its disk may vote.
        match_index: Index up to which its log is the leader's.
        last_contact_at: When it last answered, in seconds.
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
    """Return the voters after one change, or None to leave them as they are.

    Args:
        name: The leader.
        voters: Present voters.
        target_voters: Number of voters wanted.
        joiners: Replicas that asked to join, and when they last did.
        progress_of: Returns what the leader knows of a replica.
        min_match_index: A joiner has caught up when its log matches up to here.
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
