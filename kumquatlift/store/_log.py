"""In-memory log of a replica: its snapshot and the entries after it."""

from kumquatlift.store._journal import Snapshot, entry_record
from kumquatlift.store._messages import Entry


class Log:
    """Snapshot of a replica, and the entries that follow it, by index.

    Args:
        base: Snapshot that replaces all older entries.
        entries: Entries after the snapshot.
    """

    def __init__(self, *, base: Snapshot, entries: list[Entry]) -> None:
        self.base = base
        self._entries = entries
        self.voters = self._find_voters()

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.last_included_index + len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not in the log or older than the snapshot."""
        if index == self.base.last_included_index:
            return self.base.term
        if self.base.last_included_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> Entry:
        """Return an entry after the snapshot."""
        return self._entries[index - self.base.last_included_index - 1]

    def entries_from(self, index: int, *, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from an index on.

        Args:
            index: Index of the first entry.
            max_entries: Largest number of entries.
            max_bytes: Largest total size; the last entry may exceed it.
        """
        found: list[Entry] = []
        size = 0
        at = index - self.base.last_included_index - 1
        while at < len(self._entries) and size < max_bytes and len(found) < max_entries:
            found.append(self._entries[at])
            size += len(self._entries[at].data)
            at += 1
        return tuple(found)

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self._entries.append(entry)
        if entry.voters is not None:
            self.voters = entry.voters
        return self.last_index

    def truncate(self, index: int) -> None:
        """Drop all entries after an index."""
        del self._entries[index - self.base.last_included_index :]
        self.voters = self._find_voters()

    def compact(self, index: int, state: bytes) -> None:
        """Replace the entries up to an index by a snapshot with the given state."""
        covered = self._entries[: index - self.base.last_included_index]
        voters = self.base.voters
        for entry in covered:
            voters = entry.voters if entry.voters is not None else voters
        base = Snapshot(index, self.term_at(index) or 0, voters, state)
        self._entries = self._entries[len(covered) :]
        self.base = base

    def replace(self, base: Snapshot) -> None:
        """Replace the whole log by a snapshot of another replica."""
        self.base = base
        self._entries = []
        self.voters = base.voters

    def has_voter_change_after(self, index: int) -> bool:
        """Return whether an entry after an index changes the voters."""
        return any(
            entry.voters is not None
            for entry in self._entries[index - self.base.last_included_index :]
        )

    def records(self) -> list[bytes]:
        """Return the journal records of all entries."""
        return [
            entry_record(self.base.last_included_index + 1 + offset, entry)
            for offset, entry in enumerate(self._entries)
        ]

    def _find_voters(self) -> tuple[str, ...]:
        for entry in reversed(self._entries):
            if entry.voters is not None:
                return entry.voters
        return self.base.voters
