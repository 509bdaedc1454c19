"""Records that are not on the disk yet, and messages that promise something about them."""

from collections.abc import Callable

from kumquatlift.store._messages import Message


class PendingSync:
    """Records for the next sync of the journal, and what becomes true with a sync.

    Args:
        send: Sends a message to a replica.
    """

    def __init__(self, *, send: Callable[[str, Message], None]) -> None:
        self._send = send
        self.records: list[bytes] = []
        # Messages that wait for the next sync, and for the one that is running.
        self._queued_messages: list[tuple[str, Message]] = []
        self._syncing_messages: list[tuple[str, Message]] = []
        self._syncing_index = 0
        # Index of the last entry that is on the disk.
        self.synced_index = 0

    def start_sync(self, last_index: int) -> list[bytes]:
        """Return what must be written before ``on_synced`` is called; empty when nothing waits."""
        records, self.records = self.records, []
        self._syncing_messages, self._queued_messages = self._queued_messages, []
        self._syncing_index = last_index
        return records

    def on_synced(self, last_index: int) -> None:
        """Take note that the records taken last are durable, and send what waited for them."""
        # A conflicting leader may have cut the log while the sync ran.
        self.synced_index = min(self._syncing_index, last_index)
        waiting, self._syncing_messages = self._syncing_messages, []
        for to, message in waiting:
            self._send(to, message)

    def send_later(self, to: str, message: Message) -> None:
        """Send a message with the next sync."""
        self._queued_messages.append((to, message))

    @property
    def is_empty(self) -> bool:
        """Whether no record and no message waits for a sync."""
        return not self.records and not self._syncing_messages

    def truncate(self, last_index: int) -> None:
        """Take note that the log was cut after an entry."""
        self.synced_index = min(self.synced_index, last_index)
        self._syncing_index = min(self._syncing_index, last_index)

    def reset_synced(self, index: int) -> None:
        """Take note that the log up to an index is on the disk, as after a start or a snapshot."""
        self.synced_index = self._syncing_index = index
