"""Simulated cluster of replicas on a manual clock, with a lossy network and failing disks."""

import hashlib
import random
from collections.abc import Callable
from typing import Any

from kumquatlift.clock import ManualClock
from kumquatlift.store import Entry, Message, Raft, Role, Timing
from kumquatlift.store._journal import HardState, RecoveredState, Snapshot, _replay
from kumquatlift.store._messages import MessageKind

STEP_S = 0.01
# Duration of a sync of a sound disk.
SYNC_S = 0.02
# Mean delay of a message.
DELAY_S = 0.005
# Small, so that a transfer of a snapshot takes many messages.
CHUNK_BYTES = 256


class MixedStateError(AssertionError):
    """A state to be restored is not whole, or its parts belong to different snapshots."""


class ListMachine:
    """State machine that stores every command in a list.

    Each line of a snapshot names the number of commands in the whole. A state that mixes two
    snapshots is therefore seen whichever parts it has, also where an older part would fit.
    """

    def __init__(self) -> None:
        self.commands: list[bytes] = []
        self.digest = b""

    def apply(self, _index: int, entry: Entry) -> None:
        """Store a command."""
        self.commands.append(entry.data)
        self.digest = hashlib.sha256(self.digest + entry.data).digest()

    def snapshot(self) -> bytes:
        """Return all commands."""
        stamp = b"%08d" % len(self.commands)
        return b"".join(b"%s %s\n" % (stamp, line) for line in [b"", *self.commands])

    def restore(self, state: bytes) -> None:
        """Replace the commands by those of a snapshot.

        Raises:
            MixedStateError: The parts do not match. A replica must compare them before, so this is
                no ``ValueError``.
        """
        *lines, rest = state.split(b"\n")
        rows = [line.partition(b" ") for line in lines]
        stamps = {stamp for stamp, _, _ in rows}
        if state and (rest or stamps != {b"%08d" % (len(rows) - 1)}):
            raise MixedStateError(f"{len(rows)} lines of snapshots {sorted(stamps)}, rest {rest!r}")
        self.commands, self.digest = [], b""
        for _, _, command in rows[1:]:
            self.apply(0, Entry(0, command))

    def on_role(self, _role: Role, _term: int) -> None:
        """Do nothing; ``World`` reads the roles from the replicas."""
        return


class Disk:
    """Durable contents of one replica's journal: its snapshot and the synced records."""

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.synced = b""
        # The contents for which ``last_index`` was read last, and the result.
        self._known = self.snapshot, self.synced, 0

    def recover(self) -> RecoveredState:
        """Return the state that a restart reads from this disk."""
        hard, entries, _ = _replay(self.synced, self.snapshot.last_included_index)
        return RecoveredState(hard, self.snapshot, entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry that a restart reads from this disk."""
        snapshot, synced, index = self._known
        if snapshot is not self.snapshot or synced is not self.synced:
            index = self.snapshot.last_included_index + len(self.recover().entries)
            self._known = self.snapshot, self.synced, index
        return index


class Replica:
    """A replica that can crash and restart, with its disk."""

    def __init__(self, world: "World", name: str, initial_voters: tuple[str, ...]) -> None:
        self.world = world
        self.name = name
        self.disk = Disk()
        self.is_up = False
        self.sync_s = SYNC_S
        self.sync_done_at: float | None = None
        self.records: list[bytes] = []
        # A snapshot to write at the next sync, with the records that follow it.
        self.pending_snapshot: tuple[Snapshot, list[bytes]] | None = None
        self.start(initial_voters)

    def start(self, initial_voters: tuple[str, ...] = (), *, startup_s: float = 0.0) -> None:
        """Start with the contents of the disk.

        Args:
            initial_voters: Voters that form the log for the first time; empty for a restart.
            startup_s: Time since the start of the process, in seconds.
        """
        self.machine = ListMachine()
        self.raft = Raft(
            name=self.name,
            recovered=self.disk.recover(),
            initial_voters=initial_voters,
            machine=self.machine,
            send=lambda to, message: self.world.send(self.name, to, message),
            now=self.world.clock.now,
            started_at=self.world.clock.now() - startup_s,
            timing=Timing(),
            rng=self.world.rng,
            chunk_bytes=CHUNK_BYTES,
        )
        self.is_up = True
        self.sync_done_at = None
        self.records = []
        self.pending_snapshot = None
        self.syncing_snapshot: tuple[Snapshot, list[bytes]] | None = None

    def lose_power(self) -> None:
        """Stop at once; what a running sync was writing may be kept, in part too, or lost."""
        is_syncing = self.is_up and self.sync_done_at is not None
        self.is_up = False
        if not is_syncing:
            return
        data = b"".join(self.records)
        kept = self.world.rng.choice([0, len(data), self.world.rng.randrange(len(data) + 1)])
        if self.syncing_snapshot is None:
            self.disk.synced += data[:kept]
            self._drop_torn_tail()
        elif kept == len(data):
            # The snapshot's new name is the last change of its save, so it is kept whole or not.
            self.disk.snapshot = self.syncing_snapshot[0]
            self.disk.synced = b"".join(self.syncing_snapshot[1] + self.records)

    def _drop_torn_tail(self) -> None:
        """Drop what follows the last whole record, as a start of ``Journal`` does."""
        _, _, size = _replay(self.disk.synced, self.disk.snapshot.last_included_index)
        self.disk.synced = self.disk.synced[:size]

    def crash(self, *, wipe: bool = False) -> None:
        """Stop at once; records of a running sync are lost, and with ``wipe`` the whole disk."""
        self.is_up = False
        if wipe:
            self.disk = Disk()

    def step(self) -> None:
        """Finish a due sync, run the timers and start the next sync."""
        if not self.is_up:
            return
        now = self.world.clock.now()
        if self.sync_done_at is not None and now >= self.sync_done_at:
            self._finish_sync()
        self.raft.tick(contacts=self.world.names, target_voters=self.world.target_voters)
        self.raft.flush()
        if self.sync_done_at is None:
            snapshot, self.pending_snapshot = self.pending_snapshot, None
            self.syncing_snapshot = snapshot
            self.records = self.raft.take_records()
            if self.records or snapshot:
                self.sync_done_at = now + self.sync_s

    def _finish_sync(self) -> None:
        if self.syncing_snapshot is not None:
            self.disk.snapshot = self.syncing_snapshot[0]
            self.disk.synced = b"".join(self.syncing_snapshot[1] + self.records)
        else:
            self.disk.synced += b"".join(self.records)
        self.sync_done_at = None
        self.raft.synced()

    def receive(self, sender: str, data: bytes) -> None:
        """Handle a message."""
        if self.is_up:
            snapshot = self.raft.receive(sender, Message.from_bytes(data))
            if snapshot is not None:
                self.pending_snapshot = (snapshot, self.raft.all_records())

    def compact(self) -> None:
        """Take a snapshot; it is durable after the next sync."""
        if self.is_up and self.raft.last_applied and self.pending_snapshot is None:
            self.pending_snapshot = self.raft.compact()


class World:
    """Several replicas and the network between them.

    Args:
        count: Number of initial voters.
        seed: Seed of all random choices.
    """

    def __init__(self, *, count: int = 3, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start=100.0)
        self.names = tuple(f"n{number}" for number in range(count))
        self.target_voters = count
        # Share of messages that are lost, and whether the link from one replica to another is cut.
        self.loss = 0.0
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self._in_flight: list[tuple[float, str, str, bytes]] = []
        # Receiver and time of the newest chunk of a snapshot.
        self.newest_chunk = ("", 0.0)
        self.replicas: dict[str, Replica] = {}
        for name in self.names:
            self.replicas[name] = Replica(self, name, self.names)
        self.acknowledged: list[bytes] = []
        self._proposed: dict[tuple[str, int, int], bytes] = {}

    def add(self, name: str) -> Replica:
        """Start an instance that is not among the initial voters."""
        self.replicas[name] = Replica(self, name, ())
        return self.replicas[name]

    def send(self, sender: str, to: str, message: Message) -> None:
        """Deliver a message after a delay, unless the link is cut or the message is lost.

        Raises:
            AssertionError: It acknowledges what the sender's disk does not hold.
        """
        if message.kind is MessageKind.SNAPSHOT:
            self.newest_chunk = (to, self.clock.now())
        if message.kind is MessageKind.APPEND_ANSWER and message.fields["ok"]:
            held, match = self.replicas[sender].disk.last_index, message.fields["match"]
            assert match <= held, f"{sender} acknowledges {match} and holds {held}"
        if self.cut(sender, to) or self.rng.random() < self.loss or to not in self.replicas:
            return
        at = self.clock.now() + DELAY_S * (0.5 + self.rng.random())
        self._in_flight.append((at, sender, to, message.to_bytes()))

    def drop_messages(self) -> None:
        """Lose all messages in flight, as their connections end with the processes."""
        self._in_flight = []

    def step(self) -> None:
        """Advance the clock by ``STEP_S``, deliver due messages and step every replica."""
        self.clock.advance(STEP_S)
        now = self.clock.now()
        due = sorted(packet for packet in self._in_flight if packet[0] <= now)
        self._in_flight = [packet for packet in self._in_flight if packet[0] > now]
        for _, sender, to, data in due:
            if not self.cut(sender, to) and to in self.replicas:
                self.replicas[to].receive(sender, data)
        for replica in self.replicas.values():
            replica.step()
        self._acknowledge()

    def run(self, seconds: float) -> None:
        """Run for a number of seconds."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def propose(self, data: bytes) -> None:
        """Propose a command to the leader, if there is one."""
        leader = self.leader
        if leader is not None:
            index = leader.raft.propose(data)
            if index is not None:
                self._proposed[leader.name, leader.raft.term, index] = data

    @property
    def leader(self) -> Any:
        """Leader of the newest term, or None."""
        leaders = [
            replica
            for replica in self.replicas.values()
            if replica.is_up and replica.raft.role is Role.LEADER
        ]
        return max(leaders, key=lambda each: each.raft.term, default=None)

    def _acknowledge(self) -> None:
        """Record the proposed commands that their proposer has applied."""
        for (name, term, index), data in list(self._proposed.items()):
            replica = self.replicas.get(name)
            if replica is None or not replica.is_up or replica.raft.role is not Role.LEADER:
                del self._proposed[name, term, index]
            elif replica.raft.term == term and replica.raft.last_applied >= index:
                self.acknowledged.append(data)
                del self._proposed[name, term, index]


def voter_hard_state(term: int = 0) -> HardState:
    """Return the hard state of an intact voter."""
    return HardState(term, "", True)
