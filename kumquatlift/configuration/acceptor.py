"""The acceptors of the configuration register, as state machines that do no I/O themselves.

The register is a Paxos register: a proposer chooses a value in a round of two phases, prepare and
accept, each of which needs the answers of a majority of the acceptors. The processes that run an
acceptor are called voters.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from kumquatlift.configuration.value import Ballot, Value

Evidence = tuple[tuple[str, str], ...]
"""Pairs of voter name and nonce, ordered by name.

Evidence that all voters have confirmed proves that every voter's disk was empty at the same time,
so that a new register can be formed without losing an accepted value.
"""


class Prepare(NamedTuple):
    """Asks a voter to refuse lower ballots and to report the value that it accepted last."""

    register: str
    ballot: Ballot


class Promise(NamedTuple):
    """A voter's answer to ``Prepare``; ``value`` is None when it has accepted nothing."""

    ballot: Ballot
    accepted: Ballot
    value: Value | None


class Accept(NamedTuple):
    """Asks a voter to accept a value at a ballot."""

    register: str
    ballot: Ballot
    value: Value


class Accepted(NamedTuple):
    """A voter's answer to ``Accept``, sent after the value was synced to disk."""

    ballot: Ballot


class Refusal(NamedTuple):
    """A voter's answer when it does not vote.

    Args:
        register: Register that it votes in; empty when its disk is empty.
        promised: Lowest ballot that it accepts.
    """

    register: str
    promised: Ballot


class VoterStatus(NamedTuple):
    """What a voter reports about itself.

    Args:
        register: Register that it votes in; empty when it has accepted nothing.
        accepted: Ballot of the accepted value.
        version: Version of the accepted value.
        nonce: Random text drawn when the voter started with an empty disk; empty when it has
            accepted a value.
        confirmed: Register that it may join as a new voter; empty when there is none.
    """

    register: str
    accepted: Ballot
    version: int
    nonce: str
    confirmed: str


class VoterState(NamedTuple):
    """What a voter stores on its disk.

    Args:
        register: Register that it votes in.
        promised: Lowest ballot that it accepts.
        accepted: Ballot of the accepted value.
        value: The accepted value.
        nonce: Random text drawn when the voter started with an empty disk; empty when there is a
            value.
        confirmed: Register that it may join as a new voter; empty when there is a value.
    """

    register: str = ""
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: Value | None = None
    nonce: str = ""
    confirmed: str = ""


def register_id(evidence: Evidence) -> str:
    """Return the identity of the register that is formed from the evidence."""
    text = "\n".join(f"{name} {nonce}" for name, nonce in evidence)
    return blake2b(text.encode(), digest_size=12).hexdigest()


class Acceptor:
    """The acceptor of one voter.

    A voter with an empty disk may have lost its promises and accepted values, so it does not vote
    until it has recovered from the other voters, or has confirmed evidence that every voter had
    an empty disk at the same time. The confirmation, and promises given before the first accepted
    value, are stored too: otherwise a restart of several voters during a formation could leave one
    voter with a value and the others unable to vote.

    Args:
        name: Name of the voter.
        state: State read from its disk; None when the disk is empty or the state is lost.
        store: Writes a state, which is durable on return. May raise ``OSError``.
        new_nonce: Returns a random text that it never returned before.
    """

    def __init__(
        self,
        *,
        name: str,
        state: VoterState | None,
        store: Callable[[VoterState], None],
        new_nonce: Callable[[], str],
    ) -> None:
        self._name = name
        self._state = state or VoterState(nonce=new_nonce())
        self._store = store
        self._new_nonce = new_nonce

    @property
    def is_empty(self) -> bool:
        """Whether the voter has accepted no value, so that it must recover or join a register."""
        return self._state.value is None

    @property
    def state(self) -> VoterState:
        """What the voter has promised and accepted."""
        return self._state

    @property
    def status(self) -> VoterStatus:
        """What the voter reports about itself."""
        if self._state.value is None:
            return VoterStatus("", Ballot(), 0, self._state.nonce, self._state.confirmed)
        state = self._state
        return VoterStatus(state.register, state.accepted, self._state.value.version, "", "")

    def prepare(self, msg: Prepare) -> Promise | Refusal:
        """Promise to refuse lower ballots.

        Raises:
            OSError: The promise could not be stored and was not given.
        """
        if not self._may_vote(msg.register) or msg.ballot < self._state.promised:
            return self._refusal()
        self._persist(self._state._replace(register=msg.register, promised=msg.ballot))
        return Promise(msg.ballot, self._state.accepted, self._state.value)

    def accept(self, msg: Accept) -> Accepted | Refusal:
        """Accept a value unless a higher ballot was promised.

        Raises:
            OSError: The value could not be stored and was not accepted.
        """
        if not self._may_vote(msg.register) or msg.ballot < self._state.promised:
            return self._refusal()
        self._persist(VoterState(msg.register, msg.ballot, msg.ballot, msg.value))
        return Accepted(msg.ballot)

    def confirm(self, evidence: Evidence) -> None:
        """Allow this voter to join the register formed from the evidence, if it is still empty.

        A nonce confirms one piece of evidence only. Different evidence with the same nonce makes
        the voter draw a new nonce, which invalidates both, so that of two registers formed
        concurrently at most one gets this voter's vote.

        Raises:
            OSError: The confirmation could not be stored and was not given.
        """
        if not self.is_empty or dict(evidence).get(self._name) != self._state.nonce:
            return
        register = register_id(evidence)
        if self._state.confirmed == "":
            self._persist(self._state._replace(confirmed=register))
        elif self._state.confirmed != register:
            # The new nonce is not stored: after a restart the old nonce is valid again, together
            # with the confirmation that was stored with it.
            self._state = VoterState(nonce=self._new_nonce())

    def recover(self, register: str, ballot: Ballot, value: Value) -> None:
        """Vote again after the loss of the disk.

        Args:
            register: Register of the other voters.
            ballot: Ballot of a round in which the voters other than this one formed a majority of
                all voters that promised and then accepted the value.
            value: Value chosen in that round.

        Raises:
            OSError: The state could not be stored; the voter stays empty.
        """
        if self.is_empty:
            self._persist(VoterState(register, ballot, ballot, value))

    def _may_vote(self, register: str) -> bool:
        if self.is_empty:
            return register != "" and register == self._state.confirmed
        return register == self._state.register

    def _persist(self, state: VoterState) -> None:
        self._store(state)
        self._state = state

    def _refusal(self) -> Refusal:
        return Refusal(self._state.register, self._state.promised)
