"""Repair: adds a replica of each ledger that has lost its writer or its backup."""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from kumquatlift.clock import Clock
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import Record, RecordBatch
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger_frame import Append, AppendReply, AppendStatus
from kumquatlift.membership.members import Members, owner_of
from kumquatlift.transport.channel import Channel, Topic

RETRY_S = 2.0
MAX_BATCH_RECORDS = 2000
MAX_BATCH_BYTES = 1024 * 1024


class Repair:
    """Keeps one more replica of each ledger under repair, at an entry process without one.

    A repair replica answers for claimed ids after a second loss. It never allows a new claim.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        clock: Monotonic clock.
    """

    def __init__(self, *, channel: Channel, members: Members, clock: Clock) -> None:
        self._channel = channel
        self._members = members
        self._clock = clock
        self._lock = threading.Lock()
        self._tasks: dict[LedgerId, _RepairTask] = {}

    def start(self, ledger: LedgerId, snapshot: Callable[[], RecordBatch]) -> None:
        """Start to replicate a ledger, unless its repair has been started already."""
        with self._lock:
            self._tasks.setdefault(ledger, _RepairTask(ledger, snapshot))

    def add(self, ledger: LedgerId, batch: RecordBatch) -> None:
        """Forward a change of a ledger that is under repair; other ledgers are ignored."""
        with self._lock:
            task = self._tasks.get(ledger)
            if task is None or not task.target:
                return
            task.queue.extend(batch.records)
            task.seal = task.seal or batch.seal
        self._send_next_batch(task)

    def stop(self, ledger: LedgerId) -> None:
        """Stop the repair of a ledger that has expired."""
        with self._lock:
            self._tasks.pop(ledger, None)

    def tick(self) -> None:
        """Choose targets for ledgers without a live target, and send queued records."""
        now = self._clock.now()
        with self._lock:
            tasks = list(self._tasks.values())
        live = {member.name for member in self._members.live()}
        for task in tasks:
            if task.target not in live and now >= task.retry_at:
                self._choose_target(task)
            self._send_next_batch(task)

    def is_current(self, ledger: LedgerId) -> bool:
        """Return whether a ledger's repair replica has every record that is known here."""
        with self._lock:
            task = self._tasks.get(ledger)
            if task is None or not task.target or not task.has_snapshot:
                return False
            return not (task.queue or task.seal or task.in_flight)

    def targets(self) -> dict[str, str]:
        """Return the process that holds the repair replica of each ledger."""
        with self._lock:
            return {str(ledger): task.target for ledger, task in self._tasks.items()}

    def _choose_target(self, task: "_RepairTask") -> None:
        involved = {self._members.me.name, task.ledger.writer, task.ledger.backup}
        candidates = [m for m in self._members.live() if m.name not in involved]
        same_zone = [m for m in candidates if m.zone == self._members.me.zone]
        target = owner_of(str(task.ledger), same_zone or candidates)
        if target is None:
            return
        with self._lock:
            # The target is set first, so that ``add`` queues changes made after the snapshot.
            task.target, task.queue = target.name, []
        batch = task.snapshot()
        with self._lock:
            task.queue, task.seal = [*batch.records, *task.queue], task.seal or batch.seal
            task.has_snapshot = True

    def _send_next_batch(self, task: "_RepairTask") -> None:
        with self._lock:
            if task.in_flight or not task.target or not (task.queue or task.seal):
                return
            batch = task.next_batch()
            task.in_flight = True
            target = task.target
        body = Append(str(task.ledger), "", batch).to_bytes(self._clock.now())
        fut = self._channel.call(target, Topic.LEDGER_COPY, body, timeout_s=RETRY_S)
        fut.add_done_callback(lambda fut: self._on_reply(task, target, fut))

    def _on_reply(self, task: "_RepairTask", target: str, fut: Future[bytes | Failure]) -> None:
        reply = fut.result()
        accepted = (
            not isinstance(reply, Failure)
            and AppendReply.from_bytes(reply).status is AppendStatus.TAKEN
        )
        with self._lock:
            task.in_flight = False
            if not accepted and task.target == target:
                task.target, task.has_snapshot = "", False
                task.retry_at = self._clock.now() + RETRY_S
        self._send_next_batch(task)


class _RepairTask:
    """Progress of one ledger's repair replica."""

    def __init__(self, ledger: LedgerId, snapshot: Callable[[], RecordBatch]) -> None:
        self.ledger = ledger
        self.snapshot = snapshot
        self.target = ""
        self.retry_at = 0.0
        self.in_flight = False
        self.has_snapshot = False
        self.queue: list[Record] = []
        self.seal = False

    def next_batch(self) -> RecordBatch:
        """Remove the next batch from the queue."""
        count, size = 0, 0
        for record in self.queue[:MAX_BATCH_RECORDS]:
            size += len(record.answer)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        records, self.queue = self.queue[:count], self.queue[count:]
        seal = self.seal and not self.queue
        self.seal = self.seal and not seal
        return RecordBatch(records, seal)
