"""Records that are not durable yet, and messages that must not be sent before they are."""

from collections.abc import Callable

from kumquatlift.store._messages import Message


class PendingSync:
    """Records and messages that wait for a sync of the journal.

    One sync runs at a time. Records and messages that are added meanwhile wait for the next one.

    Args:
        send: Sends a message to a replica.
    """

    def __init__(self, *, send: Callable[[str, Message], None]) -> None:
        self._send = send
        self.records: list[bytes] = []
        # Messages to send after the next sync, and after the running one.
        self._queued_messages: list[tuple[str, Message]] = []
        self._syncing_messages: list[tuple[str, Message]] = []
        self._syncing_index = 0
        # Index of the last durable entry.
        self.synced_index = 0
        # Whether the next sync, and the running one, writes a snapshot.
        self._is_snapshot_queued = False
        self._is_snapshot_syncing = False

    def start_sync(self, last_index: int) -> list[bytes]:
        """Return the records to write before ``on_synced`` is called; empty if there are none."""
        records, self.records = self.records, []
        self._syncing_messages, self._queued_messages = self._queued_messages, []
        self._syncing_index = last_index
        self._is_snapshot_syncing, self._is_snapshot_queued = self._is_snapshot_queued, False
        return records

    def on_synced(self, last_index: int) -> None:
        """Mark the last records as durable and send the messages that depend on them."""
        # Entries that conflict with a new leader's may have been dropped while the sync ran.
        self.synced_index = min(self._syncing_index, last_index)
        self._is_snapshot_syncing = False
        waiting, self._syncing_messages = self._syncing_messages, []
        for to, message in waiting:
            self._send(to, message)

    def send_later(self, to: str, message: Message) -> None:
        """Send a message after the next sync."""
        self._queued_messages.append((to, message))

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits for a sync, and no message or snapshot for the running one."""
        has_snapshot = self._is_snapshot_queued or self._is_snapshot_syncing
        return not self.records and not self._syncing_messages and not has_snapshot

    def queue_snapshot(self) -> None:
        """Record that the next sync writes a snapshot, which takes the place of all records."""
        self.records = []
        self._is_snapshot_queued = True

    def truncate(self, last_index: int) -> None:
        """Lower the durable index to ``last_index``, since all later entries were dropped."""
        self.synced_index = min(self.synced_index, last_index)
        self._syncing_index = min(self._syncing_index, last_index)

    def reset_synced(self, index: int) -> None:
        """Treat the log up to an index as durable, as after a start."""
        self.synced_index = self._syncing_index = index
