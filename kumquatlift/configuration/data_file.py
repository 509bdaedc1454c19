"""One durable file: replaced as a whole, checksummed, and synced before a write returns."""

import os
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

from kumquatlift.log import get_logger

_MAGIC = b"kumquatlift-1"
_TEMPORARY_SUFFIX = ".new"


class Disk(Protocol):
    """One folder. A write lasts once the file is synced, a rename once the folder is synced."""

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
    """A folder of the machine, created when it is missing.

    Args:
        path: The folder.
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
        """Sync the bytes of a file."""
        self._sync(self._path / name, os.O_RDWR)

    def rename(self, source: str, target: str) -> None:
        """Give a file another name, replacing the file of that name."""
        os.replace(self._path / source, self._path / target)

    def sync_folder(self) -> None:
        """Sync the folder."""
        self._sync(self._path, os.O_RDONLY)

    @staticmethod
    def _sync(path: Path, flags: int) -> None:
        fd = os.open(path, flags)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


class FakeDisk:
    """A folder in memory that loses on a crash whatever was not synced.

    Args:
        sync_s: Duration of one sync, in seconds.
        sleep: Waits for a number of seconds; ``ManualClock.advance`` in a simulation.
    """

    def __init__(
        self, *, sync_s: float = 0.0, sleep: Callable[[float], None] = lambda seconds: None
    ) -> None:
        self._sync_s = sync_s
        self._sleep = sleep
        # Files are lists so that a name keeps the identity of its file across a rename.
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
        """Create or replace a file; nothing of it is durable yet."""
        self._files[name] = [data]

    def sync(self, name: str) -> None:
        """Make the bytes of a file durable after the delay of a sync."""
        self._wait()
        file = self._files[name]
        self._durable_bytes[id(file)] = (file, file[0])

    def rename(self, source: str, target: str) -> None:
        """Give a file another name; the change of names is not durable yet."""
        self._files[target] = self._files.pop(source)

    def sync_folder(self) -> None:
        """Make the names durable after the delay of a sync."""
        self._wait()
        self._durable_names = dict(self._files)
        named = {id(file) for file in self._durable_names.values()}
        self._durable_bytes = {
            key: entry for key, entry in self._durable_bytes.items() if key in named
        }

    def crash(self, *, keep_names: bool = False) -> None:
        """Forget what was not synced; a file without synced bytes is empty.

        Args:
            keep_names: Whether names that were not synced happen to last.
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
        """Lose every file."""
        self._files, self._durable_names, self._durable_bytes = {}, {}, {}

    def _wait(self) -> None:
        self.before_sync()
        self.syncs += 1
        self._sleep(self._sync_s)


class DataFile:
    """A file that holds its last value whole, or counts as lost.

    Args:
        disk: Folder that holds the file.
        name: Name of the file.
    """

    def __init__(self, *, disk: Disk, name: str) -> None:
        self._disk = disk
        self._name = name

    def read(self) -> bytes | None:
        """Return the value, or None when it was never written or is lost.

        Raises:
            OSError: The disk failed; whether there is a value is unknown.
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
            OSError: The disk failed; either value may be there after a restart.
        """
        temporary = self._name + _TEMPORARY_SUFFIX
        self._disk.write(temporary, _header(value) + b"\n" + value)
        self._disk.sync(temporary)
        self._disk.rename(temporary, self._name)
        self._disk.sync_folder()


def _header(value: bytes) -> bytes:
    checksum = blake2b(value, digest_size=16).hexdigest().encode()
    return b" ".join((_MAGIC, str(len(value)).encode(), checksum))
