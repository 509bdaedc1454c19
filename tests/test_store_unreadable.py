"""Starts with files of the data folder that can't be read."""

from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

import pytest
from structlog.testing import capture_logs

from kumquatlift.clock import ManualClock
from kumquatlift.histogram import Histogram
from kumquatlift.store import Entry, EventLoop, Journal, Replica, Role, open_journal
from kumquatlift.store._journal import HardState, Snapshot, entry_record, hard_record

VOTER = HardState(1, "", True)


class PickyMachine:
    """State machine that reads only states that begin with ``ok``."""

    def apply(self, _index: int, _entry: Entry) -> None:
        return

    def snapshot(self) -> bytes:
        return b"ok"

    def restore(self, state: bytes) -> None:
        if not state.startswith(b"ok"):
            raise ValueError("not readable")

    def on_role(self, _role: Role, _term: int) -> None:
        return


class NoChannel:
    """Channel that drops everything."""

    def handle_inline(self, _topic: object, _handler: object) -> None:
        return

    def send(self, _to: str, _topic: object, _body: bytes) -> None:
        return


def start(path: Path) -> Replica:
    """Start a replica that is told to form the log, as at its first start."""
    journal = open_journal(path, wait_for_stop=lambda seconds: True)
    assert journal is not None
    channel: Any = NoChannel()
    return Replica(
        name="a",
        channel=channel,
        loop=EventLoop(clock=ManualClock(start=1.0)),
        journal=journal,
        machine=PickyMachine(),
        initial_voters=("a",),
        contacts=("b",),
        started_at=0.0,
        sync_ms=Histogram(name="sync_ms", help=""),
        target_voters=1,
        max_journal_bytes=1 << 20,
    )


def damage_snapshot(path: Path) -> None:
    file = path / "snapshot"
    file.write_bytes(file.read_bytes()[:-1])


def break_order(path: Path) -> None:
    with (path / "journal-3").open("ab") as file:
        file.write(entry_record(9, Entry(1, b"late")))


def write_unreadable(path: Path) -> None:
    Journal(path=path).save_snapshot(Snapshot(4, 1, ("a",), b"no state"), [hard_record(VOTER)])


def write_odd_head(path: Path) -> None:
    head = hard_record(VOTER).replace(b"hard", b"herd")
    with (path / "journal-3").open("ab") as file:
        line = head[12:]
        file.write(head[:8] + crc32(line).to_bytes(4, "little") + line)


class TestUnreadableJournal:
    """Guards against a process that ends at each start, or starts with less than it promised."""

    @pytest.mark.parametrize(
        "damage", [damage_snapshot, break_order, write_unreadable, write_odd_head]
    )
    def test_the_replica_counts_as_one_without_its_disk(
        self, tmp_path: Path, damage: Callable[[Path], None]
    ) -> None:
        """It doesn't form the log anew either, at this start and the next one."""
        records = [hard_record(VOTER), entry_record(4, Entry(1, b"e"))]
        Journal(path=tmp_path).save_snapshot(Snapshot(3, 1, ("a",), b"ok"), records)
        assert start(tmp_path).raft.can_vote
        damage(tmp_path)
        kept = {each.name: each.read_bytes() for each in tmp_path.iterdir()}
        for _ in range(2):
            with capture_logs() as lines:
                raft = start(tmp_path).raft
            raft.start_election()
            assert (raft.can_vote, raft.last_index, raft.role) == (False, 0, Role.FOLLOWER)
            aside = {e.name: e.read_bytes() for e in (tmp_path / "unreadable").iterdir()}
            assert aside == kept
        assert [line["event"] for line in lines] == []

    def test_a_lost_journal_beside_a_snapshot_forms_no_log(self, tmp_path: Path) -> None:
        Journal(path=tmp_path).save_snapshot(Snapshot(3, 1, ("a",), b"ok"), [hard_record(VOTER)])
        (tmp_path / "journal-3").unlink()
        raft = start(tmp_path).raft
        assert (raft.can_vote, raft.last_index) == (False, 3)

    def test_a_large_snapshot_is_read_again(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The bound on the size of an entry is none for a snapshot."""
        monkeypatch.setattr("kumquatlift.store._journal.MAX_RECORD_BYTES", 100)
        snapshot = Snapshot(3, 1, ("a",), b"ok" * 100)
        Journal(path=tmp_path).save_snapshot(snapshot, [])
        assert Journal(path=tmp_path).recovered.snapshot == snapshot
