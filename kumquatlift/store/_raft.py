"""The Raft protocol of one replica, without disk, network or clock of its own."""

import random
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from kumquatlift.log import get_logger
from kumquatlift.store._followers import MAX_IN_FLIGHT_ENTRIES, Followers
from kumquatlift.store._journal import (
    HardState,
    RecoveredState,
    Snapshot,
    entry_record,
    hard_record,
)
from kumquatlift.store._log import Log
from kumquatlift.store._messages import Entry, Message, MessageKind
from kumquatlift.store._pending_sync import PendingSync
from kumquatlift.store._snapshot_chunks import SNAPSHOT_CHUNK_BYTES, ChunkKey, IncomingSnapshot
from kumquatlift.store._voters import DiskRecovery, next_voters

# Period of the STATUS and JOIN requests of a replica that may not vote or is not among the voters.
STATUS_PERIOD_S = 0.25
# A voter without a message from a leader for this long sends the same requests when it starts an
# election.
LEADER_SILENCE_S = 1.5
# Time for which no chunk is asked for after a snapshot that could not be installed, so that a
# snapshot that can never be read does not fill the link.
SNAPSHOT_RETRY_S = 1.0


class Role(Enum):
    """Role of a replica in its current term."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


class Timing(NamedTuple):
    """Timeouts of the protocol, in seconds.

    Args:
        heartbeat_s: Period of the leader's heartbeats to every follower.
        lease_s: Length of the leader lease. It counts from the time at which the leader sent the
            newest message that a majority has answered.
        election_s: Shortest election timeout; each one is drawn at random from this to twice as
            much. Longer than the lease, so that the old leader's lease has expired before a new
            leader is elected.
    """

    heartbeat_s: float = 0.06
    lease_s: float = 0.3
    election_s: float = 0.35


DEFAULT_TIMING = Timing()


class UnreadableStateError(Exception):
    """The state machine can't read the snapshot of the data folder."""


class StateMachine(Protocol):
    """State machine that committed entries are applied to, in the thread of the replica."""

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the whole state; empty bytes are the initial state.

        Raises:
            ValueError: The bytes can't be read. The state is as it was before.
        """

    def on_role(self, role: Role, term: int) -> None:
        """Handle a change of role: this replica became the leader or stepped down."""


class Raft:
    """One replica: elections, log replication, snapshots and changes of the voters.

    The owner calls ``receive``, ``tick``, ``propose`` and ``synced`` in one thread, and calls
    ``flush`` after each batch of these calls. It gets the records to write from ``take_records``
    and calls ``synced`` once they are durable; messages that depend on them, such as votes and
    acknowledgements, are held back until then.

    Args:
        name: Name of this replica.
        recovered: State read from the data folder.
        initial_voters: Voters that form the log for the first time; empty at every later start.
        machine: State machine.
        send: Sends a message to a replica, without guarantee of delivery.
        now: Clock that also counts the time for which the machine was suspended, in seconds.
        started_at: Reading of that clock at the start of the process, by default now. The process
            has answered no leader before, so the first election timeout counts from it.
        timing: Timeouts.
        rng: Source of the random election timeouts.
        chunk_bytes: Size of the chunks in which a snapshot is sent.

    Raises:
        UnreadableStateError: The state machine can't read the snapshot of the data folder.
    """

    def __init__(
        self,
        *,
        name: str,
        recovered: RecoveredState,
        initial_voters: tuple[str, ...],
        machine: StateMachine,
        send: Callable[[str, Message], None],
        now: Callable[[], float],
        started_at: float | None = None,
        timing: Timing = DEFAULT_TIMING,
        rng: random.Random | None = None,
        chunk_bytes: int = SNAPSHOT_CHUNK_BYTES,
    ) -> None:
        self._chunk_bytes = chunk_bytes
        self.name = name
        self._machine = machine
        self._send_now = send
        self._now = now
        self._timing = timing
        self._rng = rng or random.Random()
        self.role = Role.FOLLOWER
        self.leader = ""
        self._pending_sync = PendingSync(send=send)
        self._load(recovered, initial_voters)
        self._pending_sync.reset_synced(self.last_index)
        self.commit_index = self._log.base.last_included_index
        self.last_applied = self._log.base.last_included_index
        # Stays after this replica has stepped down, until it is elected again.
        self.followers: Followers | None = None
        # Votes granted to this replica: the voter, and the time of its last contact with a leader.
        self._votes: dict[str, float] = {}
        self._leader_contact_at = now() if started_at is None else started_at
        self._previous_leader_contact_at = self._leader_contact_at
        self._stepped_down_at = self._leader_contact_at
        self._is_pre_vote = False
        self._elected_at = 0.0
        self._term_start_index = 0
        self._is_transferring = False
        self._recovery = DiskRecovery(name=name)
        self._incoming_snapshot = IncomingSnapshot()
        self._snapshot_wanted_at = 0.0
        self._status_asked_at = 0.0
        self._schedule_election(self._leader_contact_at)
        if self._log.base.state:
            try:
                machine.restore(self._log.base.state)
            except ValueError as exc:
                raise UnreadableStateError(
                    f"snapshot {self._log.base.last_included_index}"
                ) from exc

    def _load(self, recovered: RecoveredState, initial_voters: tuple[str, ...]) -> None:
        hard = recovered.hard
        if hard is None and self.name in initial_voters and recovered.is_new:
            hard = HardState(0, "", True)
            self._log = Log(base=Snapshot(0, 0, initial_voters, b""), entries=[])
            self._pending_sync.records.append(hard_record(hard))
            self._append(Entry(0, b"", initial_voters))
        else:
            self._log = Log(base=recovered.snapshot, entries=list(recovered.entries))
        self._hard = hard or HardState()
        # Whether a restart would find that this replica may vote.
        self._is_vote_durable = self._is_synced_vote = self.can_vote

    @property
    def term(self) -> int:
        """Current term."""
        return self._hard.term

    @property
    def can_vote(self) -> bool:
        """Whether this replica may vote and its disk counts for a majority."""
        return self._hard.can_vote

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._log.last_index

    @property
    def voters(self) -> tuple[str, ...]:
        """Voters named by the newest configuration entry of the log, committed or not."""
        return self._log.voters

    @property
    def majority(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def _leader_followers(self) -> Followers | None:
        return self.followers if self.role is Role.LEADER else None

    @property
    def has_lease(self) -> bool:
        """Whether this replica is the leader and no other one can be elected yet."""
        if self.role is not Role.LEADER or self._is_transferring:
            return False
        return self.lease_age_s < self._timing.lease_s

    @property
    def lease_age_s(self) -> float:
        """Age in seconds of the newest message that a majority has answered.

        The leader lease counts from this message, and so do the leases that this leader grants to
        others. The next leader knows that they have expired when its ``since_previous_leader_s``
        exceeds their length.
        """
        now = self._now()
        acked_at = self.followers.acked_at if self.followers else lambda name: 0.0
        times = [now if name == self.name else acked_at(name) for name in self.voters]
        return now - sorted(times, reverse=True)[self.majority - 1]

    @property
    def since_previous_leader_s(self) -> float:
        """Seconds since an earlier leader last had contact with a replica that voted for this one.

        No earlier leader's lease counts from a later time: a majority answered the message that
        such a lease counts from, so at least one of them voted for this replica.
        """
        return self._now() - self._previous_leader_contact_at

    @property
    def is_serving(self) -> bool:
        """Whether this replica holds the lease and has applied the entries of all earlier terms."""
        return self.has_lease and self.last_applied >= self._term_start_index

    # Log

    def _append(self, entry: Entry) -> int:
        index = self._log.append(entry)
        self._pending_sync.records.append(entry_record(index, entry))
        return index

    def propose(self, data: bytes, voters: tuple[str, ...] | None = None) -> int | None:
        """Append an entry as the leader.

        Args:
            data: Command; empty for a change of voters.
            voters: New voters, for an entry that changes them.

        Returns:
            Index of the entry, or None when this replica is not the leader.
        """
        if self.role is not Role.LEADER:
            return None
        return self._append(Entry(self.term, data, voters))

    # Disk

    def take_records(self) -> list[bytes]:
        """Return the records to write before ``synced`` is called; empty if there are none."""
        self._is_synced_vote = self.can_vote
        return self._pending_sync.start_sync(self.last_index)

    def synced(self) -> None:
        """Mark the records returned last by ``take_records`` as durable."""
        self._is_vote_durable = self._is_synced_vote
        self._pending_sync.on_synced(self.last_index)

    def _send_when_synced(self, to: str, message: Message) -> None:
        if self._pending_sync.is_empty:
            self._send_now(to, message)
            return
        self._pending_sync.send_later(to, message)
        if not self._pending_sync.records:
            # A sync is running but none is due after it; this record causes one for the message.
            self._pending_sync.records.append(hard_record(self._hard))

    def _set_hard(self, hard: HardState) -> None:
        if hard != self._hard:
            self._hard = hard
            self._pending_sync.records.append(hard_record(hard))

    # Elections

    def _reset_election_timer(self) -> None:
        self._schedule_election(self._now())

    def _schedule_election(self, start_at: float) -> None:
        self._election_at = start_at + self._timing.election_s * (1 + self._rng.random())

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._set_hard(HardState(term, "", self.can_vote))
            self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        was_leader = self.role is Role.LEADER
        if was_leader:
            self._stepped_down_at = self._now()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election_timer()
        if was_leader:
            get_logger().info("leadership_lost", term=self.term, leader=leader)
            self._machine.on_role(Role.FOLLOWER, self.term)

    def start_election(self, *, is_forced: bool = False) -> None:
        """Start an election.

        Args:
            is_forced: Skip the pre-vote and ask for votes although the old leader may be live, as
                in a leadership transfer.
        """
        if not self.can_vote or self.name not in self.voters:
            self._reset_election_timer()
            return
        self.role = Role.CANDIDATE
        self.leader = ""
        self._votes = {self.name: self._last_leader_at()}
        self._is_pre_vote = not is_forced
        self._reset_election_timer()
        if is_forced:
            self._set_hard(HardState(self.term + 1, self.name, True))
        self._request_votes(is_forced)
        self._count_votes()

    def _request_votes(self, is_forced: bool) -> None:
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
            self._votes = {self.name: self._last_leader_at()}
            self._set_hard(HardState(self.term + 1, self.name, True))
            self._reset_election_timer()
            self._request_votes(False)
            self._count_votes()
        else:
            self._become_leader()

    def _last_leader_at(self) -> float:
        """Return when this replica last had contact with a leader, or was the leader itself."""
        return (
            self._now()
            if self.role is Role.LEADER
            else max(self._leader_contact_at, self._stepped_down_at)
        )

    def _become_leader(self) -> None:
        now = self._now()
        self._previous_leader_contact_at = max(self._votes.values())
        self.role = Role.LEADER
        self.leader = self.name
        self._elected_at = now
        next_index = self.last_index + 1
        self._term_start_index = self._append(Entry(self.term))
        self.followers = Followers(
            names=[voter for voter in self.voters if voter != self.name],
            next_index=next_index,
            term=self.term,
            term_start_index=self._term_start_index,
            log=self._log,
            send=self._send_now,
            now=self._now,
            chunk_bytes=self._chunk_bytes,
        )
        get_logger().info("leadership_won", term=self.term, last=self.last_index)
        self._machine.on_role(Role.LEADER, self.term)

    def _on_vote(self, sender: str, message: Message) -> None:
        """Answer a vote or pre-vote request; ignored while a leader is live, unless forced."""
        is_pre_vote = message.kind is MessageKind.PRE_VOTE
        is_leader_silent = self._now() - self._leader_contact_at >= self._timing.election_s
        may_vote = self.can_vote and (is_leader_silent or bool(message.fields.get("forced")))
        if self.role is Role.LEADER and not message.fields.get("forced"):
            may_vote = not self.has_lease and self.can_vote
        if not may_vote:
            return
        if not is_pre_vote:
            self._adopt_term(message.term)
        own_position = (self._log.term_at(self.last_index) or 0, self.last_index)
        is_current = (message.fields["last_term"], message.fields["last"]) >= own_position
        if is_pre_vote:
            granted = is_current and message.term >= self.term
        else:
            granted = is_current and message.term == self.term
            granted = granted and self._hard.voted_for in ("", sender)
            if granted:
                self._set_hard(HardState(self.term, sender, True))
                self._reset_election_timer()
        fields = {
            "granted": granted,
            "pre": is_pre_vote,
            "for": message.term,
            "quiet_s": self._now() - self._last_leader_at(),
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
        """Send new entries to followers, advance the commit index and apply committed entries."""
        if followers := self._leader_followers:
            followers.send_new_entries(self.commit_index)
            self._advance_commit(followers)
        self._apply()

    def _on_append(self, sender: str, message: Message) -> None:
        """Append a leader's entries, and answer with the index up to which the logs match."""
        if not self._accept_leader(sender, message):
            return
        prev = message.fields["prev"]
        if prev < self._log.base.last_included_index:
            # Entries that the snapshot covers are committed, so they match without a comparison.
            # A message that ends before it matches too: the leader holds all that is committed.
            matched = self._log.base.last_included_index
            entries = message.entries[matched - prev :]
            is_match = True
        else:
            matched, entries = prev, message.entries
            is_match = self._log.term_at(prev) == message.fields["prev_term"]
        if is_match:
            matched = self._append_missing(matched, entries)
            self.commit_index = max(self.commit_index, min(message.fields["commit"], matched))
        regained_vote = is_match and self._maybe_regain_vote(message, matched)
        fields = {
            "ok": is_match,
            "match": matched if is_match else min(prev - 1, self.last_index),
            "sent_at": message.fields["sent_at"],
            "member": self.can_vote,
        }
        if regained_vote or (is_match and matched > self._pending_sync.synced_index):
            self._send_when_synced(sender, Message(MessageKind.APPEND_ANSWER, self.term, fields))
        else:
            # It acknowledges nothing unsynced; a heartbeat's answer must not wait for a slow disk.
            fields["member"] = self._is_vote_durable
            self._send_now(sender, Message(MessageKind.APPEND_ANSWER, self.term, fields))

    def _append_missing(self, index: int, entries: tuple[Entry, ...]) -> int:
        """Append the leader's entries after an index; return the index of the last of them.

        A conflicting entry and all that follow it are replaced; entries that match are kept.
        """
        for entry in entries:
            index += 1
            if self._log.term_at(index) == entry.term:
                continue
            if index <= self.last_index:
                self._log.truncate(index - 1)
                self._pending_sync.truncate(index - 1)
            self._append(entry)
        return index

    def _accept_leader(self, sender: str, message: Message) -> bool:
        """Follow the sender of a leader's message; return False if its term is out of date."""
        # A replica that lost its disk follows no leader with a term below ``term_floor``.
        floor = self._recovery.term_floor if self._recovery.term_floor is not None else self.term
        if message.term < max(self.term, floor if not self.can_vote else 0):
            fields = {"ok": False, "match": 0, "sent_at": 0.0, "member": self._is_vote_durable}
            self._send_now(sender, Message(MessageKind.APPEND_ANSWER, self.term, fields))
            return False
        self._adopt_term(message.term)
        if self.leader != sender or self.role is not Role.FOLLOWER:
            self._become_follower(sender)
            get_logger().info("leader_heard", leader=sender, term=self.term)
        self._leader_contact_at = self._now()
        self._reset_election_timer()
        return True

    def _on_append_answer(self, sender: str, message: Message) -> None:
        self._adopt_term(message.term)
        followers = self._leader_followers
        if followers and message.term == self.term:
            followers.on_answer(sender, message, self.commit_index)

    def _advance_commit(self, followers: Followers) -> None:
        matches = [
            self._pending_sync.synced_index if voter == self.name else followers.match_index(voter)
            for voter in self.voters
        ]
        index = sorted(matches, reverse=True)[self.majority - 1]
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self.commit_index = index

    def _apply(self) -> None:
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            entry = self._log.entry(self.last_applied)
            if entry.data:
                self._machine.apply(self.last_applied, entry)
            elif entry.voters is not None:
                get_logger().info("voters", index=self.last_applied, voters=",".join(entry.voters))
                # Checks the newest voters, not this entry's: after a restart, entries from before
                # this replica joined are applied again.
                if self.role is Role.LEADER and self.name not in self.voters:
                    self._become_follower("")

    # Snapshots

    def compact(self) -> tuple[Snapshot, list[bytes]]:
        """Replace the applied entries by a snapshot of the state machine.

        Returns:
            The snapshot, and the records to write after it. They include records that were already
            returned by ``take_records``.
        """
        self._log.compact(self.last_applied, self._machine.snapshot())
        return self._log.base, self.all_records()

    def all_records(self) -> list[bytes]:
        """Return the records of hard state and all entries; they replace the pending records."""
        self._pending_sync.queue_snapshot()
        return [hard_record(self._hard), *self._log.records()]

    def _on_snapshot(self, sender: str, message: Message) -> Snapshot | None:
        """Add a chunk; return the snapshot once it is complete, installed and has to be saved."""
        if not self._accept_leader(sender, message):
            return None
        fields = message.fields
        index = fields["index"]
        if index <= self.last_applied or self._log.term_at(index) == fields["index_term"]:
            # All entries up to this one are here. Those that follow it may be acknowledged.
            self.commit_index = max(self.commit_index, index)
            self._answer_chunk(sender, message, have=0, match=index)
            return None
        if self._now() < self._snapshot_wanted_at:
            self._answer_chunk(sender, message)
            return None
        key = ChunkKey.of(sender, message)
        have = self._incoming_snapshot.add(key, fields["at"], message.blob)
        if not fields["is_last"] or have != fields["at"] + len(message.blob):
            self._answer_chunk(sender, message, have=have)
            return None
        try:
            base = self._install(message)
        except ValueError as exc:
            get_logger().error("snapshot_rejected", peer=sender, index=index, error=repr(exc)[:300])
            self._snapshot_wanted_at = self._now() + SNAPSHOT_RETRY_S
            self._answer_chunk(sender, message)
            return None
        finally:
            self._incoming_snapshot.clear()
        self._pending_sync.send_later(sender, self._chunk_answer(message, have=have, match=index))
        return base

    def _install(self, message: Message) -> Snapshot:
        """Replace log and state by the snapshot whose last chunk is in a message.

        Raises:
            ValueError: It is not whole or can't be read. Log and state are as they were before.
        """
        fields = message.fields
        state = self._incoming_snapshot.state()
        self._machine.restore(state)
        base = Snapshot(fields["index"], fields["index_term"], tuple(fields["voters"]), state)
        # The disk holds the former log until the snapshot is saved.
        self._pending_sync.truncate(self.commit_index)
        self._log.replace(base)
        self.commit_index = self.last_applied = base.last_included_index
        get_logger().info("snapshot_installed", index=base.last_included_index, bytes=len(state))
        return base

    def _answer_chunk(
        self, sender: str, message: Message, *, have: int | None = None, match: int = 0
    ) -> None:
        reply = self._chunk_answer(message, have=have, match=match)
        if match > self._pending_sync.synced_index:
            self._send_when_synced(sender, reply)
        else:
            self._send_now(sender, reply)

    def _chunk_answer(self, message: Message, *, have: int | None, match: int) -> Message:
        """Return the answer to a chunk; without ``have``, the leader sends no other one at once."""
        fields = message.fields
        answer = {
            "ok": True,
            "match": match,
            "snapshot": [fields["index"], fields["index_term"]],
            "sent_at": fields["sent_at"],
            "member": self._is_vote_durable,
        }
        if have is not None:
            answer["have"] = have
        return Message(MessageKind.APPEND_ANSWER, self.term, answer)

    # Recovery of a lost disk, and membership changes

    def _maybe_regain_vote(self, message: Message, matched: int) -> bool:
        """Allow votes again once a trusted leader's log is here; see ``DiskRecovery``."""
        if self.can_vote or not self._recovery.is_complete(message, matched):
            return False
        get_logger().info("disk_recovered", term=self.term, index=matched)
        # Votes for the present leader: this replica may have voted in this term before its disk was
        # lost, and must not vote for another candidate.
        self._set_hard(HardState(self.term, self.leader, True))
        return True

    def _request_status(self, contacts: tuple[str, ...]) -> None:
        for name in sorted({*contacts, *self.voters, *self._recovery.known_voters} - {self.name}):
            self._send_now(name, Message(MessageKind.STATUS, self.term))
            self._send_now(name, Message(MessageKind.JOIN, self.term))

    def _on_join(self, sender: str) -> None:
        if followers := self._leader_followers:
            followers.join(sender, contact_timeout_s=self._timing.lease_s)

    def _change_voters(self, followers: Followers, target_voters: int) -> None:
        """Propose to add a joiner that has caught up, or to remove an unresponsive voter.

        Changes one voter at a time, and only when the previous change is committed.
        """
        if (
            self._log.has_voter_change_after(self.commit_index)
            or self.last_applied < self._term_start_index
        ):
            return
        voters = next_voters(
            name=self.name,
            voters=self.voters,
            target_voters=target_voters,
            joiners=followers.joiners,
            progress_of=followers.progress_of,
            min_match_index=self.commit_index - MAX_IN_FLIGHT_ENTRIES,
            now=self._now(),
        )
        if voters is not None:
            self.propose(b"", voters)

    # Time and messages

    def tick(self, *, contacts: tuple[str, ...] = (), target_voters: int = 0) -> None:
        """Do what is due: send heartbeats, step down, start an election or ask to join.

        Args:
            contacts: Replicas to ask for their state when this one has none.
            target_voters: Number of voters wanted, at least 1.
        """
        now = self._now()
        if followers := self._leader_followers:
            since_s = now - self._elected_at
            if not self.has_lease and since_s > self._timing.lease_s:
                get_logger().warning("lease_over", term=self.term)
                self._become_follower("")
                return
            followers.send_heartbeats(
                self.commit_index,
                period_s=self._timing.heartbeat_s,
                contact_timeout_s=self._timing.lease_s,
            )
            self._change_voters(followers, max(target_voters, 1))
        elif not self.can_vote or self.name not in self.voters:
            if now - self._status_asked_at > STATUS_PERIOD_S:
                self._status_asked_at = now
                self._request_status(contacts)
        elif now >= self._election_at:
            self.start_election()
            if now - self._leader_contact_at > LEADER_SILENCE_S:
                # The others may have dropped the entry that made this replica a voter, so that no
                # leader sends to it.
                self._request_status(contacts)

    def transfer_leadership(self) -> None:
        """Ask the most up-to-date follower to start an election, before this process shuts down."""
        followers = self._leader_followers
        if followers is None:
            return
        # Gives up the lease, because the follower's election does not wait for it to expire.
        self._is_transferring = True
        successor = followers.most_up_to_date()
        if successor:
            self._send_now(successor, Message(MessageKind.TAKE_OVER, self.term))

    def receive(self, sender: str, message: Message) -> Snapshot | None:
        """Handle a message.

        Args:
            sender: Replica that sent it.
            message: The message.

        Returns:
            A snapshot that was received completely and that the owner must save before it calls
            ``synced``; None otherwise.
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
                fields = {"member": self.can_vote, "voters": self.voters}
                self._send_when_synced(
                    sender, Message(MessageKind.STATUS_ANSWER, self.term, fields)
                )
            case MessageKind.STATUS_ANSWER:
                self._recovery.record_voters(message)
                if not self.can_vote:
                    self._recovery.record_status(sender, message, len(self.voters))
            case MessageKind.JOIN:
                self._on_join(sender)
            case MessageKind.TAKE_OVER:
                if message.term == self.term and self.role is Role.FOLLOWER:
                    self.start_election(is_forced=True)
        return None
