"""Writes this process's ledgers of claimed job ids and replicates them to a backup."""

import threading
from concurrent.futures import Future

from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import (
    AnswerBudget,
    Claim,
    ClaimState,
    IdStatus,
    LedgerLimits,
    Record,
    RecordBatch,
)
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger import Ledger
from kumquatlift.jobs.ledger_frame import Append, AppendReply, AppendStatus, ClaimLocation
from kumquatlift.jobs.repair import Repair
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Member, Members, owner_of
from kumquatlift.transport.channel import Channel, Topic

APPEND_TIMEOUT_S = 1.0
RETRY_S = 1.0
BACKUP_BACKOFF_S = 3.0
"""How long a backup that failed is not chosen, so that the membership view can detect its loss."""
TICKET_GRACE_S = 60.0
"""How long a ledger replaced before it was full still accepts claims, for tickets just issued."""
MAX_BATCH_RECORDS = 2000
MAX_BATCH_BYTES = 1024 * 1024


class LedgerWriter:
    """Opens, replicates, rotates and expires the ledgers of this process.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        clock: Monotonic clock.
        limits: Limits of the ledgers; may be replaced at any time.
        repair: Adds a replica, at another process, of each ledger whose backup is lost.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        members: Members,
        clock: Clock,
        limits: LedgerLimits,
        repair: Repair,
    ) -> None:
        self.limits = limits
        # Whether records that wait for the batch in flight are sent together in the next batch.
        self.group_commit = True
        self._channel = channel
        self._members = members
        self._clock = clock
        self._repair = repair
        self._lock = threading.RLock()
        self._ledgers: dict[LedgerId, Ledger] = {}
        self._current: Ledger | None = None
        self._opening = False
        self._is_leaving = False
        self._next_number = 0
        self._retry_at: dict[LedgerId, float] = {}
        self._close_at: dict[LedgerId, float] = {}
        self._backup_backoff_until: dict[str, float] = {}
        self._claim_futures: dict[ClaimLocation, Future[Claim | None]] = {}
        self._outcome_futures: dict[LedgerId, dict[str, Future[None]]] = {}
        self._answers = AnswerBudget(max_bytes=limits.max_answer_bytes)
        channel.handle(Topic.LEDGER_FENCE, self._on_fence)

    def ticket(self) -> LedgerId | Failure:
        """Return the ledger that accepts new claims.

        Returns:
            The ledger, or a failure when this process is leaving, no backup accepts a ledger, or
            the limit on stored claims is reached.
        """
        self._ensure_ledger()
        with self._lock:
            if self._is_leaving:
                return Failure(ResultCode.LEAVING, "this entry process is shutting down")
            if self._current is None or not self._current.is_open:
                return Failure(ResultCode.OVERLOADED, "no ledger is open", retry_after_ms=200)
            return self._current.id

    def status(self, location: ClaimLocation) -> tuple[IdStatus, Claim | None]:
        """Return what the writer knows about an id, and its claim if there is one."""
        with self._lock:
            ledger = self._ledgers.get(location.ledger)
            if ledger is None:
                return IdStatus.NO_RECORD, None
            return ledger.status(location.key), ledger.claims.get(location.key)

    def find(self, text: str) -> ClaimLocation | None:
        """Return where an adopted id is claimed, if this process adopted it."""
        with self._lock:
            found = (
                ClaimLocation(each.id, text)
                for each in self._ledgers.values()
                if text in each.claims
            )
            return next(found, None)

    def claim(self, location: ClaimLocation, record: Record) -> Future[Claim | None]:
        """Claim an id; a record with an outcome ends the claim at once.

        Returns:
            A future of the claim once it is settled: ``CLAIMED`` (the caller alone may run the
            job), ``ENDED`` or ``UNKNOWN``; or of None when the id was not free.
        """
        fut: Future[Claim | None] = Future()
        with self._lock:
            ledger = self._ledgers.get(location.ledger)
            if ledger is not None and ledger.status(location.key) is IdStatus.FREE:
                ledger.claim(record)
                self._claim_futures[location] = fut
            else:
                ledger = None
        if ledger is None:
            fut.set_result(None)
        else:
            self._send_next_batch(ledger)
        return fut

    def finish(self, location: ClaimLocation, code: ResultCode, answer: bytes) -> Future[None]:
        """Store the outcome of a job and replicate it to the backup.

        Returns:
            A future that completes when the backup has stored the outcome or cannot be reached. In
            the first case the outcome survives the loss of this process.
        """
        fut: Future[None] = Future()
        with self._lock:
            ledger = self._ledgers[location.ledger]
            claim = ledger.finish(location.key, int(code), answer)
            self._answers.track(claim)
            self._outcome_futures.setdefault(ledger.id, {})[location.key] = fut
        self._repair.add(ledger.id, RecordBatch([claim.record(location.key)], False))
        self._send_next_batch(ledger)
        if ledger.is_replica_lost:
            self._complete_outcomes(ledger, complete_all=True)
        return fut

    def leave(self) -> None:
        """Close every ledger and open no more."""
        with self._lock:
            self._is_leaving = True
            ledgers = list(self._ledgers.values())
            for ledger in ledgers:
                ledger.close(self._clock.now())
        for ledger in ledgers:
            self._send_next_batch(ledger)

    @property
    def is_idle(self) -> bool:
        """Whether every outcome is stored by the backup, or else in a repair replica."""
        with self._lock:
            ledgers = list(self._ledgers.values())
        return all(ledger.is_idle or self._repair.is_current(ledger.id) for ledger in ledgers)

    def tick(self) -> None:
        """Rotate and expire ledgers, retry appends, start repairs; call several times a second."""
        self._ensure_ledger()
        now = self._clock.now()
        live = {member.name for member in self._members.live()}
        with self._lock:
            for ledger in list(self._ledgers.values()):
                if ledger.is_expired(now, self.limits):
                    self._remove_ledger(ledger)
                    continue
                if now >= self._close_at.get(ledger.id, now + 1):
                    ledger.close(now)
                if ledger.id.backup and (ledger.has_unknown_batch or ledger.id.backup not in live):
                    self._repair.start(ledger.id, lambda degraded=ledger: self._snapshot(degraded))  # type: ignore[misc]
            waiting = [
                ledger
                for ledger in self._ledgers.values()
                if now >= self._retry_at.get(ledger.id, 0.0)
            ]
        for ledger in waiting:
            self._send_next_batch(ledger)

    def summary(self) -> dict[str, object]:
        """Return counts for the state dump."""
        with self._lock:
            current = self._current
            return {
                "ledger": str(current.id) if current else "",
                "replica": (current.id.backup if current else "") or "none",
                "ledgers": len(self._ledgers),
                "claims": self._claim_count(),
                "answer_bytes": self._answers.used_bytes,
            }

    def _ensure_ledger(self) -> None:
        while True:
            with self._lock:
                backup = self._next_backup()
                if backup is None or self._opening or self._is_leaving:
                    return
                if self._claim_count() >= self.limits.max_total_claims:
                    # No ledger is opened at the limit, so new work is refused until claims expire.
                    if self._current is not None:
                        self._current.close(self._clock.now())
                    return
                self._opening = True
                me = self._members.me
                backup_name = backup.name if backup is not me else ""
                id = LedgerId(me.name, me.incarnation, self._next_number, backup_name)
                self._next_number += 1
            if not backup_name:
                self._add_ledger(id)
                return
            body = Append(str(id), backup.incarnation, RecordBatch([], False)).to_bytes(0.0)
            fut = self._channel.call(
                backup_name, Topic.LEDGER_APPEND, body, timeout_s=APPEND_TIMEOUT_S
            )
            fut.add_done_callback(lambda fut, id=id: self._on_opened(id, fut.result()))  # type: ignore[misc]
            if not fut.done():
                return

    def _next_backup(self) -> Member | None:
        """Choose the backup of the next ledger, preferably in the zone of this process.

        Returns:
            The backup; this process itself for a ledger without a backup; None to open no ledger.
        """
        me, now = self._members.me, self._clock.now()
        others = [member for member in self._members.live() if member.name != me.name]
        usable = [m for m in others if now >= self._backup_backoff_until.get(m.name, 0.0)]
        if not self._needs_ledger(usable):
            return None
        if not usable:
            # Live peers that failed recently are retried before a ledger goes without a backup.
            return None if others else me
        same_zone = [member for member in usable if member.zone == me.zone]
        return owner_of(f"{me.name}/{self._next_number}", same_zone or usable)

    def _needs_ledger(self, usable: list[Member]) -> bool:
        ledger = self._current
        if ledger is None or not ledger.is_open or len(ledger.claims) >= self.limits.max_claims:
            return True
        if self._clock.now() >= ledger.opened_at + self.limits.rotation_s:
            return True
        return bool(usable) and ledger.id.backup not in {member.name for member in usable}

    def _on_opened(self, id: LedgerId, reply: bytes | Failure) -> None:
        if not isinstance(reply, Failure):
            status = AppendReply.from_bytes(reply).status
            reason = "" if status is AppendStatus.TAKEN else status.name.lower()
        else:
            reason = str(reply)
        if reason:
            get_logger().warning("ledger_not_opened", ledger=str(id), reason=reason)
            with self._lock:
                self._backup_backoff_until[id.backup] = self._clock.now() + BACKUP_BACKOFF_S
                self._opening = False
            return
        self._add_ledger(id)

    def _add_ledger(self, id: LedgerId) -> None:
        now = self._clock.now()
        with self._lock:
            self._opening = False
            old, ledger = self._current, Ledger(id=id, opened_at=now)
            self._ledgers[id] = self._current = ledger
            if self._is_leaving:
                ledger.close(now)
            if old is not None:
                is_full = len(old.claims) >= self.limits.max_claims
                self._close_at[old.id] = now if is_full else now + TICKET_GRACE_S
        get_logger().info("ledger_opened", ledger=str(id), replica=id.backup or "none")

    def _send_next_batch(self, ledger: Ledger) -> None:
        limit = MAX_BATCH_RECORDS if self.group_commit else 1
        with self._lock:
            batch = ledger.next_batch(limit, MAX_BATCH_BYTES)
        if batch is None:
            return
        if not ledger.id.backup:
            self._on_appended(ledger, AppendReply(AppendStatus.TAKEN))
            return
        body = Append(str(ledger.id), "", batch).to_bytes(self._clock.now())
        fut = self._channel.call(
            ledger.id.backup, Topic.LEDGER_APPEND, body, timeout_s=APPEND_TIMEOUT_S
        )
        fut.add_done_callback(lambda fut: self._on_appended(ledger, fut.result()))

    def _on_appended(self, ledger: Ledger, reply: "bytes | Failure | AppendReply") -> None:
        now = self._clock.now()
        if isinstance(reply, bytes):
            reply = AppendReply.from_bytes(reply)
        with self._lock:
            if isinstance(reply, Failure):
                keys = ledger.mark_batch_unknown(now)
                self._retry_at[ledger.id] = now + RETRY_S
                self._backup_backoff_until[ledger.id.backup] = now + BACKUP_BACKOFF_S
            elif reply.status is not AppendStatus.TAKEN:
                keys = ledger.mark_replica_lost(now)
            else:
                keys = ledger.acknowledge(reply.refused, reply.fenced, now)
            settled = [
                (ledger.claims[key], fut)
                for key in keys
                if (fut := self._claim_futures.pop(ClaimLocation(ledger.id, key), None)) is not None
            ]
            for claim, _ in settled:
                if claim.state is ClaimState.ENDED:
                    self._answers.track(claim)
        if isinstance(reply, Failure):
            get_logger().warning("append_unknown", ledger=str(ledger.id), reason=reply.reason)
        for claim, fut in settled:
            fut.set_result(claim)
        self._complete_outcomes(
            ledger, complete_all=isinstance(reply, Failure) or ledger.is_replica_lost
        )
        if not isinstance(reply, Failure):
            self._send_next_batch(ledger)
        if not ledger.is_open:
            self._ensure_ledger()

    def _complete_outcomes(self, ledger: Ledger, *, complete_all: bool) -> None:
        """Complete the futures of outcomes that the backup has stored, or all if it is lost."""
        with self._lock:
            waiting = self._outcome_futures.get(ledger.id, {})
            pending = set() if complete_all else ledger.pending_keys
            done = [waiting.pop(key) for key in list(waiting) if key not in pending]
            if not waiting:
                self._outcome_futures.pop(ledger.id, None)
        for fut in done:
            fut.set_result(None)

    def _on_fence(self, sender: str, body: bytes) -> bytes | None:
        id = LedgerId.parse(body.decode())
        with self._lock:
            ledger = None if isinstance(id, Failure) else self._ledgers.get(id)
            if ledger is not None and sender == ledger.id.backup:
                ledger.fence(self._clock.now())
        return None

    def _claim_count(self) -> int:
        return sum(len(ledger.claims) for ledger in self._ledgers.values())

    def _snapshot(self, ledger: Ledger) -> RecordBatch:
        with self._lock:
            return RecordBatch(ledger.records(), ledger.is_sealed)

    def _remove_ledger(self, ledger: Ledger) -> None:
        del self._ledgers[ledger.id]
        self._retry_at.pop(ledger.id, None)
        self._close_at.pop(ledger.id, None)
        self._answers.untrack(set(ledger.claims.values()))
        self._repair.stop(ledger.id)
