"""The proposers of the configuration register, as state machines that do no I/O themselves.

Each machine returns the messages to send as pairs of voter and message. It accepts the answers one
by one, in any order, and ignores duplicates.
"""

from collections.abc import Callable, Iterable

from kumquatlift.configuration.acceptor import (
    Accept,
    Accepted,
    Evidence,
    Prepare,
    Promise,
    Refusal,
    VoterStatus,
    register_id,
)
from kumquatlift.configuration.value import Ballot, Value

ChangeFunction = Callable[[Value | None], Value | None]
"""Computes the value to propose from the value that the prepare phase found.

Returns None to abandon the round.
"""


def majority(voters: Iterable[str]) -> int:
    """Return the number of voters that form a majority."""
    return len(tuple(voters)) // 2 + 1


class Proposer:
    """One round of Paxos, in which a function of the current value is proposed.

    The prepare phase finds the accepted value of the highest ballot among a majority. The change
    function makes a new value from it, which the accept phase proposes. Reads run both phases too,
    with the value unchanged: otherwise a read could return a value that only a minority has
    accepted and that a later round replaces.

    Args:
        register: Register that the voters are expected to vote in.
        ballot: Ballot of the round, which no other round uses.
        voters: Voters to ask; a voter that recovers leaves itself out.
        quorum: Number of votes needed in each phase: a majority of all voters.
        change_function: Computes the value to propose from the one that was found.
    """

    def __init__(
        self,
        *,
        register: str,
        ballot: Ballot,
        voters: Iterable[str],
        quorum: int,
        change_function: ChangeFunction,
    ) -> None:
        self._register = register
        self._ballot = ballot
        self._voters = tuple(voters)
        self._quorum = quorum
        self._change_function = change_function
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()
        self._refused: set[str] = set()
        self._value: Value | None = None
        self._is_abandoned = False
        self.chosen: Value | None = None
        # The highest ballot that a voter reported, above which the next round must start.
        self.highest_ballot = ballot
        # Register of a voter that refused because it votes in another one; empty if none did.
        self.other_register = ""

    @property
    def ballot(self) -> Ballot:
        """Ballot of the round."""
        return self._ballot

    @property
    def is_accepting(self) -> bool:
        """Whether a value was proposed, so that voters may accept it at any later time."""
        return self._value is not None

    @property
    def is_over(self) -> bool:
        """Whether a value was chosen, or this round can no longer choose one."""
        lost = len(self._voters) - len(self._refused) < self._quorum
        return self.chosen is not None or self._is_abandoned or lost

    @property
    def answer_count(self) -> int:
        """Number of voters that answered."""
        return len({*self._promises, *self._accepted, *self._refused})

    def start(self) -> list[tuple[str, Prepare]]:
        """Return the messages of the prepare phase."""
        return [(voter, Prepare(self._register, self._ballot)) for voter in self._voters]

    def receive(self, voter: str, reply: Promise | Accepted | Refusal) -> list[tuple[str, Accept]]:
        """Process an answer and return the messages to send in response."""
        if isinstance(reply, Refusal):
            self._refused.add(voter)
            self.highest_ballot = max(self.highest_ballot, reply.promised)
            if reply.register not in ("", self._register):
                self.other_register = reply.register
        elif reply.ballot != self._ballot:
            return []
        elif isinstance(reply, Accepted):
            self._accepted.add(voter)
            if len(self._accepted) >= self._quorum:
                self.chosen = self._value
        elif self._value is None and not self._is_abandoned:
            self._promises[voter] = reply
            if len(self._promises) >= self._quorum:
                return self._propose()
        return []

    def _propose(self) -> list[tuple[str, Accept]]:
        newest = max(self._promises.values(), key=lambda promise: promise.accepted)
        value = self._change_function(newest.value)
        if value is None:
            self._is_abandoned = True
            return []
        self._value = value._replace(register=self._register)
        accept = Accept(self._register, self._ballot, self._value)
        return [(voter, accept) for voter in self._voters]


class Formation:
    """Establishes that every voter has an empty disk at the same time, and forms a register.

    The nonces of all voters are collected, and then sent to all voters as evidence. A voter
    confirms the evidence only if its nonce is unchanged, so every voter was empty when the last
    nonce was collected. A nonce that was already confirmed for another formation is replaced
    first. Otherwise that voter would refuse this evidence after the other voters had confirmed it,
    and their nonces would block the next formation in the same way.

    Args:
        voters: All voters.
    """

    def __init__(self, *, voters: Iterable[str]) -> None:
        self._voters = tuple(sorted(voters))
        self._statuses: dict[str, VoterStatus] = {}
        self._confirmed: set[str] = set()
        self._evidence: Evidence = ()
        self.is_refused = False
        # Register of a voter that holds a value; empty if none reported one.
        self.register = ""

    @property
    def register_formed(self) -> str:
        """Identity of the new register; empty until every voter has confirmed."""
        complete = bool(self._evidence) and len(self._confirmed) == len(self._voters)
        return register_id(self._evidence) if complete else ""

    @property
    def is_over(self) -> bool:
        """Whether the register is formed, or a voter reported that it holds a value."""
        return self.is_refused or self.register_formed != ""

    def start(self) -> list[tuple[str, Evidence]]:
        """Return the messages that ask each voter for its status."""
        return [(voter, ()) for voter in self._voters]

    def receive(self, voter: str, status: VoterStatus) -> list[tuple[str, Evidence]]:
        """Process a voter's status and return the messages to send in response."""
        if not status.nonce:
            self.is_refused = True
            self.register = status.register
        elif not self._evidence:
            self._statuses[voter] = status
            if len(self._statuses) == len(self._voters):
                return self._send_evidence()
        elif status.confirmed == register_id(self._evidence):
            self._confirmed.add(voter)
        return []

    def _send_evidence(self) -> list[tuple[str, Evidence]]:
        evidence = tuple((voter, self._statuses[voter].nonce) for voter in self._voters)
        register = register_id(evidence)
        confirmed_elsewhere = [
            voter for voter in self._voters if self._statuses[voter].confirmed not in ("", register)
        ]
        if not confirmed_elsewhere:
            self._evidence = evidence
            return [(voter, evidence) for voter in self._voters]
        # Evidence that names a single voter never forms this register; it only makes the voter
        # draw a new nonce.
        return [
            (voter, ((voter, self._statuses.pop(voter).nonce),)) for voter in confirmed_elsewhere
        ]
