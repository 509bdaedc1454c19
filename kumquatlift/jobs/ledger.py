"""State of a ledger at its writer and in its replicas, without network or threads."""

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.jobs.claim import Claim, ClaimState, IdStatus, LedgerLimits, Record, RecordBatch
from kumquatlift.jobs.identity import LedgerId


class Ledger:
    """The writer's state of a ledger.

    At most one batch is in flight to the backup; claims that arrive meanwhile are queued and sent
    together in the next one. A closed ledger accepts no new claims. It is sealed once the backup
    knows that it is closed, and fenced if the backup has taken it over from this writer.

    Args:
        id: Identity of the ledger; if it names no backup, the caller acknowledges batches at once.
        opened_at: Monotonic seconds.

    Attributes:
        closed_at: When the ledger was closed, in monotonic seconds; None while it is open.
        has_unknown_batch: Whether the backup may lack records, because a batch was not answered or
            not accepted.
        is_replica_lost: Whether the backup has lost its replica.
    """

    def __init__(self, *, id: LedgerId, opened_at: float) -> None:
        self.id = id
        self.opened_at = opened_at
        self.closed_at: float | None = None
        self.is_fenced = False
        self.has_unknown_batch = False
        self.is_replica_lost = False
        self.is_sealed = False
        self.claims: dict[str, Claim] = {}
        self._queue: list[Record] = []
        self._batch: RecordBatch | None = None

    @property
    def is_open(self) -> bool:
        """Whether new claims are accepted."""
        return self.closed_at is None

    @property
    def is_idle(self) -> bool:
        """Whether the backup has acknowledged everything."""
        sealed = self.is_open or self.is_sealed or self.is_fenced
        return self.is_replica_lost or (not self._queue and self._batch is None and sealed)

    @property
    def pending_keys(self) -> set[str]:
        """Keys with a record that the backup has not acknowledged."""
        in_flight = self._batch.records if self._batch is not None else []
        return {record.key for record in (*in_flight, *self._queue)}

    def status(self, key: str) -> IdStatus:
        """Return what the writer knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            if self.is_open:
                return IdStatus.FREE
            return IdStatus.CLOSED if self.is_sealed else IdStatus.ASK_BACKUP
        if claim.state is ClaimState.ENDED:
            return IdStatus.ENDED
        return IdStatus.ASK_BACKUP if claim.state is ClaimState.UNKNOWN else IdStatus.PENDING

    def claim(self, record: Record) -> None:
        """Queue the claim of a free key; a record with an outcome claims it only to refuse it."""
        claim = Claim(record.digest, record.deadline_at, ClaimState.WAITING)
        self.claims[record.key] = claim
        self._queue.append(record)

    def finish(self, key: str, code: int, answer: bytes) -> Claim:
        """Store the outcome of an acknowledged claim and queue it for the backup."""
        claim = self.claims[key]
        claim.end(code, answer)
        self._queue.append(claim.record(key))
        return claim

    def close(self, now: float) -> None:
        """Accept no new claims; the last batch seals the replica at the backup."""
        if self.closed_at is None:
            self.closed_at = now

    def next_batch(self, max_records: int, max_bytes: int) -> RecordBatch | None:
        """Return the next batch, or None when one is in flight or nothing is queued."""
        seal = not (self.is_open or self.is_sealed or self.is_fenced)
        if self.is_replica_lost or self._batch is not None or not (self._queue or seal):
            return None
        count, size = 0, 0
        for record in self._queue[:max_records]:
            size += len(record.answer)
            if count and size > max_bytes:
                break
            count += 1
        records, self._queue = self._queue[:count], self._queue[count:]
        self._batch = RecordBatch(records, seal and not self._queue)
        return self._batch

    def acknowledge(self, refused: frozenset[int], fenced: bool, now: float) -> list[str]:
        """Apply the backup's answer to the batch.

        Args:
            refused: Positions of the records that the backup refused.
            fenced: Whether the backup has fenced the ledger.
            now: Monotonic seconds.

        Returns:
            Keys whose claim is settled now; the outcome is in the state of the claim.
        """
        batch, self._batch = self._batch, None
        assert batch is not None
        settled = [
            record.key
            for index, record in enumerate(batch.records)
            if self._settle(record, accepted=index not in refused)
        ]
        if fenced:
            self.fence(now)
        elif batch.seal:
            self.is_sealed = True
        return settled

    def fence(self, now: float) -> None:
        """Record that the backup has taken the ledger over."""
        self.is_fenced = True
        self.close(now)

    def mark_batch_unknown(self, now: float) -> list[str]:
        """Record that the batch may or may not have reached the backup; the ledger closes.

        Outcomes are sent again. Jobs whose claim is unacknowledged are never run here, so each of
        these claims is released with an outcome that says "not run". The backup accepts the release
        unless it has adopted the id by then.

        Returns:
            Keys whose claim is unknown now.
        """
        batch, self._batch = self._batch, None
        assert batch is not None
        self.has_unknown_batch = True
        self.close(now)
        unknown, resent = [], []
        for record in [*batch.records, *self._queue]:
            claim = self.claims[record.key]
            if claim.state is ClaimState.WAITING:
                claim.state = ClaimState.UNKNOWN
                unknown.append(record.key)
                resent.append(record._replace(code=int(ResultCode.LEDGER_CLOSED), answer=b""))
            else:
                resent.append(record)
        self._queue = resent
        return unknown

    def mark_replica_lost(self, now: float) -> list[str]:
        """Record that the backup has lost its replica; nothing more is sent to it.

        Returns:
            Keys whose claim is unknown now.
        """
        unknown = self.mark_batch_unknown(now)
        self.is_replica_lost = True
        self._queue.clear()
        return unknown

    def is_expired(self, now: float, limits: LedgerLimits) -> bool:
        """Return whether the ledger may be dropped."""
        if self.closed_at is None or now < self.closed_at + limits.retention_s:
            return False
        running = (ClaimState.WAITING, ClaimState.CLAIMED)
        return all(claim.state not in running for claim in self.claims.values())

    def records(self) -> list[Record]:
        """Return the records that a repair replica starts with."""
        unsettled = (ClaimState.WAITING, ClaimState.UNKNOWN)
        return [c.record(key) for key, c in self.claims.items() if c.state not in unsettled]

    def _settle(self, record: Record, *, accepted: bool) -> bool:
        claim = self.claims[record.key]
        if claim.state is ClaimState.WAITING:
            if not accepted:
                claim.state = ClaimState.UNKNOWN
            elif record.code:
                claim.end(record.code, record.answer)
            else:
                claim.state = ClaimState.CLAIMED
            return True
        if claim.state is ClaimState.UNKNOWN and accepted and record.code:
            claim.end(record.code, record.answer)
        return False


class LedgerReplica:
    """A replica of a ledger: the backup's, or a repair replica that was added after a loss.

    Args:
        id: Identity of the ledger.
        is_repair: Whether this is a repair replica. It knows claims, but not which ids are free.
        changed_at: Monotonic seconds of the last change.
    """

    def __init__(self, *, id: LedgerId, is_repair: bool, changed_at: float) -> None:
        self.id = id
        self.is_repair = is_repair
        self.is_fenced = False
        self.is_sealed = False
        self.changed_at = changed_at
        self.claims: dict[str, Claim] = {}

    def append(self, batch: RecordBatch, now: float) -> tuple[frozenset[int], list[Claim]]:
        """Apply records of the writer; each may arrive late or more than once.

        Returns:
            Positions of the refused records, and the claims that have ended with this batch.
        """
        self.changed_at = now
        refused: set[int] = set()
        ended: list[Claim] = []
        for index, record in enumerate(batch.records):
            if not self._apply(record, ended):
                refused.add(index)
        if batch.seal and not self.is_fenced:
            self.is_sealed = True
        return frozenset(refused), ended

    def fence(self, now: float) -> bool:
        """Refuse new claims of the writer; return whether the ledger was not fenced before."""
        is_new = not self.is_fenced
        self.is_fenced, self.changed_at = True, now
        return is_new

    def status(self, key: str, now: float) -> IdStatus:
        """Return what the replica knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            # A repair replica doesn't learn of ids that the process that took over has adopted.
            if self.is_sealed:
                return IdStatus.CLOSED
            return IdStatus.NO_RECORD if self.is_repair else IdStatus.FREE
        if claim.state is ClaimState.ENDED:
            return IdStatus.ENDED
        if claim.state is ClaimState.ADOPTED:
            return IdStatus.ADOPTED
        return IdStatus.LOST if now >= claim.deadline_at else IdStatus.PENDING

    def adopt(self, key: str, digest: bytes, deadline_at: float) -> None:
        """Reserve a free id of a fenced ledger for this process instead of the writer."""
        assert self.is_fenced and key not in self.claims
        self.claims[key] = Claim(digest, deadline_at, ClaimState.ADOPTED)

    def records(self) -> list[Record]:
        """Return the records that a repair replica starts with."""
        return [
            claim.record(key)
            for key, claim in self.claims.items()
            if claim.state is not ClaimState.ADOPTED
        ]

    def is_expired(self, now: float, limits: LedgerLimits) -> bool:
        """Return whether the replica may be dropped; a live writer appends once per rotation."""
        return now >= self.changed_at + limits.rotation_s + limits.retention_s

    def _apply(self, record: Record, ended: list[Claim]) -> bool:
        claim = self.claims.get(record.key)
        if claim is None:
            # A late outcome that says "not run" is accepted: it only keeps the id from running.
            not_run = record.code and ResultCode(record.code).ran is Ran.NO
            if (self.is_fenced or self.is_sealed) and not not_run:
                return False
            claim = Claim(record.digest, record.deadline_at, ClaimState.CLAIMED)
            self.claims[record.key] = claim
        if claim.state is ClaimState.ADOPTED:
            return False
        if record.code and claim.state is not ClaimState.ENDED:
            claim.end(record.code, record.answer)
            ended.append(claim)
        return True
