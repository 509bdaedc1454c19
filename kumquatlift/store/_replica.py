"""Connects the Raft protocol to the journal, the channel and the event loop."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from kumquatlift.clock import seconds_since_boot
from kumquatlift.histogram import Histogram
from kumquatlift.log import get_logger
from kumquatlift.store._event_loop import EventLoop
from kumquatlift.store._journal import RETRY_S, Journal, Snapshot
from kumquatlift.store._messages import Message
from kumquatlift.store._raft import Raft, StateMachine, UnreadableStateError
from kumquatlift.transport.channel import Channel, Topic

# Interval between calls of ``Raft.tick``, which sends heartbeats and checks timeouts.
TICK_S = 0.04


class Replica:
    """One replica of the log.

    Only ``start`` and the channel's handler may be called outside the loop's thread.

    Args:
        name: Name of this process on the channel.
        channel: Messages to other processes.
        loop: The process's event loop.
        journal: Journal of this replica.
        machine: State machine.
        initial_voters: Voters that form the log for the first time; empty at every later start.
        contacts: Names of replicas to ask when this one has no state.
        started_at: Reading of ``seconds_since_boot`` at the start of the process.
        sync_ms: Histogram of the duration of each write to the journal, in milliseconds.
        target_voters: Number of voters wanted.
        max_journal_bytes: A longer journal is compacted into a snapshot.
    """

    def __init__(
        self,
        *,
        name: str,
        channel: Channel,
        loop: EventLoop,
        journal: Journal,
        machine: StateMachine,
        initial_voters: tuple[str, ...],
        contacts: tuple[str, ...],
        started_at: float,
        sync_ms: Histogram,
        target_voters: int,
        max_journal_bytes: int,
    ) -> None:
        self._channel = channel
        self._loop = loop
        self._journal = journal
        self._contacts = contacts
        self._sync_ms = sync_ms
        self._target_voters = target_voters
        self._max_journal_bytes = max_journal_bytes
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._is_writing = False
        self._unsaved_snapshot: tuple[Snapshot, list[bytes]] | None = None
        new_raft = partial(
            Raft,
            name=name,
            initial_voters=initial_voters,
            machine=machine,
            send=self._send,
            now=seconds_since_boot,
            started_at=started_at,
        )
        try:
            self.raft = new_raft(recovered=journal.recovered)
        except UnreadableStateError as exc:
            journal.set_aside(f"{exc}: {exc.__cause__!r}")
            self.raft = new_raft(recovered=journal.recovered)
        channel.handle_inline(Topic.LOG, self._on_message)

    def start(self) -> None:
        """Start the timers of the replica."""
        self._loop.call_every(TICK_S, self._tick)
        self._loop.after_batch(self.flush)

    def propose(self, data: bytes) -> int | None:
        """Append a command; return its index, or None when this replica is not the leader."""
        return self.raft.propose(data)

    def flush(self) -> None:
        """Replicate, apply and write the results of the last batch of events."""
        self.raft.flush()
        if not self._is_writing:
            self._write()

    def _write(self) -> None:
        snapshot, self._unsaved_snapshot = self._unsaved_snapshot, None
        is_long = self._journal.size > self._max_journal_bytes
        if snapshot is None and is_long and self.raft.last_applied > 0:
            snapshot = self.raft.compact()
        records = self.raft.take_records()
        if snapshot is not None:
            self._submit(lambda: self._journal.save_snapshot(snapshot[0], snapshot[1] + records))
        elif records:
            self._submit(lambda: self._journal.append(records))

    def _submit(self, write: Callable[[], None]) -> None:
        self._is_writing = True
        self._executor.submit(self._write_with_retry, write)

    def _write_with_retry(self, write: Callable[[], None]) -> None:
        started_at = time.monotonic()
        while True:
            try:
                write()
                break
            except OSError as exc:
                get_logger().error("disk_refused", error=repr(exc), retry_s=RETRY_S)
                time.sleep(RETRY_S)
        self._sync_ms.record((time.monotonic() - started_at) * 1000)
        self._loop.post(self._on_written)

    def _on_written(self) -> None:
        self._is_writing = False
        self.raft.synced()

    def _tick(self) -> None:
        self.raft.tick(contacts=self._contacts, target_voters=self._target_voters)

    def _send(self, to: str, message: Message) -> None:
        self._channel.send(to, Topic.LOG, message.to_bytes())

    def _on_message(self, sender: str, body: bytes) -> None:
        try:
            message = Message.from_bytes(body)
        except (ValueError, KeyError, TypeError) as exc:
            get_logger().warning("log_message_malformed", peer=sender, error=repr(exc))
            return
        self._loop.post(self._receive, sender, message)

    def _receive(self, sender: str, message: Message) -> None:
        snapshot = self.raft.receive(sender, message)
        if snapshot is not None:
            self._unsaved_snapshot = (snapshot, self.raft.all_records())
