"""Journal of a replica: torn tails, replaced entries, snapshots and failing disks."""

import errno
import os
from pathlib import Path
from typing import Any

import pytest

from kumquatlift.store import Entry, Journal, JournalError, _journal, open_journal
from kumquatlift.store._journal import HardState, Snapshot, entry_record, hard_record


def write(path: Path, *records: bytes) -> None:
    Journal(path=path).append(list(records))


class TestJournal:
    """State read from a data folder after a restart."""

    def test_an_empty_folder_has_no_hard_state(self, tmp_path: Path) -> None:
        """Guards against a vote by a replica whose disk was lost."""
        assert Journal(path=tmp_path).recovered.hard is None

    def test_records_are_read_again(self, tmp_path: Path) -> None:
        hard = HardState(3, "n1", True)
        write(tmp_path, hard_record(hard), entry_record(1, Entry(3, b"a")))
        found = Journal(path=tmp_path).recovered
        assert found.hard == hard
        assert found.entries == [Entry(3, b"a")]

    def test_a_later_record_of_an_index_replaces_the_tail(self, tmp_path: Path) -> None:
        write(
            tmp_path,
            entry_record(1, Entry(1, b"a")),
            entry_record(2, Entry(1, b"b")),
            entry_record(1, Entry(2, b"c", ("n1",))),
        )
        assert Journal(path=tmp_path).recovered.entries == [Entry(2, b"c", ("n1",))]

    @pytest.mark.parametrize("cut", [1, 5, 13, 20])
    def test_a_torn_tail_is_dropped_and_overwritten(self, tmp_path: Path, cut: int) -> None:
        """Guards against records that are appended after an unreadable one and never read again."""
        write(tmp_path, entry_record(1, Entry(1, b"a" * 9)), entry_record(2, Entry(1, b"b" * 9)))
        file = tmp_path / "journal-0"
        file.write_bytes(file.read_bytes()[:-cut])
        journal = Journal(path=tmp_path)
        assert journal.recovered.entries == [Entry(1, b"a" * 9)]
        journal.append([entry_record(2, Entry(2, b"c"))])
        assert Journal(path=tmp_path).recovered.entries[1] == Entry(2, b"c")

    def test_zeros_behind_the_end_are_dropped(self, tmp_path: Path) -> None:
        """Guards against reading a record after a gap: a write was lost but a later one was not."""
        write(tmp_path, entry_record(1, Entry(1, b"a")))
        file = tmp_path / "journal-0"
        file.write_bytes(file.read_bytes() + bytes(100) + entry_record(2, Entry(1, b"b")))
        assert Journal(path=tmp_path).recovered.entries == [Entry(1, b"a")]

    def test_a_snapshot_replaces_the_entries(self, tmp_path: Path) -> None:
        journal = Journal(path=tmp_path)
        journal.append([entry_record(1, Entry(1, b"a")), entry_record(2, Entry(1, b"b"))])
        snapshot = Snapshot(1, 1, ("n1",), b"state")
        journal.save_snapshot(
            snapshot, [hard_record(HardState(1, "", True)), entry_record(2, Entry(1, b"b"))]
        )
        found = Journal(path=tmp_path).recovered
        assert found.snapshot == snapshot
        assert found.entries == [Entry(1, b"b")]
        assert found.hard == HardState(1, "", True)
        assert not (tmp_path / "journal-0").exists()

    def test_a_damaged_snapshot_is_an_error(self, tmp_path: Path) -> None:
        """Guards against a start with older state than was acknowledged."""
        Journal(path=tmp_path).save_snapshot(Snapshot(1, 1, ("n1",), b"state"), [])
        file = tmp_path / "snapshot"
        file.write_bytes(file.read_bytes()[:-1])
        with pytest.raises(JournalError, match="damaged"):
            Journal(path=tmp_path)

    def test_a_refused_write_is_overwritten_by_the_next(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        journal = Journal(path=tmp_path)
        journal.append([entry_record(1, Entry(1, b"a"))])

        def refuse(_fd: int) -> None:
            raise OSError("disk full")

        with monkeypatch.context() as patch:
            patch.setattr("os.fdatasync", refuse)
            with pytest.raises(OSError, match="disk full"):
                journal.append([entry_record(2, Entry(1, b"lost"))])
        journal.append([entry_record(2, Entry(1, b"b"))])
        assert [entry.data for entry in Journal(path=tmp_path).recovered.entries] == [b"a", b"b"]


class RefusingOs:
    """Stand-in for the module ``os`` that fails the first calls of ``fsync`` with given errors."""

    def __init__(self, *refusals: int) -> None:
        self.refusals = list(refusals)

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def fsync(self, fd: int) -> None:
        if self.refusals:
            raise OSError(self.refusals.pop(0), "refused")
        os.fsync(fd)


class TestOpen:
    """Disk errors while a process starts.

    Guards against a process that exits for good when a sync fails during its restart. Together with
    the loss of another disk, this left the system without a majority in a soak test.
    """

    def test_a_transient_error_is_retried(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        write(tmp_path, entry_record(1, Entry(1, b"a")))
        monkeypatch.setattr(_journal, "os", RefusingOs(errno.EIO, errno.ENOSPC))
        waits: list[float] = []
        journal = open_journal(tmp_path, wait_for_stop=lambda seconds: bool(waits.append(seconds)))
        assert journal is not None
        assert journal.recovered.entries == [Entry(1, b"a")]
        assert len(waits) == 2

    def test_a_permanent_error_ends_the_start(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_journal, "os", RefusingOs(errno.EACCES))
        with pytest.raises(JournalError):
            open_journal(tmp_path, wait_for_stop=lambda seconds: False)

    def test_a_stop_request_ends_the_retries(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_journal, "os", RefusingOs(*[errno.EIO] * 5))
        assert open_journal(tmp_path, wait_for_stop=lambda seconds: True) is None
