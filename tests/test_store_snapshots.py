"""Snapshots that replicas send each other while leaders and their journals change."""

import json
from collections.abc import Callable, Iterable
from typing import Any
from zlib import crc32

import pytest
from structlog.testing import capture_logs

from kumquatlift.clock import ManualClock
from kumquatlift.store import Entry, Message, Raft, Role
from kumquatlift.store._followers import Followers
from kumquatlift.store._journal import (
    HardState,
    RecoveredState,
    Snapshot,
)
from kumquatlift.store._messages import MessageKind
from kumquatlift.store._pending_sync import PendingSync
from kumquatlift.store._raft import SNAPSHOT_RETRY_S
from kumquatlift.store._snapshot_chunks import IncomingSnapshot
from tools.fuzz_store import TransferSchedule, check_agreement, check_states, settle
from tools.replica_world import ListMachine, MixedStateError, World

NAMES = ("a", "b", "c")
VOTER = HardState(1, "", True)
CHUNK = 16


class PickyMachine:
    """State machine that reads only states that begin with ``ok``."""

    def __init__(self) -> None:
        self.state = b""

    def apply(self, _index: int, _entry: Entry) -> None:
        return

    def snapshot(self) -> bytes:
        return self.state

    def restore(self, state: bytes) -> None:
        if not state.startswith(b"ok"):
            raise ValueError("not readable")
        self.state = state

    def on_role(self, _role: Role, _term: int) -> None:
        return


class Peer:
    """One replica whose messages are kept, and whose syncs end when the test says so."""

    def __init__(self, name: str, recovered: RecoveredState) -> None:
        self.clock = ManualClock(start=100.0)
        self.machine = PickyMachine()
        self.sent: list[tuple[str, Message]] = []
        self.unsaved: Snapshot | None = None
        self.raft = Raft(
            name=name,
            recovered=recovered,
            initial_voters=(),
            machine=self.machine,
            send=lambda to, message: self.sent.append((to, message)),
            now=self.clock.now,
            chunk_bytes=CHUNK,
        )

    def receive(self, sender: str, message: Message) -> None:
        snapshot = self.raft.receive(sender, Message.from_bytes(message.to_bytes()))
        if snapshot is not None:
            self.unsaved = snapshot
            self.raft.all_records()

    def sync(self) -> None:
        self.raft.take_records()
        self.raft.synced()

    def answers(self) -> list[dict[str, Any]]:
        sent, self.sent = self.sent, []
        return [m.fields for _, m in sent if m.kind is MessageKind.APPEND_ANSWER]

    def chunks(self) -> list[Message]:
        sent, self.sent = self.sent, []
        return [m for _, m in sent if m.kind is MessageKind.SNAPSHOT]


def follower(index: int = 0, *entries: Entry) -> Peer:
    """Return a voter whose snapshot is at an index."""
    base = Snapshot(index, 1, NAMES, b"ok old" if index else b"")
    return Peer("c", RecoveredState(VOTER, base, list(entries)))


def leader(state: bytes) -> Peer:
    """Return the leader of term 2 with a snapshot at index 5; ``c`` needs it."""
    peer = Peer("a", RecoveredState(VOTER, Snapshot(5, 1, NAMES, state), []))
    peer.raft.start_election(is_forced=True)
    granted = {"granted": True, "pre": False, "for": 2, "quiet_s": 0.0}
    peer.receive("b", Message(MessageKind.VOTE_ANSWER, 2, granted))
    peer.sync()
    peer.raft.flush()
    behind = {"ok": False, "match": 0, "sent_at": peer.clock.now(), "member": True}
    peer.receive("c", Message(MessageKind.APPEND_ANSWER, 2, behind))
    return peer


def chunks_of(
    index: int, state: bytes, *, is_old: bool = False, size: int | None = None
) -> list[Message]:
    """Return the chunks of a snapshot, as this version or the one before sends them."""
    found = []
    for at in range(0, len(state), CHUNK):
        fields: dict[str, Any] = {"index": index, "index_term": 1, "voters": NAMES, "at": at}
        fields |= {"is_last": at + CHUNK >= len(state), "sent_at": 100.0 + at}
        if not is_old:
            fields |= {"size": size or len(state), "crc": crc32(state)}
        found.append(Message(MessageKind.SNAPSHOT, 2, fields, (), state[at : at + CHUNK]))
    return found


def answer_to(chunk: Message, have: int, *, is_old: bool = False) -> Message:
    """Return a follower's answer, as this version or the one before sends it."""
    fields: dict[str, Any] = {"ok": True, "match": 0, "have": have, "member": True}
    fields["sent_at"] = chunk.fields["sent_at"]
    if not is_old:
        fields["snapshot"] = [chunk.fields["index"], chunk.fields["index_term"]]
    return Message(MessageKind.APPEND_ANSWER, 2, fields)


OLD_STATE, NEW_STATE = b"ok" + b"x" * 40, b"ok" + b"y" * 60


class TestFollower:
    """Guards against a replica that holds parts of two snapshots, or acknowledges what it lacks."""

    @pytest.mark.parametrize("is_old", [False, True], ids=["this version", "the one before"])
    @pytest.mark.parametrize("after", range(4))
    def test_a_transfer_of_another_snapshot_starts_over(self, after: int, is_old: bool) -> None:
        """The leader's snapshot is replaced after any chunk, also after the last one."""
        peer = follower()
        first = chunks_of(5, OLD_STATE, is_old=is_old)
        second = chunks_of(9, NEW_STATE, is_old=is_old)
        for chunk in [*first[:after], *second[after:], *second]:
            peer.receive("a", chunk)
        peer.sync()
        assert peer.machine.state == NEW_STATE
        assert peer.raft.last_applied == 9
        assert peer.answers()[-1]["match"] == 9

    @pytest.mark.parametrize("size", [None, 43, 41])
    def test_a_state_that_is_not_whole_is_not_installed(self, size: int | None) -> None:
        peer = follower(3)
        chunks = chunks_of(5, OLD_STATE, size=size)
        if size is None:
            chunks[1] = chunks[1]._replace(blob=b"z" * CHUNK)
        with capture_logs() as lines:
            for chunk in chunks:
                peer.receive("a", chunk)
        assert [line["event"] for line in lines].count("snapshot_rejected") == 1
        assert peer.raft.last_applied == peer.raft.last_index == 3
        assert max(answer["match"] for answer in peer.answers()) == 0

    def test_a_state_that_cannot_be_read_is_asked_for_again(self) -> None:
        """The replica keeps its log, and the pause keeps the link free."""
        peer = follower(3, Entry(1, b"kept"))
        for chunk in chunks_of(5, b"no" + OLD_STATE):
            peer.receive("a", chunk)
        assert (peer.raft.last_applied, peer.raft.last_index, peer.unsaved) == (3, 4, None)
        assert "have" not in peer.answers()[-1]
        peer.receive("a", chunks_of(5, OLD_STATE)[0])
        assert "have" not in peer.answers()[-1]
        peer.clock.advance(SNAPSHOT_RETRY_S)
        for chunk in chunks_of(5, OLD_STATE):
            peer.receive("a", chunk)
        assert peer.machine.state == OLD_STATE

    def test_nothing_is_acknowledged_before_it_is_saved(self) -> None:
        """Neither by the answer to the last chunk, to its repetition, nor to a heartbeat."""
        peer = follower()
        chunks = chunks_of(5, OLD_STATE)
        fields = {"prev": 5, "prev_term": 1, "commit": 5, "sent_at": 101.0, "own": 5}
        for message in [*chunks, chunks[-1], Message(MessageKind.APPEND, 2, fields)]:
            peer.receive("a", message)
        assert peer.raft.last_applied == 5
        assert [answer["match"] for answer in peer.answers() if answer["match"]] == []
        peer.sync()
        assert [answer["match"] for answer in peer.answers()] == [5, 5, 5]

    def test_entries_behind_a_snapshot_that_is_here_are_kept(self) -> None:
        """They may be acknowledged, and a leader that has not heard of them sends a snapshot."""
        peer = follower(3, *[Entry(1, b"%d" % at) for at in range(4, 8)])
        peer.receive("a", chunks_of(5, OLD_STATE)[0])
        assert peer.answers()[-1]["match"] == 5
        assert (peer.raft.last_index, peer.raft.commit_index) == (7, 5)

    def test_a_replica_that_has_compacted_further_matches(self) -> None:
        """Guards against a snapshot that is sent over and over: the entries end before its own."""
        peer = follower(90)
        fields = {"prev": 40, "prev_term": 1, "commit": 95, "sent_at": 101.0, "own": 95}
        entries = tuple(Entry(1, b"e") for _ in range(10))
        peer.receive("a", Message(MessageKind.APPEND, 2, fields, entries))
        (answer,) = peer.answers()
        assert (answer["ok"], answer["match"]) == (True, 90)
        assert peer.raft.last_index == 90


class TestLeader:
    """Guards against chunks of another snapshot than the one that was begun."""

    @pytest.mark.parametrize("is_old", [False, True], ids=["this version", "the one before"])
    @pytest.mark.parametrize("compacted_after", range(5))
    def test_the_snapshot_is_kept_until_the_transfer_ends(
        self, compacted_after: int, is_old: bool
    ) -> None:
        peer = leader(NEW_STATE)
        received = b""
        for number in range(4):
            if number == compacted_after:
                peer.machine.state = b"ok newer"
                match = {"ok": True, "match": 6, "sent_at": peer.clock.now(), "member": True}
                peer.receive("b", Message(MessageKind.APPEND_ANSWER, 2, match))
                peer.raft.flush()
                peer.raft.compact()
            (chunk,) = peer.chunks()
            assert chunk.fields["index"] == 5
            received += chunk.blob
            peer.clock.advance(0.01)
            peer.receive("c", answer_to(chunk, len(received), is_old=is_old))
        assert received == NEW_STATE
        assert (chunk.fields["size"], chunk.fields["is_last"]) == (len(received), True)

    @pytest.mark.parametrize("is_old", [False, True], ids=["this version", "the one before"])
    def test_an_answer_of_an_earlier_transfer_moves_nothing(self, is_old: bool) -> None:
        peer = leader(NEW_STATE)
        (first,) = peer.chunks()
        peer.clock.advance(1.0)
        assert peer.raft.followers is not None
        peer.raft.followers.send_heartbeats(5, period_s=0.06, contact_timeout_s=0.3)
        peer.chunks()
        peer.receive("c", answer_to(first, CHUNK, is_old=is_old))
        assert peer.chunks() == []

    def test_a_follower_that_has_lost_the_chunks_gets_all_again(self) -> None:
        peer = leader(NEW_STATE)
        (first,) = peer.chunks()
        peer.receive("c", answer_to(first, CHUNK))
        (second,) = peer.chunks()
        peer.receive("c", answer_to(second, 0))
        assert [chunk.fields["at"] for chunk in peer.chunks()] == [0]

    def test_an_old_follower_reads_the_chunk(self) -> None:
        """The fields that the version before needs are as it knows them."""
        (chunk,) = leader(NEW_STATE).chunks()
        head = json.loads(chunk.to_bytes().partition(b"\n")[0])
        known = {"kind": "snapshot", "term": 2, "index": 5, "index_term": 1, "at": 0}
        assert head.items() >= {**known, "is_last": False, "sent_at": 100.0}.items()
        assert head["voters"] == list(NAMES)


def newest_base(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send chunks of the newest snapshot and join them by offset, as before."""
    send, add = Followers._send_snapshot_chunk, IncomingSnapshot.add

    def send_newest(followers: Any, name: str, follower: Any, transfer: Any) -> None:
        transfer.base = followers._log.base
        send(followers, name, follower, transfer)

    def add_any(incoming: Any, key: Any, offset: int, chunk: bytes) -> int:
        return add(
            incoming, key._replace(last_included_index=0, size=None, checksum=None), offset, chunk
        )

    monkeypatch.setattr(Followers, "_send_snapshot_chunk", send_newest)
    monkeypatch.setattr(IncomingSnapshot, "add", add_any)


def acknowledge_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count a snapshot as durable when it is received, as before."""
    monkeypatch.setattr(PendingSync, "queue_snapshot", lambda pending: None)
    monkeypatch.setattr(
        Raft, "_send_when_synced", lambda raft, to, message: raft._send_now(to, message)
    )


class TestTransfers:
    """Transfers with a change at each point."""

    @pytest.mark.parametrize("seed", range(16))
    def test_no_state_is_mixed(self, seed: int) -> None:
        TransferSchedule(seed=seed).run()

    @pytest.mark.parametrize("event", ["replace", "lease", "kill", "hand over"])
    def test_each_point(self, event: str) -> None:
        """The event strikes after each step of a transfer, the save and its answer included."""
        for steps in range(0, 30, 2):
            world = World(seed=steps)
            world.run(2.0)
            behind = next(r for r in world.replicas.values() if r is not world.leader)
            behind.crash(wipe=steps % 4 == 0)
            propose(world, range(40))
            old = world.leader
            for replica in world.replicas.values():
                replica.compact()
            behind.start()
            states: dict[int, bytes] = {}
            run_until(world, has_chunk(world), states)
            for number in range(steps):
                world.propose(b"during %d" % number)
                run_until(world, lambda: True, states)
            old.compact()
            if event == "lease":
                world.cut = links_of(old.name)
            elif event == "kill":
                old.crash()
            elif event == "hand over":
                old.raft.transfer_leadership()
            for _ in range(60):
                run_until(world, lambda: True, states)
            settle(world)
            check_states(world, states)
            check_agreement(world)
            assert behind.raft.can_vote

    @pytest.mark.parametrize(
        ("mutate", "error"),
        [(newest_base, MixedStateError), (acknowledge_at_once, AssertionError)],
    )
    def test_the_faults_of_before_are_found(
        self,
        mutate: Callable[[pytest.MonkeyPatch], None],
        error: type[Exception],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        mutate(monkeypatch)
        with pytest.raises(error):
            for seed in range(8):
                TransferSchedule(seed=seed).run()

    def test_a_mixed_state_is_found_whichever_parts_it_has(self) -> None:
        machine = ListMachine()
        machine.apply(1, Entry(1, b"first"))
        older = machine.snapshot()
        machine.apply(2, Entry(1, b"second"))
        newer = machine.snapshot()
        # Up to there the two are equal.
        begin = next(at for at in range(len(older)) if older[at] != newer[at])
        for at in range(begin + 1, len(newer)):
            with pytest.raises(MixedStateError):
                ListMachine().restore(older[:at] + newer[at:])

    def test_another_state_at_an_index_is_found(self) -> None:
        world = World()
        world.run(2.0)
        world.replicas["n0"].machine.apply(1, Entry(1, b"more"))
        with pytest.raises(AssertionError, match="another state"):
            check_states(world, {})


def has_chunk(world: World) -> Callable[[], bool]:
    """Return whether a chunk was sent, as a function."""
    return lambda: bool(world.newest_chunk[0])


def links_of(name: str) -> Callable[[str, str], bool]:
    """Return the cut of all links of a replica."""
    return lambda sender, to: name in (sender, to)


def propose(world: World, numbers: Iterable[int]) -> None:
    for number in numbers:
        world.propose(b"c%d" % number)
        world.run(0.03)


def run_until(world: World, is_reached: Callable[[], bool], states: dict[int, bytes]) -> None:
    """Step until a condition holds, at least once, and compare the states."""
    for _ in range(200):
        world.step()
        check_states(world, states)
        if is_reached():
            return
    raise AssertionError("the condition was not reached")
