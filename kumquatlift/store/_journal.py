"""Journal of a replica: the files that hold its log, hard state and newest snapshot."""

import errno
import json
import os
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

from kumquatlift.log import get_logger
from kumquatlift.store._messages import Entry

# Sizes of the JSON head and of the data that follow, in bytes, and the CRC-32 of both.
_HEADER = struct.Struct("<III")
_SNAPSHOT = "snapshot"
_JOURNAL = "journal-"
# Folder for files that can't be read. While it is there, the data folder does not count as new.
_UNREADABLE = "unreadable"
# A record holds one entry, and callers' requests are far smaller. A larger size in a header means
# that the header is damaged.
MAX_RECORD_BYTES = 64 * 1024 * 1024
# Disk errors that may be transient; others, such as a missing permission, need an operator.
TRANSIENT_ERRNOS = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ETIMEDOUT})
# Delay before a failed disk operation is retried.
RETRY_S = 0.25


class JournalError(Exception):
    """The data folder cannot be read or written.

    Args:
        reason: Description of the error.
        is_transient: Whether the same operation may succeed later.
        is_damaged: Whether the files were read, and what they hold is no journal.
    """

    def __init__(
        self, reason: str, *, is_transient: bool = False, is_damaged: bool = False
    ) -> None:
        super().__init__(reason)
        self.is_transient = is_transient
        self.is_damaged = is_damaged


class HardState(NamedTuple):
    """Persistent state of a replica besides its log and snapshot.

    Args:
        term: Newest term seen.
        voted_for: Replica voted for in that term; empty for none.
        can_vote: Whether the replica may vote and this disk counts for a majority.
    """

    term: int = 0
    voted_for: str = ""
    can_vote: bool = False


class Snapshot(NamedTuple):
    """State of the state machine after an entry; replaces all entries up to that one.

    Args:
        last_included_index: Index of that entry.
        term: Term of that entry.
        voters: Voters as of that entry.
        state: Serialized state machine; empty for the initial state.
    """

    last_included_index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: bytes = b""


class RecoveredState(NamedTuple):
    """State read from a data folder.

    Args:
        hard: Newest hard state; None for a new folder, so also after the disk was lost.
        snapshot: Newest snapshot.
        entries: Entries after the snapshot.
        is_set_aside: Whether the folder holds files that were set aside.
    """

    hard: HardState | None
    snapshot: Snapshot
    entries: list[Entry]
    is_set_aside: bool = False

    @property
    def is_new(self) -> bool:
        """Whether the folder has never held a log, as far as it shows."""
        has_log = bool(self.snapshot.last_included_index or self.entries)
        return self.hard is None and not has_log and not self.is_set_aside


def open_journal(path: Path, *, wait_for_stop: Callable[[float], bool]) -> "Journal | None":
    """Open a journal; retry while the disk reports an error that may be transient.

    A damaged journal is set aside. The replica then counts as one that has lost its disk.

    Args:
        path: Data folder.
        wait_for_stop: Waits for a number of seconds; returns True once the process has been
            requested to stop.

    Returns:
        The journal; None when the process is stopped.

    Raises:
        JournalError: The folder cannot be used, for a reason that is not transient.
    """
    while True:
        try:
            return _open_or_set_aside(path)
        except JournalError as exc:
            if not exc.is_transient:
                raise
            get_logger().error("disk_refused", error=repr(exc), retry_s=RETRY_S)
        if wait_for_stop(RETRY_S):
            return None


def _open_or_set_aside(path: Path) -> "Journal":
    try:
        return Journal(path=path)
    except JournalError as exc:
        if not exc.is_damaged:
            raise
        try:
            _set_aside(path, reason=str(exc))
        except OSError as error:
            is_transient = error.errno in TRANSIENT_ERRNOS
            raise JournalError(f"{path}: {error}", is_transient=is_transient) from error
    return Journal(path=path)


def _set_aside(path: Path, *, reason: str) -> None:
    """Move snapshot and journals to a folder of their own, durably.

    The snapshot is the last: without it, a journal of an earlier time would be read after a loss of
    power, with a right to vote that it no longer has.
    """
    get_logger().error("journal_set_aside", folder=str(path / _UNREADABLE), reason=reason[:300])
    aside = path / _UNREADABLE
    aside.mkdir(exist_ok=True)
    _sync_folder(path)
    journals = sorted(each.name for each in path.iterdir() if each.name.startswith(_JOURNAL))
    for names in (journals, [_SNAPSHOT]):
        for name in names:
            if (path / name).exists():
                os.replace(path / name, aside / name)
        _sync_folder(aside)
        _sync_folder(path)


def _sync_folder(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def entry_record(index: int, entry: Entry) -> bytes:
    """Return the record of an entry.

    A later record with the same index replaces the entry and all that follow it.
    """
    return _record({"index": index, "term": entry.term, "voters": entry.voters}, entry.data)


def hard_record(hard: HardState) -> bytes:
    """Return the record of a hard state."""
    return _record({"hard": hard}, b"")


def _record(head: dict[str, object], data: bytes) -> bytes:
    line = json.dumps(head).encode()
    return _HEADER.pack(len(line), len(data), crc32(data, crc32(line))) + line + data


class Journal:
    """Append-only file of records in a data folder; each method waits for the disk.

    Saving a snapshot starts a new file, named after the snapshot's index, and removes the old one.
    When the file is read, everything from the first torn record on is dropped, because it was never
    synced.

    Args:
        path: Data folder.

    Raises:
        JournalError: The folder cannot be used.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._fd = -1
        self._size = 0
        try:
            path.mkdir(parents=True, exist_ok=True)
            self.recovered = self._recover()
        except (OSError, LookupError, TypeError, ValueError) as exc:
            self._close()
            is_damaged = not isinstance(exc, OSError)
            is_transient = isinstance(exc, OSError) and exc.errno in TRANSIENT_ERRNOS
            raise JournalError(
                f"{path}: {exc}", is_transient=is_transient, is_damaged=is_damaged
            ) from exc

    def set_aside(self, reason: str) -> None:
        """Set the files aside, as what they hold can't be used, and start without any.

        Raises:
            JournalError: The folder cannot be used.
            OSError: The files can't be moved.
        """
        self._close()
        _set_aside(self._path, reason=reason)
        self._size = 0
        self.recovered = self._recover()

    def _close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1

    def append(self, records: list[bytes]) -> None:
        """Write records and return once they are durable.

        Raises:
            OSError: The write failed; any part of the records may be on the disk or not.
        """
        data = b"".join(records)
        view = memoryview(data)
        written = 0
        while written < len(data):
            written += os.pwrite(self._fd, view[written:], self._size + written)
        os.fdatasync(self._fd)
        # Counts synced bytes only, so that a retry after an error overwrites a partial write.
        self._size += len(data)

    def save_snapshot(self, snapshot: Snapshot, records: list[bytes]) -> None:
        """Replace all entries up to a snapshot and return once it is durable.

        Args:
            snapshot: The snapshot.
            records: Hard state and entries after the snapshot.
        """
        head = {
            "index": snapshot.last_included_index,
            "term": snapshot.term,
            "voters": snapshot.voters,
        }
        name = f"{_JOURNAL}{snapshot.last_included_index}"
        data = b"".join(records)
        # The present snapshot may refer to a journal of this name, so that it is replaced whole.
        self._write_synced(f"{name}.new", data)
        os.replace(self._path / f"{name}.new", self._path / name)
        self._write_synced(f"{_SNAPSHOT}.new", _record(head, snapshot.state))
        # The new journal's name must be durable before the snapshot that refers to it.
        _sync_folder(self._path)
        os.replace(self._path / f"{_SNAPSHOT}.new", self._path / _SNAPSHOT)
        _sync_folder(self._path)
        new_fd = os.open(self._path / name, os.O_RDWR)
        os.close(self._fd)
        self._fd, self._size = new_fd, len(data)
        self._remove_others(name)

    def _write_synced(self, name: str, data: bytes) -> None:
        fd = os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)

    @property
    def size(self) -> int:
        """Size of the journal file in bytes."""
        return self._size

    def _recover(self) -> RecoveredState:
        snapshot = self._read_snapshot()
        name = f"{_JOURNAL}{snapshot.last_included_index}"
        self._fd = os.open(self._path / name, os.O_RDWR | os.O_CREAT)
        data = _read_all(self._fd)
        hard, entries, self._size = _replay(data, snapshot.last_included_index)
        if self._size < len(data):
            get_logger().warning(
                "journal_tail_dropped", bytes=len(data) - self._size, kept=self._size
            )
            os.ftruncate(self._fd, self._size)
        os.fsync(self._fd)
        # A process that was killed before its last sync leaves names that a loss of power takes
        # back, and the file that they replaced must still be there then.
        _sync_folder(self._path)
        self._remove_others(name)
        return RecoveredState(hard, snapshot, entries, (self._path / _UNREADABLE).exists())

    def _read_snapshot(self) -> Snapshot:
        try:
            data = (self._path / _SNAPSHOT).read_bytes()
        except FileNotFoundError:
            return Snapshot()
        found = _read_record(data, 0, max_bytes=len(data))
        if found is None:
            raise ValueError(f"{_SNAPSHOT} is damaged: bad length or checksum")
        head, state, _ = found
        return Snapshot(head["index"], head["term"], tuple(head["voters"]), state)

    def _remove_others(self, name: str) -> None:
        for path in self._path.iterdir():
            if path.name.startswith(_JOURNAL) and path.name != name:
                path.unlink()


def _replay(data: bytes, base: int) -> tuple[HardState | None, list[Entry], int]:
    """Return the hard state and entries of a journal, and the size of its intact part in bytes."""
    hard: HardState | None = None
    entries: list[Entry] = []
    at = 0
    while (found := _read_record(data, at)) is not None:
        head, command, at = found
        if "hard" in head:
            hard = HardState(*head["hard"])
            continue
        position = head["index"] - base - 1
        if not 0 <= position <= len(entries):
            raise ValueError(f"entry {head['index']} does not follow entry {base + len(entries)}")
        del entries[position:]
        voters = head["voters"]
        entries.append(Entry(head["term"], command, None if voters is None else tuple(voters)))
    return hard, entries, at


def _read_record(
    data: bytes, at: int, *, max_bytes: int = MAX_RECORD_BYTES
) -> tuple[dict[str, Any], bytes, int] | None:
    """Return the head, data and end offset of the record at an offset; None if it is not intact."""
    if len(data) - at < _HEADER.size:
        return None
    head_size, data_size, checksum = _HEADER.unpack_from(data, at)
    start = at + _HEADER.size
    end = start + head_size + data_size
    if not head_size or data_size > max_bytes or end > len(data):
        return None
    line = data[start : start + head_size]
    command = data[start + head_size : end]
    if crc32(command, crc32(line)) != checksum:
        return None
    return json.loads(line), command, end


def _read_all(fd: int) -> bytes:
    parts: list[bytes] = []
    while part := os.read(fd, 1 << 20):
        parts.append(part)
    return b"".join(parts)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
