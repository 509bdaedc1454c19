"""The configuration register: makes changes and answers the requests of other processes."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.acceptor import Accept, Prepare
from kumquatlift.configuration.codec import CodecError, Read, decode, encode
from kumquatlift.configuration.data_file import Disk
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.in_force import (
    ConfigurationInForce,
    Listener,
    ParsedValue,
    read_document,
)
from kumquatlift.configuration.proposer import majority
from kumquatlift.configuration.register_maintenance import RegisterMaintenance
from kumquatlift.configuration.register_rounds import RegisterRounds
from kumquatlift.configuration.value import Change, Proposal, Value
from kumquatlift.configuration.voter import Voter
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic

TICK_S = 0.25
# Every process polls the voters once a second, so that a change whose push was lost reaches the
# process well within 5 s.
TICKS_PER_POLL = 4
CHANGE_TIMEOUT_S = 5.0
MAX_WAITING_CHANGES = 16
# Proposers whose rounds collided retry after a random delay of 1 to 4 times this duration.
BACKOFF_S = 0.05

T = TypeVar("T")


class Register:
    """Access of one process to the configuration of the whole system.

    Args:
        members: Membership view.
        channel: Messages to other entry processes.
        disk: Data folder of this process; None for a process without one, which is never a voter.
        first_document: Document to form the register with, if no process knows another one.
        clock: Source of time.
        section: Section of the blackboard.

    Raises:
        OSError: The data folder cannot be read.
    """

    def __init__(
        self,
        *,
        members: Members,
        channel: Channel,
        disk: Disk | None,
        first_document: Document | None,
        clock: Clock,
        section: Section,
    ) -> None:
        self._clock = clock
        self._voter = None if disk is None else Voter(name=members.me.name, disk=disk)
        self._in_force = ConfigurationInForce(disk=disk)
        self._rounds = RegisterRounds(
            members=members,
            channel=channel,
            voter=self._voter,
            in_force=self._in_force,
            first_document=first_document,
            clock=clock,
        )
        self.maintenance = RegisterMaintenance(
            members=members, rounds=self._rounds, voter=self._voter, in_force=self._in_force
        )
        self._executor = ThreadPoolExecutor(max_workers=4, thread_name_prefix="register")
        self._change_permits = threading.BoundedSemaphore(MAX_WAITING_CHANGES)
        self._stopped = threading.Event()
        channel.handle(Topic.CONFIG_PREPARE, self._handle_prepare)
        channel.handle(Topic.CONFIG_ACCEPT, self._handle_accept)
        channel.handle(Topic.CONFIG_READ, self._handle_read)
        channel.handle(Topic.CONFIG_VALUE, self._handle_value)
        section.publish(self.state)

    @property
    def current(self) -> ParsedValue | None:
        """The value in force here with the document that belongs to it."""
        return self._in_force.current

    @property
    def value(self) -> Value | None:
        """The value in force here."""
        return self._in_force.value

    @property
    def document(self) -> Document | None:
        """The document in force here."""
        return self._in_force.document

    @property
    def version(self) -> int:
        """The version in force here; 0 before one is known."""
        return self._in_force.version

    @property
    def contact_age_s(self) -> float | None:
        """Seconds since a majority of the voters last answered; None before the first time."""
        return self._rounds.contact_age_s

    def on_change(self, listener: Listener) -> None:
        """Call a function for the document in force, if any, and for each later one, in order."""
        self._in_force.add_listener(listener)

    def start(self) -> None:
        """Start the background work; see ``RegisterMaintenance``."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Stop the background work; the outcome of a change in progress may remain unknown."""
        self._stopped.set()
        self._executor.shutdown(wait=False)
        self._rounds.close()

    def propose(self, proposal: Proposal) -> "Future[Change | Failure]":
        """Propose a change.

        Returns:
            A future of the change's record, which a resend gets too, or of a failure:
            ``VERSION_CONFLICT`` (the value in force here is then up to date),
            ``CHANGE_ID_REUSED``, ``INVALID_DOCUMENT``, ``MALFORMED`` (the base version does not
            exist), ``OVERLOADED``, or ``CHANGE_UNKNOWN`` when no majority accepted a value in
            time, in which case the change may still take effect.
        """
        doc = read_document(proposal.document)
        if isinstance(doc, str):
            return _completed(Failure(ResultCode.INVALID_DOCUMENT, doc))
        voters = self._rounds.voters
        if voters and set(doc.system.voters) != set(voters):
            return _completed(
                Failure(
                    ResultCode.INVALID_DOCUMENT,
                    f"system.voters: cannot be changed; the voters are {', '.join(voters)}",
                )
            )
        return self._submit(lambda: self._apply_proposal(proposal))

    def find_change(self, change_id: str) -> "Future[Change | Failure]":
        """Look up the outcome of a change, which is read from a majority if it is unknown here."""
        known = None if self.value is None else self.value.change(change_id)
        return (
            _completed(known) if known else self._submit(lambda: self._find_in_register(change_id))
        )

    def state(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        age_s = self.contact_age_s
        return {
            "version": self.version,
            "register": self._in_force.register,
            "voters": list(self._rounds.voters),
            "is_voter": self.maintenance.is_voter,
            "is_recovering": self._voter is not None and self._voter.is_empty,
            "majority_contact_age_s": None if age_s is None else round(age_s, 3),
        }

    def _run(self) -> None:
        ticks = 0
        while not self._stopped.is_set():
            try:
                self.maintenance.poll() if ticks % TICKS_PER_POLL == 0 else self.maintenance.tick()
            except Exception as exc:
                get_logger().error("register_tick_failed", error=repr(exc), exc_info=True)
            ticks += 1
            self._stopped.wait(TICK_S)

    def _submit(self, function: Callable[[], Change | Failure]) -> "Future[Change | Failure]":
        if not self._change_permits.acquire(blocking=False):
            return _completed(Failure(ResultCode.OVERLOADED, "too many changes are waiting", 1000))
        fut = self._executor.submit(function)
        fut.add_done_callback(lambda _: self._change_permits.release())
        return fut

    def _apply_proposal(self, proposal: Proposal) -> Change | Failure:
        chosen = self._choose_value(lambda found: proposal.apply(self._rounds.base_value(found)))
        if isinstance(chosen, Failure):
            return chosen
        outcome = proposal.outcome(chosen)
        name = "change_refused" if isinstance(outcome, Failure) else "change_accepted"
        get_logger().info(name, change=proposal.id, by=proposal.operator, version=chosen.version)
        return outcome

    def _find_in_register(self, change_id: str) -> Change | Failure:
        chosen = self._choose_value(self._rounds.base_value)
        if isinstance(chosen, Failure):
            return chosen
        reason = (
            f"change {change_id!r} is not among the last changes up to version {chosen.version}; "
            "resend it with the same id to get a final answer"
        )
        return chosen.change(change_id) or Failure(ResultCode.CHANGE_UNKNOWN, reason)

    def _choose_value(self, change_function: Callable[[Value | None], Value]) -> Value | Failure:
        """Run rounds until one chooses a value or ``CHANGE_TIMEOUT_S`` has passed."""
        deadline = self._clock.now() + CHANGE_TIMEOUT_S
        answered = 0
        while self._clock.now() < deadline and not self._stopped.is_set():
            voters = self._rounds.voters
            if not voters:
                break
            proposer = self._rounds.propose(
                voters=voters, quorum=majority(voters), change_function=change_function
            )
            answered = max(answered, proposer.answer_count)
            if proposer.chosen is not None:
                return proposer.chosen
            # After a refusal by voters of another register, the next round asks in that register.
            if not proposer.other_register:
                self._stopped.wait(BACKOFF_S * (1 + 3 * random.random()))
        return Failure(
            ResultCode.CHANGE_UNKNOWN,
            f"{answered} of {len(self._rounds.voters)} voters answered, which made no majority in "
            f"{CHANGE_TIMEOUT_S:g} s; ask again with the same change id",
            1000,
        )

    def _handle_prepare(self, _sender: str, body: bytes) -> bytes | None:
        return self._vote(body, Prepare)

    def _handle_accept(self, _sender: str, body: bytes) -> bytes | None:
        return self._vote(body, Accept)

    def _vote(self, body: bytes, kind: type[Prepare] | type[Accept]) -> bytes | None:
        msg = _decode_or_log(body, kind)
        reply = None if msg is None or self._voter is None else self._voter.vote(msg)
        return None if reply is None else encode(reply)

    def _handle_read(self, _sender: str, body: bytes) -> bytes | None:
        msg = _decode_or_log(body, Read)
        return None if msg is None else encode(self._rounds.answer(msg))

    def _handle_value(self, _sender: str, body: bytes) -> bytes | None:
        value = _decode_or_log(body, Value)
        if value is not None:
            self._in_force.install(value)
        return None


def _decode_or_log(body: bytes, kind: type[T]) -> T | None:
    try:
        return decode(body, kind)
    except CodecError as exc:
        get_logger().warning("config_message_malformed", error=str(exc))
        return None


def _completed(result: Change | Failure) -> "Future[Change | Failure]":
    fut: Future[Change | Failure] = Future()
    fut.set_result(result)
    return fut
