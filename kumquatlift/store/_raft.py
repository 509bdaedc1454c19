"""Agreement of replicas on one log, as a state machine without input and output (Raft)."""

import random
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from kumquatlift.log import get_logger
from kumquatlift.store._followers import MAX_IN_FLIGHT, Followers
from kumquatlift.store._journal import HardState, Recovered, Snapshot, entry_record, hard_record
from kumquatlift.store._log import Log
from kumquatlift.store._messages import Entry, Message, MessageKind
from kumquatlift.store._snapshot_parts import ArrivingSnapshot
from kumquatlift.store._unsynced import Unsynced
from kumquatlift.store._voters import DiskRecovery, next_voters

# A replica without state, or one that no leader has sent to for the longer time, asks this often.
ASK_S = 0.25
UNHEARD_S = 1.5


class Role(Enum):
    """Part that a replica plays in its term."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


class Timing(NamedTuple):
    """Periods of the protocol, in seconds.

    Args:
        heartbeat_s: A leader sends to every follower this often.
        lease_s: A leader serves this long after it sent what a majority has answered.
        election_s: A follower starts an election after this much silence, and up to twice as much.
            Longer than the lease, so that an old leader has stopped before a new one begins.
    """

    heartbeat_s: float = 0.06
    lease_s: float = 0.3
    election_s: float = 0.35


DEFAULT_TIMING = Timing()


class StateMachine(Protocol):
    """What the committed entries are applied to, in the thread of the replica."""

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the whole state; empty bytes are the initial state."""

    def on_role(self, role: Role, term: int) -> None:
        """Take note that this replica leads or no longer leads."""


class Raft:
    """One replica.

    The owner calls ``receive``, ``tick``, ``propose`` and ``synced`` in one thread, and calls
    ``flush`` after each batch of these. Records to be written are taken with ``take_records``;
    messages that promise something about them wait until ``synced``.

    Args:
        name: Name of this replica.
        recovered: What its data folder holds.
        founders: Voters of the first formation; empty when this start is not the first formation.
        machine: State machine.
        send: Sends a message to a replica; it may be lost.
        now: Clock that counts suspended time, in seconds.
        started_at: Reading of that clock at the start of the process, which has answered no leader
            before; the present one when left out.
        timing: Periods.
        rng: Source of election delays.
    """

    def __init__(
        self,
        *,
        name: str,
        recovered: Recovered,
        founders: tuple[str, ...],
        machine: StateMachine,
        send: Callable[[str, Message], None],
        now: Callable[[], float],
        started_at: float | None = None,
        timing: Timing = DEFAULT_TIMING,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self._machine = machine
        self._send_now = send
        self._now = now
        self._timing = timing
        self._rng = rng or random.Random()
        self.role = Role.FOLLOWER
        self.leader = ""
        self._unsynced = Unsynced(send=send)
        self._load(recovered, founders)
        self._unsynced.restart_at(self.last_index)
        self.commit = self._log.base.position
        self.applied = self._log.base.position
        # Kept after the leadership, until the next one begins.
        self.followers: Followers | None = None
        # Voters for this replica, and when each had last heard a leader.
        self._votes: dict[str, float] = {}
        self._heard_at = now() if started_at is None else started_at
        self._former_heard_at = self._heard_at
        self._led_at = self._heard_at
        self._is_pre_vote = False
        self._leader_since = 0.0
        self._first_own_index = 0
        self._is_leaving = False
        self._recovery = DiskRecovery(name=name)
        self._arriving = ArrivingSnapshot()
        self._asked_at = 0.0
        self._elect_after(self._heard_at)
        if self._log.base.state:
            machine.restore(self._log.base.state)

    def _load(self, recovered: Recovered, founders: tuple[str, ...]) -> None:
        hard = recovered.hard
        if hard is None and self.name in founders:
            hard = HardState(0, "", True)
            self._log = Log(base=Snapshot(0, 0, founders, b""), entries=[])
            self._unsynced.records.append(hard_record(hard))
            self._append(Entry(0, b"", founders))
        else:
            self._log = Log(base=recovered.snapshot, entries=list(recovered.entries))
        self._hard = hard or HardState()

    @property
    def term(self) -> int:
        """Current term."""
        return self._hard.term

    @property
    def is_member(self) -> bool:
        """Whether this replica's disk may vote and count for a majority."""
        return self._hard.is_member

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._log.last_index

    @property
    def voters(self) -> tuple[str, ...]:
        """Voters by the newest entry that names them, committed or not."""
        return self._log.voters

    @property
    def majority(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    @property
    def _led(self) -> Followers | None:
        return self.followers if self.role is Role.LEADER else None

    @property
    def has_lease(self) -> bool:
        """Whether this replica leads, and no other replica can."""
        if self.role is not Role.LEADER or self._is_leaving:
            return False
        return self.lease_age_s < self._timing.lease_s

    @property
    def lease_age_s(self) -> float:
        """Age of the newest message that a majority has answered, which the lease counts from.

        Every promise that ends a fixed time after that message is over when the next leader has
        waited as long from ``former_quiet_s`` ago.
        """
        now = self._now()
        acked_at = self.followers.acked_at if self.followers else lambda name: 0.0
        times = [now if name == self.name else acked_at(name) for name in self.voters]
        return now - sorted(times, reverse=True)[self.majority - 1]

    @property
    def former_quiet_s(self) -> float:
        """How long ago a replica that elected this one had last heard an earlier leader.

        A majority answered every message that an earlier leader counts its lease from, so one of
        the voters for this replica was among them.
        """
        return self._now() - self._former_heard_at

    @property
    def is_serving(self) -> bool:
        """Whether this replica leads with a lease and has applied all that was committed before."""
        return self.has_lease and self.applied >= self._first_own_index

    # Log

    def _append(self, entry: Entry) -> int:
        index = self._log.append(entry)
        self._unsynced.records.append(entry_record(index, entry))
        return index

    def propose(self, data: bytes, voters: tuple[str, ...] | None = None) -> int | None:
        """Append a command as the leader.

        Returns:
            Index of the entry, or None when this replica does not lead.
        """
        if self.role is not Role.LEADER:
            return None
        return self._append(Entry(self.term, data, voters))

    # Disk

    def take_records(self) -> list[bytes]:
        """Return what must be written before ``synced`` is called; empty when nothing waits."""
        return self._unsynced.take(self.last_index)

    def synced(self) -> None:
        """Take note that the records taken last are durable."""
        self._unsynced.on_synced(self.last_index)

    def _send_when_synced(self, to: str, message: Message) -> None:
        if self._unsynced.is_empty:
            self._send_now(to, message)
            return
        self._unsynced.send_later(to, message)
        if not self._unsynced.records:
            # Gives the message a sync of its own to wait for.
            self._unsynced.records.append(hard_record(self._hard))

    def _set_hard(self, hard: HardState) -> None:
        if hard != self._hard:
            self._hard = hard
            self._unsynced.records.append(hard_record(hard))

    # Elections

    def _reset_election(self) -> None:
        self._elect_after(self._now())

    def _elect_after(self, silent_since: float) -> None:
        self._election_at = silent_since + self._timing.election_s * (1 + self._rng.random())

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._set_hard(HardState(term, "", self.is_member))
            self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        was_leader = self.role is Role.LEADER
        if was_leader:
            self._led_at = self._now()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election()
        if was_leader:
            get_logger().info("leadership_lost", term=self.term, leader=leader)
            self._machine.on_role(Role.FOLLOWER, self.term)

    def start_election(self, *, is_forced: bool = False) -> None:
        """Ask for votes; without force only whether an election could be won."""
        if not self.is_member or self.name not in self.voters:
            self._reset_election()
            return
        self.role = Role.CANDIDATE
        self.leader = ""
        self._votes = {self.name: self._newest_leader_at()}
        self._is_pre_vote = not is_forced
        self._reset_election()
        if is_forced:
            self._set_hard(HardState(self.term + 1, self.name, True))
        self._ask_votes(is_forced)
        self._count_votes()

    def _ask_votes(self, is_forced: bool) -> None:
        fields = {
            "last": self.last_index,
            "last_term": self._log.term_at(self.last_index),
            "forced": is_forced,
        }
        kind = MessageKind.PRE_VOTE if self._is_pre_vote else MessageKind.VOTE
        for voter in self.voters:
            if voter != self.name:
                self._send_when_synced(voter, Message(kind, self.term, fields))

    def _count_votes(self) -> None:
        if self.role is not Role.CANDIDATE or len(self._votes) < self.majority:
            return
        if self._is_pre_vote:
            self._is_pre_vote = False
            self._votes = {self.name: self._newest_leader_at()}
            self._set_hard(HardState(self.term + 1, self.name, True))
            self._reset_election()
            self._ask_votes(False)
            self._count_votes()
        else:
            self._lead()

    def _newest_leader_at(self) -> float:
        """Return when this replica had last heard a leader, or was one."""
        return self._now() if self.role is Role.LEADER else max(self._heard_at, self._led_at)

    def _lead(self) -> None:
        now = self._now()
        self._former_heard_at = max(self._votes.values())
        self.role = Role.LEADER
        self.leader = self.name
        self._leader_since = now
        next_index = self.last_index + 1
        self._first_own_index = self._append(Entry(self.term))
        self.followers = Followers(
            names=[voter for voter in self.voters if voter != self.name],
            next_index=next_index,
            term=self.term,
            first_own_index=self._first_own_index,
            log=self._log,
            send=self._send_now,
            now=self._now,
        )
        get_logger().info("leadership_won", term=self.term, last=self.last_index)
        self._machine.on_role(Role.LEADER, self.term)

    def _on_vote(self, sender: str, message: Message) -> None:
        is_pre_vote = message.kind is MessageKind.PRE_VOTE
        is_quiet = self._now() - self._heard_at >= self._timing.election_s
        may_vote = self.is_member and (is_quiet or bool(message.fields.get("forced")))
        if self.role is Role.LEADER and not message.fields.get("forced"):
            may_vote = not self.has_lease and self.is_member
        if not may_vote:
            return
        if not is_pre_vote:
            self._adopt_term(message.term)
        mine = (self._log.term_at(self.last_index) or 0, self.last_index)
        is_current = (message.fields["last_term"], message.fields["last"]) >= mine
        if is_pre_vote:
            granted = is_current and message.term >= self.term
        else:
            granted = is_current and message.term == self.term
            granted = granted and self._hard.vote in ("", sender)
            if granted:
                self._set_hard(HardState(self.term, sender, True))
                self._reset_election()
        fields = {
            "granted": granted,
            "pre": is_pre_vote,
            "for": message.term,
            "quiet_s": self._now() - self._newest_leader_at(),
        }
        self._send_when_synced(sender, Message(MessageKind.VOTE_ANSWER, self.term, fields))

    def _on_vote_answer(self, sender: str, message: Message) -> None:
        self._adopt_term(message.term)
        if self.role is not Role.CANDIDATE or message.fields["for"] != self.term:
            return
        if message.fields["granted"] and message.fields["pre"] == self._is_pre_vote:
            self._votes[sender] = self._now() - message.fields["quiet_s"]
            self._count_votes()

    # Replication

    def flush(self) -> None:
        """Send what followers lack, commit what a majority has synced, and apply it."""
        if followers := self._led:
            followers.send_new(self.commit)
            self._advance_commit(followers)
        self._apply()

    def _on_append(self, sender: str, message: Message) -> None:
        if not self._hear_leader(sender, message):
            return
        prev = message.fields["prev"]
        if prev < self._log.base.position:
            matched = self._log.base.position
            skip = self._log.base.position - prev
            entries = message.entries[skip:]
            is_match = len(message.entries) >= skip
        else:
            matched, entries = prev, message.entries
            is_match = self._log.term_at(prev) == message.fields["prev_term"]
        if is_match:
            matched = self._merge(matched, entries)
            self.commit = max(self.commit, min(message.fields["commit"], matched))
        became_member = is_match and self._maybe_become_member(message, matched)
        fields = {
            "ok": is_match,
            "match": matched if is_match else min(prev - 1, self.last_index),
            "sent_at": message.fields["sent_at"],
            "member": self.is_member,
        }
        answer = Message(MessageKind.APPEND_ANSWER, self.term, fields)
        if became_member or (is_match and matched > self._unsynced.synced_index):
            self._send_when_synced(sender, answer)
        else:
            # A heartbeat's answer must not wait for a slow disk.
            self._send_now(sender, answer)

    def _merge(self, index: int, entries: tuple[Entry, ...]) -> int:
        for entry in entries:
            index += 1
            if self._log.term_at(index) == entry.term:
                continue
            if index <= self.last_index:
                self._log.truncate(index - 1)
                self._unsynced.truncate(index - 1)
            self._append(entry)
        return index

    def _hear_leader(self, sender: str, message: Message) -> bool:
        floor = self._recovery.term_floor if self._recovery.term_floor is not None else self.term
        if message.term < max(self.term, floor if not self.is_member else 0):
            fields = {"ok": False, "match": 0, "sent_at": 0.0, "member": self.is_member}
            self._send_now(sender, Message(MessageKind.APPEND_ANSWER, self.term, fields))
            return False
        self._adopt_term(message.term)
        if self.leader != sender or self.role is not Role.FOLLOWER:
            self._become_follower(sender)
            get_logger().info("leader_heard", leader=sender, term=self.term)
        self._heard_at = self._now()
        self._reset_election()
        return True

    def _on_append_answer(self, sender: str, message: Message) -> None:
        self._adopt_term(message.term)
        followers = self._led
        if followers and message.term == self.term:
            followers.on_answer(sender, message, self.commit)

    def _advance_commit(self, followers: Followers) -> None:
        matches = [
            self._unsynced.synced_index if voter == self.name else followers.match(voter)
            for voter in self.voters
        ]
        index = sorted(matches, reverse=True)[self.majority - 1]
        if index > self.commit and self._log.term_at(index) == self.term:
            self.commit = index

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self._log.entry(self.applied)
            if entry.data:
                self._machine.apply(self.applied, entry)
            elif entry.voters is not None:
                get_logger().info("voters", index=self.applied, voters=",".join(entry.voters))
                # Entries of former days are applied again after a start; only the newest counts.
                if self.role is Role.LEADER and self.name not in self.voters:
                    self._become_follower("")

    # Snapshots

    def compact(self) -> tuple[Snapshot, list[bytes]]:
        """Drop the applied entries from memory.

        Returns:
            The snapshot that replaces them, and the records that follow it. Records that were
            taken for writing are among them.
        """
        self._log.compact(self.applied, self._machine.snapshot())
        return self._log.base, self.whole_records()

    def whole_records(self) -> list[bytes]:
        """Return the records of everything but the snapshot, in place of those not yet taken."""
        self._unsynced.records = []
        return [hard_record(self._hard), *self._log.records()]

    def _on_snapshot(self, sender: str, message: Message) -> Snapshot | None:
        """Take a part; return the snapshot when it is whole and must be saved."""
        if not self._hear_leader(sender, message):
            return None
        fields = message.fields
        have = self._arriving.add(fields["at"], message.blob)
        is_whole = fields["is_last"] and have == fields["at"] + len(message.blob)
        answer = {
            "ok": True,
            "match": fields["index"] if is_whole else 0,
            "have": have,
            "sent_at": fields["sent_at"],
            "member": self.is_member,
        }
        reply = Message(MessageKind.APPEND_ANSWER, self.term, answer)
        if not is_whole or fields["index"] <= self.applied:
            self._send_now(sender, reply)
            return None
        state = self._arriving.state()
        base = Snapshot(fields["index"], fields["index_term"], tuple(fields["voters"]), state)
        self._log.replace(base)
        self._unsynced.restart_at(base.position)
        self.commit = self.applied = base.position
        self._machine.restore(state)
        self._unsynced.send_later(sender, reply)
        return base

    # Replicas without state, and changes of voters

    def _maybe_become_member(self, message: Message, matched: int) -> bool:
        """Vote again once the log of a leader is here that no lost vote can have elected."""
        if self.is_member or not self._recovery.is_complete(message, matched):
            return False
        get_logger().info("disk_recovered", term=self.term, index=matched)
        # The vote of the current term may have been given before the disk was lost.
        self._set_hard(HardState(self.term, self.leader, True))
        return True

    def _ask_status(self, contacts: tuple[str, ...]) -> None:
        for name in sorted({*contacts, *self.voters, *self._recovery.known} - {self.name}):
            self._send_now(name, Message(MessageKind.STATUS, self.term))
            self._send_now(name, Message(MessageKind.JOIN, self.term))

    def _on_join(self, sender: str) -> None:
        if followers := self._led:
            followers.join(sender, silent_s=self._timing.lease_s)

    def _change_voters(self, followers: Followers, target: int) -> None:
        """Admit a joiner that has caught up, or remove a voter that a joiner replaces.

        One change at a time, and only when the one before is committed.
        """
        if self._log.has_change_after(self.commit) or self.applied < self._first_own_index:
            return
        voters = next_voters(
            name=self.name,
            voters=self.voters,
            target=target,
            joiners=followers.joiners,
            find=followers.find,
            least_match=self.commit - MAX_IN_FLIGHT,
            now=self._now(),
        )
        if voters is not None:
            self.propose(b"", voters)

    # Time and messages

    def tick(self, *, contacts: tuple[str, ...] = (), target: int = 0) -> None:
        """Send heartbeats, give up leadership or start an election when it is time.

        Args:
            contacts: Replicas to ask first when this one has no state.
            target: Number of voters wanted; 0 keeps the present number.
        """
        now = self._now()
        if followers := self._led:
            since_s = now - self._leader_since
            if not self.has_lease and since_s > self._timing.lease_s:
                get_logger().warning("lease_over", term=self.term)
                self._become_follower("")
                return
            followers.beat(
                self.commit,
                period_s=self._timing.heartbeat_s,
                silent_s=self._timing.lease_s,
            )
            self._change_voters(followers, max(target, 1))
        elif not self.is_member or self.name not in self.voters:
            if now - self._asked_at > ASK_S:
                self._asked_at = now
                self._ask_status(contacts)
        elif now >= self._election_at:
            self.start_election()
            if now - self._heard_at > UNHEARD_S:
                # It may be a voter only by an entry that the others have dropped.
                self._ask_status(contacts)

    def hand_over(self) -> None:
        """Ask the follower with the longest log to lead, before this process ends."""
        followers = self._led
        if followers is None:
            return
        # The follower's election does not wait for this lease to end.
        self._is_leaving = True
        successor = followers.most_complete()
        if successor:
            self._send_now(successor, Message(MessageKind.TAKE_OVER, self.term))

    def receive(self, sender: str, message: Message) -> Snapshot | None:
        """Handle a message.

        Returns:
            A snapshot that the owner must save before it calls ``synced``, if one has arrived.
        """
        match message.kind:
            case MessageKind.PRE_VOTE | MessageKind.VOTE:
                self._on_vote(sender, message)
            case MessageKind.VOTE_ANSWER:
                self._on_vote_answer(sender, message)
            case MessageKind.APPEND:
                self._on_append(sender, message)
            case MessageKind.APPEND_ANSWER:
                self._on_append_answer(sender, message)
            case MessageKind.SNAPSHOT:
                return self._on_snapshot(sender, message)
            case MessageKind.STATUS:
                fields = {"member": self.is_member, "voters": self.voters}
                self._send_when_synced(
                    sender, Message(MessageKind.STATUS_ANSWER, self.term, fields)
                )
            case MessageKind.STATUS_ANSWER:
                if not self.is_member:
                    self._recovery.note_status(sender, message, len(self.voters))
            case MessageKind.JOIN:
                self._on_join(sender)
            case MessageKind.TAKE_OVER:
                if message.term == self.term and self.role is Role.FOLLOWER:
                    self.start_election(is_forced=True)
        return None
