"""The file that makes a replica's log durable, with its snapshots."""

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

_HEADER = struct.Struct("<III")
_SNAPSHOT = "snapshot"
_JOURNAL = "journal-"
# A record holds one entry; callers' requests are far smaller.
MAX_RECORD_BYTES = 64 * 1024 * 1024


# Errors of a disk that may pass; others, such as a missing permission, need an operator.
TRANSIENT_ERRNOS = frozenset({errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ETIMEDOUT})
# A disk that refuses is tried again after this time.
RETRY_S = 0.25


class JournalError(Exception):
    """The data folder cannot be read or written.

    Args:
        reason: What is wrong.
        is_transient: Whether the same call may succeed later.
    """

    def __init__(self, reason: str, *, is_transient: bool = False) -> None:
        super().__init__(reason)
        self.is_transient = is_transient


class HardState(NamedTuple):
    """What a replica must not forget besides its log.

    Args:
        term: Newest term seen.
        voted_for: Replica voted for in that term; empty for none.
        can_vote: Whether this disk may vote and count for a majority.
    """

    term: int = 0
    voted_for: str = ""
    can_vote: bool = False


class Snapshot(NamedTuple):
    """The state machine after an entry, in place of all entries up to it.

    Args:
        last_included_index: Index of the entry.
        term: Term of the entry.
        voters: Voters at that point.
        state: The state machine's bytes; empty for the initial state.
    """

    last_included_index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: bytes = b""


class RecoveredState(NamedTuple):
    """What a data folder holds.

    Args:
        hard: Newest hard state; None for a folder that was never written.
        snapshot: Newest snapshot.
        entries: Entries after the snapshot.
    """

    hard: HardState | None
    snapshot: Snapshot
    entries: list[Entry]


def open_journal(path: Path, *, gives_up: Callable[[float], bool]) -> "Journal | None":
    """Open a journal, again and again while its disk refuses for a reason that may pass.

    Args:
        path: Data folder.
        gives_up: Waits for a number of seconds; tells whether the process ends meanwhile.

    Returns:
        The journal; None when the process ends.

    Raises:
        JournalError: The folder cannot be used, for a reason that does not pass.
    """
    while True:
        try:
            return Journal(path=path)
        except JournalError as exc:
            if not exc.is_transient:
                raise
            get_logger().error("disk_refused", error=repr(exc), retry_s=RETRY_S)
        if gives_up(RETRY_S):
            return None


def entry_record(index: int, entry: Entry) -> bytes:
    """Return the record of an entry; a later record of the same index replaces it and its tail."""
    return _record({"index": index, "term": entry.term, "voters": entry.voters}, entry.data)


def hard_record(hard: HardState) -> bytes:
    """Return the record of a hard state."""
    return _record({"hard": hard}, b"")


def _record(head: dict[str, object], data: bytes) -> bytes:
    line = json.dumps(head).encode()
    return _HEADER.pack(len(line), len(data), crc32(data, crc32(line))) + line + data


class Journal:
    """Append-only file of records in a data folder; each method blocks for the disk.

    A snapshot begins a new file, named by the snapshot's index, and removes the older one. Records
    behind the first that is torn are dropped: they were never synced.

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
        except OSError as exc:
            if self._fd >= 0:
                os.close(self._fd)
            is_transient = exc.errno in TRANSIENT_ERRNOS
            raise JournalError(f"{path}: {exc}", is_transient=is_transient) from exc

    def append(self, records: list[bytes]) -> None:
        """Write records and return once they are durable.

        Raises:
            OSError: The disk refused; nothing may be assumed about these records.
        """
        data = b"".join(records)
        view = memoryview(data)
        written = 0
        while written < len(data):
            written += os.pwrite(self._fd, view[written:], self._size + written)
        os.fdatasync(self._fd)
        # Only synced bytes count, so that a retry after an error overwrites what was half written.
        self._size += len(data)

    def save_snapshot(self, snapshot: Snapshot, records: list[bytes]) -> None:
        """Replace all entries up to a snapshot and return once that is durable.

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
        new_fd = os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC)
        data = b"".join(records)
        _write_all(new_fd, data)
        os.fsync(new_fd)
        fd = os.open(self._path / f"{_SNAPSHOT}.new", os.O_RDWR | os.O_CREAT | os.O_TRUNC)
        try:
            _write_all(fd, _record(head, snapshot.state))
            os.fsync(fd)
        finally:
            os.close(fd)
        # The name of the journal is durable before the snapshot that refers to it.
        self._sync_folder()
        os.replace(self._path / f"{_SNAPSHOT}.new", self._path / _SNAPSHOT)
        self._sync_folder()
        os.close(self._fd)
        self._fd, self._size = new_fd, len(data)
        self._remove_others(name)

    @property
    def size(self) -> int:
        """Bytes of the journal."""
        return self._size

    def _recover(self) -> RecoveredState:
        snapshot = self._read_snapshot()
        name = f"{_JOURNAL}{snapshot.last_included_index}"
        is_new = not (self._path / name).exists()
        self._fd = os.open(self._path / name, os.O_RDWR | os.O_CREAT)
        data = _read_all(self._fd)
        hard, entries, self._size = _replay(data, snapshot.last_included_index)
        if self._size < len(data):
            get_logger().warning(
                "journal_tail_dropped", bytes=len(data) - self._size, kept=self._size
            )
            os.ftruncate(self._fd, self._size)
        os.fsync(self._fd)
        if is_new:
            self._sync_folder()
        self._remove_others(name)
        return RecoveredState(hard, snapshot, entries)

    def _read_snapshot(self) -> Snapshot:
        try:
            data = (self._path / _SNAPSHOT).read_bytes()
        except FileNotFoundError:
            return Snapshot()
        found = _read_record(data, 0)
        if found is None:
            raise JournalError(f"{self._path / _SNAPSHOT} is damaged")
        head, state, _ = found
        return Snapshot(head["index"], head["term"], tuple(head["voters"]), state)

    def _remove_others(self, name: str) -> None:
        for path in self._path.iterdir():
            if path.name.startswith(_JOURNAL) and path.name != name:
                path.unlink()

    def _sync_folder(self) -> None:
        fd = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _replay(data: bytes, base: int) -> tuple[HardState | None, list[Entry], int]:
    """Return hard state and entries of a journal, and the length of its intact part."""
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
            raise JournalError(f"entry {head['index']} does not follow entry {base + len(entries)}")
        del entries[position:]
        voters = head["voters"]
        entries.append(Entry(head["term"], command, None if voters is None else tuple(voters)))
    return hard, entries, at


def _read_record(data: bytes, at: int) -> tuple[dict[str, Any], bytes, int] | None:
    if len(data) - at < _HEADER.size:
        return None
    head_size, data_size, checksum = _HEADER.unpack_from(data, at)
    start = at + _HEADER.size
    end = start + head_size + data_size
    if not head_size or data_size > MAX_RECORD_BYTES or end > len(data):
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
