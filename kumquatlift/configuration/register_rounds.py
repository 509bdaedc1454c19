"""Runs rounds of the configuration register over the channel, in the calling thread."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from typing import Any

from kumquatlift.clock import Clock
from kumquatlift.configuration.acceptor import Accept, Evidence, Prepare, VoterStatus
from kumquatlift.configuration.codec import (
    CodecError,
    Read,
    ReadAnswer,
    decode,
    decode_vote,
    encode,
)
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.in_force import ConfigurationInForce, write_document
from kumquatlift.configuration.proposer import ChangeFunction, Formation, Proposer
from kumquatlift.configuration.value import Ballot, Value
from kumquatlift.configuration.voter import Voter
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic

CALL_TIMEOUT_S = 1.0

SendRequest = Callable[[str, Any], "Future[Any]"]


class RegisterRounds:
    """Runs proposers and formations: sends their messages to the voters and the answers back.

    The voter of this process is called directly.

    Args:
        members: Membership view.
        channel: Messages to other entry processes.
        voter: Voter of this process; None without a disk.
        in_force: Configuration in force here.
        first_document: Document to form the register with, if no process knows another one.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        members: Members,
        channel: Channel,
        voter: Voter | None,
        in_force: ConfigurationInForce,
        first_document: Document | None,
        clock: Clock,
    ) -> None:
        self._members = members
        self._name = members.me.name
        self._proposer_id = f"{members.me.name}~{members.me.incarnation}"
        self._channel = channel
        self._voter = voter
        self._in_force = in_force
        self._first_document = first_document
        self._clock = clock
        self._contact_at: float | None = None
        self._lock = threading.Lock()
        self._ballot_number = 0
        # The voter of this process syncs in a thread of its own, in parallel with the others.
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="voter")

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of the voters; empty before a document is known."""
        doc = self._in_force.document or self._first_document
        return () if doc is None else doc.system.voters

    @property
    def contact_age_s(self) -> float | None:
        """Seconds since a majority of the voters last answered; None before the first time."""
        return None if self._contact_at is None else self._clock.now() - self._contact_at

    def record_contact(self) -> None:
        """Record that a majority of the voters answered."""
        self._contact_at = self._clock.now()

    def base_value(self, found: Value | None) -> Value:
        """Return the value that a round changes or confirms.

        Args:
            found: Value found by the prepare phase; None in a register without a value.
        """
        if found is not None:
            return found.renumber_above(self._in_force.value)
        value = self._in_force.value
        if value is not None:
            # The first value of a new register gets a new version, so that every process installs
            # it and bases its changes on it.
            return value._replace(version=value.version + 1)
        assert self._first_document is not None  # Voters are known only from a document.
        return Value(1, write_document(self._first_document))

    def propose(
        self, *, voters: Iterable[str], quorum: int, change_function: ChangeFunction
    ) -> Proposer:
        """Run one round. A chosen value comes into force here and is sent to all live peers."""
        proposer = Proposer(
            register=self._in_force.register,
            ballot=self._next_ballot(),
            voters=voters,
            quorum=quorum,
            change_function=change_function,
        )
        self._drive(proposer, self._vote, decode_vote)
        with self._lock:
            self._ballot_number = max(self._ballot_number, proposer.highest_ballot.number)
        if proposer.other_register:
            self._in_force.register = proposer.other_register
        if proposer.chosen is not None:
            self.record_contact()
            # The value is sent first, so that peers need not wait for the sync of the copy here.
            if proposer.chosen.version > self._in_force.version:
                self._push(proposer.chosen)
            self._in_force.install(proposer.chosen)
        return proposer

    def form(self, voters: Iterable[str]) -> Formation:
        """Try to form a register, which needs an empty disk at every voter."""
        formation = Formation(voters=voters)
        self._drive(formation, self._confirm, _decode_status)
        return formation

    def read(self, peers: Iterable[str]) -> dict[str, ReadAnswer]:
        """Ask processes for their status, and install a newer configuration that they return."""
        answers: dict[str, ReadAnswer] = {}
        futs = {self._read(peer, ()): peer for peer in peers}
        done, _ = wait(futs, timeout=CALL_TIMEOUT_S)
        for fut in done:
            answer = _decode_reply(fut, lambda data: decode(data, ReadAnswer))
            if isinstance(answer, ReadAnswer):
                answers[futs[fut]] = answer
                if answer.value is not None:
                    self._in_force.install(answer.value)
        return answers

    def close(self) -> None:
        """Stop the thread of the voter."""
        self._executor.shutdown(wait=False)

    def _push(self, value: Value) -> None:
        body = encode(value)
        for member in self._members.live():
            if member.name != self._name:
                self._channel.send(member.name, Topic.CONFIG_VALUE, body)

    def _next_ballot(self) -> Ballot:
        with self._lock:
            self._ballot_number += 1
            return Ballot(self._ballot_number, self._proposer_id)

    def _drive(
        self, machine: Proposer | Formation, send_request: SendRequest, read: Callable[[bytes], Any]
    ) -> None:
        """Run a state machine until it is over or its voters no longer answer."""
        pending = {send_request(voter, msg): voter for voter, msg in machine.start()}
        # A round has two phases, each of which may take as long as one call.
        deadline = self._clock.now() + 2 * CALL_TIMEOUT_S
        while pending and not machine.is_over:
            remaining_s = deadline - self._clock.now()
            done, _ = wait(pending, timeout=max(remaining_s, 0), return_when=FIRST_COMPLETED)
            if not done:
                return
            for fut in done:
                voter = pending.pop(fut)
                reply = _decode_reply(fut, read)
                messages = [] if reply is None else machine.receive(voter, reply)
                pending.update({send_request(other, msg): other for other, msg in messages})

    def _vote(self, voter: str, msg: Prepare | Accept) -> "Future[Any]":
        if voter == self._name:
            return self._executor.submit(self._vote_locally, msg)
        topic = Topic.CONFIG_PREPARE if isinstance(msg, Prepare) else Topic.CONFIG_ACCEPT
        return self._channel.call(voter, topic, encode(msg), timeout_s=CALL_TIMEOUT_S)

    def _vote_locally(self, msg: Prepare | Accept) -> Any:
        return None if self._voter is None else self._voter.vote(msg)

    def _confirm(self, voter: str, evidence: Evidence) -> "Future[Any]":
        fut: Future[Any] = Future()
        if voter != self._name:
            return self._read(voter, evidence)
        answer = self.answer(Read(self._in_force.version, evidence))
        fut.set_result(answer.status)
        return fut

    def _read(self, peer: str, evidence: Evidence) -> "Future[Any]":
        msg = Read(self._in_force.version, evidence)
        if peer == self._name:
            fut: Future[Any] = Future()
            fut.set_result(self.answer(msg))
            return fut
        return self._channel.call(peer, Topic.CONFIG_READ, encode(msg), timeout_s=CALL_TIMEOUT_S)

    def answer(self, msg: Read) -> ReadAnswer:
        """Return this process's answer to ``Read``."""
        value = self._in_force.value
        if self._voter is not None:
            return self._voter.read(msg, value)
        is_newer = value is not None and value.version > msg.newer_than
        return ReadAnswer(None, value if is_newer else None)


def _decode_status(data: bytes) -> VoterStatus | None:
    return decode(data, ReadAnswer).status


def _decode_reply(fut: "Future[Any]", read: Callable[[bytes], Any]) -> Any:
    reply = fut.result()
    # The reply is empty when a process has no voter, or could not read the message or store the
    # vote.
    if isinstance(reply, Failure) or reply == b"":
        return None
    if not isinstance(reply, bytes):
        return reply
    try:
        return read(reply)
    except CodecError as exc:
        get_logger().warning("config_answer_malformed", error=str(exc))
        return None
