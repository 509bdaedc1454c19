"""A small durable file that is replaced atomically, and the disks that can hold it."""

import os
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

from kumquatlift.log import get_logger

_MAGIC = b"kumquatlift-1"
_TEMPORARY_SUFFIX = ".new"


class Disk(Protocol):
    """One folder. A write is durable once its file is synced, a rename once the folder is."""

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None when there is no such file."""

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate a file and write to it."""

    def sync(self, name: str) -> None:
        """Return once the bytes of a file are durable."""

    def rename(self, source: str, target: str) -> None:
        """Give a file another name, replacing the file of that name."""

    def sync_folder(self) -> None:
        """Return once the names in the folder are durable."""


class FolderDisk:
    """A folder of the file system, created if it does not exist.

    Args:
        path: Path of the folder.
    """

    def __init__(self, *, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self._path = path

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None when there is no such file."""
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate a file and write to it."""
        (self._path / name).write_bytes(data)

    def sync(self, name: str) -> None:
        """Return once the bytes of a file are durable."""
        self._sync(self._path / name, os.O_RDWR)

    def rename(self, source: str, target: str) -> None:
        """Give a file another name, replacing the file of that name."""
        os.replace(self._path / source, self._path / target)

    def sync_folder(self) -> None:
        """Return once the names in the folder are durable."""
        self._sync(self._path, os.O_RDONLY)

    @staticmethod
    def _sync(path: Path, flags: int) -> None:
        fd = os.open(path, flags)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


class FakeDisk:
    """A folder in memory for tests, which loses unsynced writes and renames in a crash.

    Args:
        sync_s: Duration of one sync, in seconds.
        sleep: Waits for a number of seconds; a simulation passes ``ManualClock.advance``.
    """

    def __init__(
        self, *, sync_s: float = 0.0, sleep: Callable[[float], None] = lambda seconds: None
    ) -> None:
        self._sync_s = sync_s
        self._sleep = sleep
        # The bytes of a file are held in a list of one, whose identity survives a rename.
        self._files: dict[str, list[bytes]] = {}
        self._durable_names: dict[str, list[bytes]] = {}
        self._durable_bytes: dict[int, tuple[list[bytes], bytes]] = {}
        self.syncs = 0
        self.before_sync: Callable[[], None] = lambda: None

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None when there is no such file."""
        file = self._files.get(name)
        return None if file is None else file[0]

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file; its bytes and its name are not durable yet."""
        self._files[name] = [data]

    def sync(self, name: str) -> None:
        """Make the bytes of a file durable, after the duration of a sync."""
        self._wait()
        file = self._files[name]
        self._durable_bytes[id(file)] = (file, file[0])

    def rename(self, source: str, target: str) -> None:
        """Give a file another name; the rename is not durable yet."""
        self._files[target] = self._files.pop(source)

    def sync_folder(self) -> None:
        """Make the names in the folder durable, after the duration of a sync."""
        self._wait()
        self._durable_names = dict(self._files)
        named = {id(file) for file in self._durable_names.values()}
        self._durable_bytes = {
            key: entry for key, entry in self._durable_bytes.items() if key in named
        }

    def crash(self, *, keep_names: bool = False) -> None:
        """Lose what was not synced; a file whose bytes were never synced becomes empty.

        Args:
            keep_names: Whether unsynced changes of names survive, as they may on a real disk.
        """
        if keep_names:
            self._durable_names = dict(self._files)
        self._files = {}
        for name, file in self._durable_names.items():
            _, data = self._durable_bytes.get(id(file), (file, b""))
            self._files[name] = [data]
        self._durable_names = dict(self._files)
        self._durable_bytes = {id(file): (file, file[0]) for file in self._files.values()}

    def wipe(self) -> None:
        """Lose every file, as when the disk is replaced."""
        self._files, self._durable_names, self._durable_bytes = {}, {}, {}

    def _wait(self) -> None:
        self.before_sync()
        self.syncs += 1
        self._sleep(self._sync_s)


class DataFile:
    """A file that holds one value with a checksum.

    The first line of the file holds the format, the length and the checksum of the value that
    follows. A write replaces the value atomically. A file that is truncated or corrupt is reported
    as missing.

    Args:
        disk: Folder that holds the file.
        name: Name of the file.
    """

    def __init__(self, *, disk: Disk, name: str) -> None:
        self._disk = disk
        self._name = name

    def read(self) -> bytes | None:
        """Return the value, or None when the file does not exist or is corrupt.

        Raises:
            OSError: The disk failed, so it is not known whether there is a value.
        """
        data = self._disk.read(self._name)
        if data is None:
            return None
        head, newline, value = data.partition(b"\n")
        if not newline or head != _header(value):
            get_logger().error("data_file_lost", file=self._name, bytes=len(data))
            return None
        return value

    def write(self, value: bytes) -> None:
        """Replace the value; it is durable when the call returns.

        Raises:
            OSError: The disk failed; a restart may read the old value or the new one.
        """
        temporary = self._name + _TEMPORARY_SUFFIX
        self._disk.write(temporary, _header(value) + b"\n" + value)
        self._disk.sync(temporary)
        self._disk.rename(temporary, self._name)
        self._disk.sync_folder()


def _header(value: bytes) -> bytes:
    checksum = blake2b(value, digest_size=16).hexdigest().encode()
    return b" ".join((_MAGIC, str(len(value)).encode(), checksum))
