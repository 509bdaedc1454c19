"""State of a ledger at its writer and in its replicas, without a network."""

from kumquatlift.codes import ResultCode
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
from kumquatlift.jobs.ledger import Ledger, LedgerReplica
from kumquatlift.jobs.ledger_frame import Append

ID = LedgerId("a", "0" * 12, 0, "b")
NONE: frozenset[int] = frozenset()


def record(key: str, code: int = 0) -> Record:
    return Record(key, b"digest", 50.0, code)


def ledger_with_batch(*keys: str) -> tuple[Ledger, RecordBatch]:
    ledger = Ledger(id=ID, opened_at=0.0)
    for key in keys:
        ledger.claim(record(key))
    batch = ledger.next_batch(100, 1000)
    assert batch is not None
    return ledger, batch


def make_replica() -> LedgerReplica:
    return LedgerReplica(id=ID, is_repair=False, changed_at=0.0)


class TestLedger:
    """Guards against a start without an acknowledged claim."""

    def test_queued_claims_are_sent_together_one_batch_at_a_time(self) -> None:
        ledger, batch = ledger_with_batch("k1")
        ledger.claim(record("k2"))
        ledger.claim(record("k3"))
        assert ledger.next_batch(100, 1000) is None
        assert ledger.acknowledge(NONE, False, 1.0) == ["k1"]
        following = ledger.next_batch(100, 1000)
        assert following is not None
        assert [r.key for r in batch.records] == ["k1"]
        assert [r.key for r in following.records] == ["k2", "k3"]

    def test_a_batch_without_answer_leaves_claims_unknown_and_releases_them(self) -> None:
        ledger, _ = ledger_with_batch("k1")
        ledger.claim(record("k2"))
        assert ledger.mark_batch_unknown(1.0) == ["k1", "k2"]
        assert ledger.status("k1") is IdStatus.ASK_BACKUP
        assert not ledger.is_open
        again = ledger.next_batch(100, 1000)
        assert again is not None and again.seal
        assert {r.code for r in again.records} == {int(ResultCode.LEDGER_CLOSED)}
        ledger.acknowledge(frozenset({1}), False, 2.0)
        assert ledger.status("k1") is IdStatus.ENDED
        assert ledger.status("k2") is IdStatus.ASK_BACKUP

    def test_an_unclaimed_id_is_closed_only_after_the_backup_has_the_seal(self) -> None:
        ledger = Ledger(id=ID, opened_at=0.0)
        ledger.close(1.0)
        assert ledger.status("k") is IdStatus.ASK_BACKUP
        assert ledger.next_batch(100, 1000) == RecordBatch([], True)
        ledger.acknowledge(NONE, False, 2.0)
        assert ledger.status("k") is IdStatus.CLOSED

    def test_a_fenced_ledger_is_never_sealed(self) -> None:
        ledger = Ledger(id=ID, opened_at=0.0)
        ledger.close(1.0)
        ledger.next_batch(100, 1000)
        ledger.acknowledge(NONE, True, 2.0)
        assert ledger.status("k") is IdStatus.ASK_BACKUP
        assert ledger.is_idle

    def test_a_closed_ledger_is_kept_for_the_retention_and_while_jobs_run(self) -> None:
        ledger, _ = ledger_with_batch("k")
        ledger.acknowledge(NONE, False, 1.0)
        ledger.close(10.0)
        limits = LedgerLimits(retention_s=100.0)
        assert not ledger.is_expired(109.0, limits)
        assert not ledger.is_expired(111.0, limits)
        ledger.finish("k", int(ResultCode.COMPLETE), b"answer")
        assert ledger.is_expired(111.0, limits)

    def test_a_backup_without_the_replica_is_sent_nothing_more(self) -> None:
        ledger, _ = ledger_with_batch("k")
        assert ledger.mark_replica_lost(1.0) == ["k"]
        assert ledger.next_batch(100, 1000) is None
        assert ledger.is_idle


class TestLedgerReplica:
    """Guards against a claim by the writer after the backup has taken over."""

    def test_a_fence_refuses_claims_and_accepts_outcomes_of_earlier_ones(self) -> None:
        replica = make_replica()
        replica.append(RecordBatch([record("k1")], False), 1.0)
        replica.fence(2.0)
        late = RecordBatch([record("k2"), record("k1", int(ResultCode.COMPLETE))], False)
        refused, ended = replica.append(late, 3.0)
        assert refused == {0}
        assert [claim.code for claim in ended] == [ResultCode.COMPLETE]
        assert replica.status("k2", 3.0) is IdStatus.FREE

    def test_a_release_of_an_adopted_id_is_refused(self) -> None:
        replica = make_replica()
        replica.fence(1.0)
        replica.adopt("k", b"digest", 50.0)
        release = RecordBatch([record("k", int(ResultCode.LEDGER_CLOSED))], False)
        assert replica.append(release, 2.0)[0] == {0}

    def test_a_claim_that_arrives_after_its_release_stays_not_run(self) -> None:
        replica = make_replica()
        replica.append(RecordBatch([record("k", int(ResultCode.LEDGER_CLOSED))], False), 1.0)
        replica.append(RecordBatch([record("k")], False), 2.0)
        assert replica.status("k", 3.0) is IdStatus.ENDED

    def test_a_claim_without_outcome_is_lost_only_after_its_deadline(self) -> None:
        replica = make_replica()
        replica.append(RecordBatch([record("k")], False), 1.0)
        assert replica.status("k", 49.0) is IdStatus.PENDING
        assert replica.status("k", 50.0) is IdStatus.LOST

    def test_a_seal_after_the_fence_is_ignored(self) -> None:
        replica = make_replica()
        replica.fence(1.0)
        replica.append(RecordBatch([], True), 2.0)
        assert replica.status("k", 3.0) is IdStatus.FREE

    def test_a_repair_replica_never_reports_an_id_as_free(self) -> None:
        replica = LedgerReplica(id=ID, is_repair=True, changed_at=0.0)
        assert replica.status("k", 1.0) is IdStatus.NO_RECORD


class TestAnswerBudget:
    """Guards against unbounded memory for answers."""

    def test_the_oldest_answers_are_dropped_at_the_limit(self) -> None:
        budget, claims = AnswerBudget(max_bytes=10), []
        for _ in range(3):
            claims.append(Claim(b"", 0.0, ClaimState.CLAIMED))
            claims[-1].end(int(ResultCode.COMPLETE), b"12345")
            budget.track(claims[-1])
        assert [claim.answer for claim in claims] == [None, b"12345", b"12345"]
        assert [claim.code for claim in claims] == [ResultCode.COMPLETE] * 3
        assert budget.used_bytes == 10


class TestAppend:
    """Guards against deadlines that depend on the difference of two processes' clocks."""

    def test_deadlines_are_sent_as_remaining_time(self) -> None:
        frame = Append(str(ID), "", RecordBatch([record("k", 1000)._replace(answer=b"x")], True))
        read = Append.from_bytes(frame.to_bytes(now=40.0), now=1000.0)
        sent = frame.batch.records[0]._replace(deadline_at=1010.0)
        assert read.batch == RecordBatch([sent], True)
