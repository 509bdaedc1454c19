"""The voting side of the configuration register: a state machine without I/O of its own."""

from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from kumquatlift.configuration.value import Ballot, Value

Evidence = tuple[tuple[str, str], ...]
"""Pairs of voter name and nonce, ordered by name: every voter had an empty disk at one time."""


class Prepare(NamedTuple):
    """Asks a voter to ignore lower ballots and to tell what it accepted."""

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
    """A voter's answer to ``Accept``, after it has synced the value."""

    ballot: Ballot


class Refusal(NamedTuple):
    """A voter's answer when it does not vote.

    Args:
        register: Register it votes in; empty when it has an empty disk.
        promised: Lowest ballot that it would take.
    """

    register: str
    promised: Ballot


class VoterStatus(NamedTuple):
    """What a voter tells about itself.

    Args:
        register: Register it votes in; empty when it has accepted nothing.
        accepted: Ballot of the accepted value.
        version: Version of the accepted value.
        nonce: Identity of this emptiness of its disk; empty when it has accepted a value.
        confirmed: Register that it may join as a new voter; empty when none.
    """

    register: str
    accepted: Ballot
    version: int
    nonce: str
    confirmed: str


class VoterState(NamedTuple):
    """What a voter keeps on its disk.

    Args:
        register: Register it votes in.
        promised: Lowest ballot that it takes.
        accepted: Ballot of the accepted value.
        value: The accepted value.
        nonce: Identity of the emptiness; empty when there is a value.
        confirmed: Register that it may join; empty when there is a value.
    """

    register: str = ""
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: Value | None = None
    nonce: str = ""
    confirmed: str = ""


def register_id(evidence: Evidence) -> str:
    """Return the identity of the register that is formed on a piece of evidence."""
    text = "\n".join(f"{name} {nonce}" for name, nonce in evidence)
    return blake2b(text.encode(), digest_size=12).hexdigest()


class Acceptor:
    """One voter.

    A voter with an empty disk gives no votes until it has recovered from the other voters, or has
    confirmed that every voter had an empty disk at one time. The confirmation and what it promises
    before its first accepted value are stored too, so that a restart of several voters during a
    formation does not leave one with a value and the others without a vote.

    Args:
        name: Name of the voter.
        state: What its disk holds; None when it is empty or lost.
        store: Writes a state; it is durable on return. May raise ``OSError``.
        new_nonce: Returns a random text that was never returned before.
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
        """Whether the voter has accepted nothing, so that it still has to recover or to join."""
        return self._state.value is None

    @property
    def state(self) -> VoterState:
        """What the voter has promised and accepted."""
        return self._state

    @property
    def status(self) -> VoterStatus:
        """What the voter tells about itself."""
        if self._state.value is None:
            return VoterStatus("", Ballot(), 0, self._state.nonce, self._state.confirmed)
        state = self._state
        return VoterStatus(state.register, state.accepted, self._state.value.version, "", "")

    def prepare(self, msg: Prepare) -> Promise | Refusal:
        """Promise to ignore lower ballots.

        Raises:
            OSError: The promise could not be stored, so it is not given.
        """
        if not self._may_vote(msg.register) or msg.ballot < self._state.promised:
            return self._refusal()
        self._persist(self._state._replace(register=msg.register, promised=msg.ballot))
        return Promise(msg.ballot, self._state.accepted, self._state.value)

    def accept(self, msg: Accept) -> Accepted | Refusal:
        """Accept a value unless a higher ballot was promised.

        Raises:
            OSError: The value could not be stored, so it does not count as accepted here.
        """
        if not self._may_vote(msg.register) or msg.ballot < self._state.promised:
            return self._refusal()
        self._persist(VoterState(msg.register, msg.ballot, msg.ballot, msg.value))
        return Accepted(msg.ballot)

    def confirm(self, evidence: Evidence) -> None:
        """Allow this voter to join the register formed on the evidence, if it is still empty.

        A nonce serves one piece of evidence. Another piece with the same nonce makes it void,
        so that of two registers formed at the same time at most one can get this vote.

        Raises:
            OSError: The confirmation could not be stored, so it is not given.
        """
        if not self.is_empty or dict(evidence).get(self._name) != self._state.nonce:
            return
        register = register_id(evidence)
        if self._state.confirmed == "":
            self._persist(self._state._replace(confirmed=register))
        elif self._state.confirmed != register:
            # Not stored: a restart brings back the old nonce with its old confirmation.
            self._state = VoterState(nonce=self._new_nonce())

    def recover(self, register: str, ballot: Ballot, value: Value) -> None:
        """Become a voter again after the loss of the disk.

        Args:
            register: Register of the other voters.
            ballot: Ballot of a round in which a majority of all voters, without this one, has
                promised and then accepted the value.
            value: The value of that round.

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
