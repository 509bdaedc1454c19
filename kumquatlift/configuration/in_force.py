"""The configuration in force in one process, whose version never decreases."""

import json
import threading
from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.configuration.codec import CodecError, decode, encode
from kumquatlift.configuration.data_file import DataFile, Disk
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.configuration.value import Value
from kumquatlift.log import get_logger

FILE_NAME = "in-force"

Listener = Callable[[int, Document], None]
"""Takes the version and the document; must return quickly and must not change the register."""


class ParsedValue(NamedTuple):
    """A value of the register with the document that was parsed from it."""

    value: Value
    document: Document


class ConfigurationInForce:
    """The newest accepted value that this process knows, kept across restarts.

    Args:
        disk: Folder for the stored copy; None for a process without one.
    """

    def __init__(self, *, disk: Disk | None) -> None:
        self._lock = threading.RLock()
        self._file = None if disk is None else DataFile(disk=disk, name=FILE_NAME)
        self._listeners: list[Listener] = []
        self._current: ParsedValue | None = None
        self._unreadable_version = 0
        # Identity of the voters' register, empty until it is learned from a majority of them.
        # Once it is set, values of other registers are stale.
        self.register = ""
        self._load()

    @property
    def current(self) -> ParsedValue | None:
        """The value in force with its document; None before the first one is known."""
        return self._current

    @property
    def value(self) -> Value | None:
        """The value in force; None before the first one is known."""
        return None if self._current is None else self._current.value

    @property
    def document(self) -> Document | None:
        """The document in force; None before the first one is known."""
        return None if self._current is None else self._current.document

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one is known."""
        return 0 if self._current is None else self._current.value.version

    def add_listener(self, listener: Listener) -> None:
        """Call a function for the document in force, if any, and for each later one."""
        with self._lock:
            self._listeners.append(listener)
            if self._current is not None:
                listener(self._current.value.version, self._current.document)

    def install(self, value: Value) -> bool:
        """Put an accepted value in force, unless it is older or belongs to an earlier register.

        Returns:
            Whether the value came into force.
        """
        with self._lock:
            is_stale = self.register and value.register != self.register
            if value.version <= self.version or is_stale or not self._parse_and_set(value):
                return False
            self._save(value)
            get_logger().info("configuration_in_force", version=value.version)
            for listener in self._listeners:
                self._notify(listener)
            return True

    def _parse_and_set(self, value: Value) -> bool:
        doc = read_document(value.document)
        if isinstance(doc, str):
            if value.version != self._unreadable_version:
                get_logger().error("configuration_unreadable", version=value.version, problem=doc)
            self._unreadable_version = value.version
            return False
        self._current = ParsedValue(value, doc)
        return True

    def _notify(self, listener: Listener) -> None:
        assert self._current is not None
        try:
            listener(self._current.value.version, self._current.document)
        except Exception as exc:
            # The other listeners must get the new document even if one of them fails.
            get_logger().error("configuration_listener_failed", error=repr(exc), exc_info=True)

    def _save(self, value: Value) -> None:
        if self._file is None:
            return
        try:
            self._file.write(encode(value))
        except OSError as exc:
            get_logger().error("configuration_not_saved", error=str(exc))

    def _load(self) -> None:
        data = None if self._file is None else self._file.read()
        if data is None:
            return
        try:
            self._parse_and_set(decode(data, Value))
        except CodecError as exc:
            get_logger().error("configuration_file_lost", error=str(exc))


def read_document(text: str) -> Document | str:
    """Parse and validate a document in JSON.

    Returns:
        The document, or its problems as one line.
    """
    try:
        source = json.loads(text)
    except (ValueError, RecursionError) as exc:
        return f"not JSON: {exc}"
    doc = read_mapping(source)
    return "; ".join(map(str, doc)) if isinstance(doc, list) else doc


def write_document(doc: Document) -> str:
    """Return a document as JSON; equal documents result in equal texts."""
    return json.dumps(doc.to_mapping(), sort_keys=True, separators=(",", ":"))
