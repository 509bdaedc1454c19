"""The writer's ledger and the backup's copy of it, without network or threads."""

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.jobs.claim import Claim, ClaimState, IdStatus, LedgerLimits, Record, RecordBatch
from kumquatlift.jobs.identity import LedgerId


class Ledger:
    """The writer's side of a ledger.

    At most one batch is on its way to the backup; claims that arrive meanwhile wait and travel
    together in the next one.

    Args:
        id: Identity; without a backup, batches are to be acknowledged by the caller at once.
        opened_at: Monotonic seconds.
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
        """Whether new claims are taken."""
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
        """Tell what the writer knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            if self.is_open:
                return IdStatus.FREE
            return IdStatus.CLOSED if self.is_sealed else IdStatus.ASK_BACKUP
        if claim.state is ClaimState.ENDED:
            return IdStatus.ENDED
        return IdStatus.ASK_BACKUP if claim.state is ClaimState.UNKNOWN else IdStatus.PENDING

    def claim(self, record: Record) -> None:
        """Queue the claim of a key that is free; a record with an outcome refuses the id."""
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
        """Take no new claims; the backup is told with the next batch."""
        if self.closed_at is None:
            self.closed_at = now

    def next_batch(self, max_records: int, max_bytes: int) -> RecordBatch | None:
        """Return the next batch, or None when one is on its way or nothing waits."""
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
        """Take the backup's answer to the batch.

        Args:
            refused: Positions of the records that the backup did not take.
            fenced: Whether the backup has fenced the ledger.
            now: Monotonic seconds.

        Returns:
            Keys whose claim is settled now; their state says how.
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
        """Note that the backup has taken the ledger over."""
        self.is_fenced = True
        self.close(now)

    def mark_batch_unknown(self, now: float) -> list[str]:
        """Note that nobody knows whether the batch reached the backup; the ledger closes.

        Outcomes are sent again. A claim of the batch is never run here, so its release, an outcome
        that says "not run", is sent: the backup takes it unless it has adopted the id by then.

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
        """Note that the backup has lost its copy; nothing more is sent to it.

        Returns:
            Keys whose claim is unknown now.
        """
        unknown = self.mark_batch_unknown(now)
        self.is_replica_lost = True
        self._queue.clear()
        return unknown

    def is_expired(self, now: float, limits: LedgerLimits) -> bool:
        """Tell whether the ledger may be forgotten."""
        if self.closed_at is None or now < self.closed_at + limits.retention_s:
            return False
        running = (ClaimState.WAITING, ClaimState.CLAIMED)
        return all(claim.state not in running for claim in self.claims.values())

    def records(self) -> list[Record]:
        """Return the claims that a further replica needs."""
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
    """A replica of a ledger: the backup's, or a repair copy made after a loss.

    Args:
        id: Identity of the ledger.
        is_repair: Whether this is a repair copy. It knows claims, but not which ids are free.
        touched_at: Monotonic seconds of the last change.
    """

    def __init__(self, *, id: LedgerId, is_repair: bool, changed_at: float) -> None:
        self.id = id
        self.is_repair = is_repair
        self.is_fenced = False
        self.is_sealed = False
        self.changed_at = changed_at
        self.claims: dict[str, Claim] = {}

    def append(self, batch: RecordBatch, now: float) -> tuple[frozenset[int], list[Claim]]:
        """Take records of the writer; every record may arrive again or late.

        Returns:
            Positions of the refused records, and the claims that ended.
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
        """Refuse new claims of the writer from now on; return whether that is news."""
        is_new = not self.is_fenced
        self.is_fenced, self.changed_at = True, now
        return is_new

    def status(self, key: str, now: float) -> IdStatus:
        """Tell what the copy knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            # The process that took over may have adopted ids since a repair copy was made.
            if self.is_sealed:
                return IdStatus.CLOSED
            return IdStatus.NO_RECORD if self.is_repair else IdStatus.FREE
        if claim.state is ClaimState.ENDED:
            return IdStatus.ENDED
        if claim.state is ClaimState.ADOPTED:
            return IdStatus.ADOPTED
        return IdStatus.LOST if now >= claim.deadline_at else IdStatus.PENDING

    def adopt(self, key: str, digest: bytes, deadline_at: float) -> None:
        """Take a free id of a fenced ledger away from the writer."""
        assert self.is_fenced and key not in self.claims
        self.claims[key] = Claim(digest, deadline_at, ClaimState.ADOPTED)

    def records(self) -> list[Record]:
        """Return the claims that a further replica needs."""
        return [
            claim.record(key)
            for key, claim in self.claims.items()
            if claim.state is not ClaimState.ADOPTED
        ]

    def is_expired(self, now: float, limits: LedgerLimits) -> bool:
        """Tell whether the copy may be forgotten; a live writer is heard of once a rotation."""
        return now >= self.changed_at + limits.rotation_s + limits.retention_s

    def _apply(self, record: Record, ended: list[Claim]) -> bool:
        claim = self.claims.get(record.key)
        if claim is None:
            # A late outcome that says "not run" is welcome: it only rules the id out.
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
