"""The writer's ledger and the backup's copy of it, without network or threads."""

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.jobs.claim import Batch, Claim, ClaimState, LedgerLimits, Record, Standing
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
        self.is_broken = False
        self.is_orphaned = False
        self.is_sealed = False
        self.claims: dict[str, Claim] = {}
        self._queue: list[Record] = []
        self._batch: Batch | None = None

    @property
    def is_open(self) -> bool:
        """Whether new claims are taken."""
        return self.closed_at is None

    @property
    def is_idle(self) -> bool:
        """Whether the backup has acknowledged everything."""
        sealed = self.is_open or self.is_sealed or self.is_fenced
        return self.is_orphaned or (not self._queue and self._batch is None and sealed)

    @property
    def pending_keys(self) -> set[str]:
        """Keys with a record that the backup has not acknowledged."""
        in_flight = self._batch.records if self._batch is not None else []
        return {record.key for record in (*in_flight, *self._queue)}

    def standing(self, key: str) -> Standing:
        """Tell what the writer knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            if self.is_open:
                return Standing.FREE
            return Standing.CLOSED if self.is_sealed else Standing.ASK_BACKUP
        if claim.state is ClaimState.ENDED:
            return Standing.ENDED
        return Standing.ASK_BACKUP if claim.state is ClaimState.UNKNOWN else Standing.PENDING

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

    def take_batch(self, max_records: int, max_bytes: int) -> Batch | None:
        """Return the next batch, or None when one is on its way or nothing waits."""
        seal = not (self.is_open or self.is_sealed or self.is_fenced)
        if self.is_orphaned or self._batch is not None or not (self._queue or seal):
            return None
        count, size = 0, 0
        for record in self._queue[:max_records]:
            size += len(record.answer)
            if count and size > max_bytes:
                break
            count += 1
        records, self._queue = self._queue[:count], self._queue[count:]
        self._batch = Batch(records, seal and not self._queue)
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

    def lose_batch(self, now: float) -> list[str]:
        """Note that nobody knows whether the batch reached the backup; the ledger closes.

        Outcomes are sent again. A claim of the batch is never run here, so its release, an outcome
        that says "not run", is sent: the backup takes it unless it has adopted the id by then.

        Returns:
            Keys whose claim is unknown now.
        """
        batch, self._batch = self._batch, None
        assert batch is not None
        self.is_broken = True
        self.close(now)
        unknown, again = [], []
        for record in [*batch.records, *self._queue]:
            claim = self.claims[record.key]
            if claim.state is ClaimState.WAITING:
                claim.state = ClaimState.UNKNOWN
                unknown.append(record.key)
                again.append(record._replace(code=int(ResultCode.LEDGER_CLOSED), answer=b""))
            else:
                again.append(record)
        self._queue = again
        return unknown

    def orphan(self, now: float) -> list[str]:
        """Note that the backup has lost its copy; nothing more is sent to it.

        Returns:
            Keys whose claim is unknown now.
        """
        unknown = self.lose_batch(now)
        self.is_orphaned = True
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


class LedgerCopy:
    """A replica of a ledger: the backup's, or a repair copy made after a loss.

    Args:
        id: Identity of the ledger.
        is_repair: Whether this is a repair copy. It knows claims, but not which ids are free.
        touched_at: Monotonic seconds of the last change.
    """

    def __init__(self, *, id: LedgerId, is_repair: bool, touched_at: float) -> None:
        self.id = id
        self.is_repair = is_repair
        self.is_fenced = False
        self.is_sealed = False
        self.touched_at = touched_at
        self.claims: dict[str, Claim] = {}

    def append(self, batch: Batch, now: float) -> tuple[frozenset[int], list[Claim]]:
        """Take records of the writer; every record may arrive again or late.

        Returns:
            Positions of the refused records, and the claims that ended.
        """
        self.touched_at = now
        refused: set[int] = set()
        ended: list[Claim] = []
        for index, record in enumerate(batch.records):
            if not self._take(record, ended):
                refused.add(index)
        if batch.seal and not self.is_fenced:
            self.is_sealed = True
        return frozenset(refused), ended

    def fence(self, now: float) -> bool:
        """Refuse new claims of the writer from now on; return whether that is news."""
        news = not self.is_fenced
        self.is_fenced, self.touched_at = True, now
        return news

    def standing(self, key: str, now: float) -> Standing:
        """Tell what the copy knows about a key."""
        claim = self.claims.get(key)
        if claim is None:
            # The process that took over may have adopted ids since a repair copy was made.
            if self.is_sealed:
                return Standing.CLOSED
            return Standing.NO_RECORD if self.is_repair else Standing.FREE
        if claim.state is ClaimState.ENDED:
            return Standing.ENDED
        if claim.state is ClaimState.ADOPTED:
            return Standing.ADOPTED
        return Standing.LOST if now >= claim.deadline_at else Standing.PENDING

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
        return now >= self.touched_at + limits.rotation_s + limits.retention_s

    def _take(self, record: Record, ended: list[Claim]) -> bool:
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
