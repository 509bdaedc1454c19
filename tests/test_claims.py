"""Replication of claims between entry processes on a network without delay."""

from kumquatlift.clock import ManualClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import ClaimState, IdStatus, LedgerLimits, Record
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger_frame import ClaimLocation
from kumquatlift.jobs.ledger_replicas import LedgerReplicas
from kumquatlift.jobs.ledger_writer import TICKET_GRACE_S, LedgerWriter
from kumquatlift.jobs.repair import Repair
from kumquatlift.membership.members import Member
from tests.fakes import FakeMembers, FakeNetwork, member

LIMITS = LedgerLimits(rotation_s=600.0, max_claims=3, retention_s=3600.0, max_total_claims=7)


class Process:
    """The ledger writer, replicas and repair of one entry process."""

    def __init__(self, network: FakeNetwork, me: Member, clock: ManualClock) -> None:
        channel = network.channel(me.name)
        self.members = FakeMembers(me=me, others=[])
        self.repair = Repair(channel=channel, members=self.members, clock=clock)
        self.writer = LedgerWriter(
            channel=channel, members=self.members, clock=clock, limits=LIMITS, repair=self.repair
        )
        self.replicas = LedgerReplicas(
            channel=channel, members=self.members, clock=clock, limits=LIMITS, repair=self.repair
        )

    def ledger(self) -> LedgerId:
        ledger = self.writer.ticket()
        assert isinstance(ledger, LedgerId)
        return ledger

    def claim(self, ledger: LedgerId, key: str) -> ClaimState | None:
        fut = self.writer.claim(ClaimLocation(ledger, key), Record(key, b"digest", 1e6))
        claim = fut.result(timeout=0)
        return claim.state if claim is not None else None

    def tick(self) -> None:
        self.writer.tick()
        self.replicas.tick()
        self.repair.tick()


class TestClaims:
    """Guards against a start without a claim at the backup, and against unbounded memory."""

    def setup_method(self) -> None:
        self.clock = ManualClock(start=10.0)
        self.network = FakeNetwork()
        self.processes: dict[str, Process] = {}
        self.start("a", "b")

    def start(self, *names: str, zone: str = "z1") -> None:
        for name in names:
            self.processes[name] = Process(self.network, member(name, zone), self.clock)
        own_members = [process.members.me for process in self.processes.values()]
        for process in self.processes.values():
            process.members.others = [m for m in own_members if m != process.members.me]

    def stop(self, name: str) -> None:
        del self.network.channels[name]
        stopped = self.processes.pop(name).members.me
        for process in self.processes.values():
            process.members.others.remove(stopped)

    def test_a_claim_is_stored_by_the_backup_before_the_job_may_run(self) -> None:
        a, b = self.processes["a"], self.processes["b"]
        ledger = a.ledger()
        assert ledger.backup == "b"
        assert a.claim(ledger, "k") is ClaimState.CLAIMED
        assert b.replicas.status(ClaimLocation(ledger, "k"))[0] is IdStatus.PENDING
        a.writer.finish(ClaimLocation(ledger, "k"), ResultCode.COMPLETE, b"answer")
        assert b.replicas.status(ClaimLocation(ledger, "k"))[0] is IdStatus.ENDED

    def test_an_unanswered_append_closes_the_ledger_and_is_released_later(self) -> None:
        a = self.processes["a"]
        self.start("c")
        ledger = a.ledger()
        self.network.lost = lambda sender, receiver: sender == ledger.backup
        assert a.claim(ledger, "k") is ClaimState.UNKNOWN
        assert a.ledger().backup not in ("", ledger.backup)
        self.network.lost = lambda sender, receiver: False
        self.clock.advance(2.0)
        a.tick()
        assert a.writer.status(ClaimLocation(ledger, "k"))[0] is IdStatus.ENDED
        assert a.writer.status(ClaimLocation(ledger, "other"))[0] is IdStatus.CLOSED

    def test_a_fence_keeps_the_writer_from_claiming(self) -> None:
        a, b = self.processes["a"], self.processes["b"]
        ledger = a.ledger()
        location = ClaimLocation(ledger, "k")
        assert b.replicas.take_over(location, b"digest", 1e6, adopt=True)[0] is IdStatus.FREE
        assert a.claim(ledger, "k") is ClaimState.UNKNOWN
        assert a.writer.status(location)[0] is IdStatus.ASK_BACKUP
        assert a.ledger() != ledger

    def test_the_writer_is_notified_of_a_fence(self) -> None:
        a, b = self.processes["a"], self.processes["b"]
        ledger = a.ledger()
        b.replicas.take_over(ClaimLocation(ledger, "k"), b"", 1e6, adopt=False)
        b.tick()
        assert a.writer.status(ClaimLocation(ledger, "x"))[0] is IdStatus.ASK_BACKUP

    def test_a_restarted_backup_does_not_count_as_a_replica(self) -> None:
        a = self.processes["a"]
        ledger = a.ledger()
        a.claim(ledger, "k")
        restarted = member("b", "z1")._replace(incarnation="1" * 12)
        self.processes["b"] = Process(self.network, restarted, self.clock)
        assert a.claim(ledger, "k2") is ClaimState.UNKNOWN
        location = ClaimLocation(ledger, "k")
        assert self.processes["b"].replicas.status(location)[0] is IdStatus.NO_RECORD

    def test_a_delayed_opening_message_for_a_previous_incarnation_is_refused(self) -> None:
        restarted = member("b", "z1")._replace(incarnation="1" * 12)
        self.processes["b"] = Process(self.network, restarted, self.clock)
        ledger = self.processes["a"].writer.ticket()
        assert isinstance(ledger, Failure) and ledger.code is ResultCode.OVERLOADED

    def test_a_backup_in_the_same_zone_is_preferred(self) -> None:
        self.stop("b")
        self.start("c", "d", "e", zone="z2")
        self.start("f")
        assert self.processes["a"].ledger().backup == "f"

    def test_without_a_peer_in_the_zone_the_backup_is_in_another_zone(self) -> None:
        self.stop("b")
        self.start("c", zone="z2")
        assert self.processes["a"].ledger().backup == "c"

    def test_a_process_without_peers_opens_a_ledger_without_a_replica(self) -> None:
        self.stop("b")
        a = self.processes["a"]
        ledger = a.ledger()
        assert ledger.backup == "" and a.writer.summary()["replica"] == "none"
        assert a.claim(ledger, "k") is ClaimState.CLAIMED

    def test_a_full_ledger_is_replaced_and_tickets_are_refused_at_the_limit(self) -> None:
        a = self.processes["a"]
        ledgers = set()
        for index in range(9):
            ledger = a.ledger()
            ledgers.add(ledger)
            a.claim(ledger, f"k{index}")
            a.writer.finish(ClaimLocation(ledger, f"k{index}"), ResultCode.COMPLETE, b"")
            a.tick()
        assert len(ledgers) == 3
        refused = a.writer.ticket()
        assert isinstance(refused, Failure) and refused.ran.value == "no"
        self.clock.advance(LIMITS.rotation_s + LIMITS.retention_s + 1)
        for process in self.processes.values():
            process.tick()
        assert a.writer.summary()["claims"] == 0
        assert self.processes["b"].replicas.summary()["claims"] == 0
        assert isinstance(a.writer.ticket(), LedgerId)

    def test_an_old_ledger_is_rotated_and_accepts_claims_for_a_grace_period(self) -> None:
        a = self.processes["a"]
        old = a.ledger()
        self.clock.advance(LIMITS.rotation_s)
        a.tick()
        assert a.ledger() != old
        assert a.claim(old, "k") is ClaimState.CLAIMED
        self.clock.advance(TICKET_GRACE_S)
        a.tick()
        assert a.claim(old, "k2") is None
        assert a.writer.status(ClaimLocation(old, "k2"))[0] is IdStatus.CLOSED

    def test_a_repair_replica_survives_the_loss_of_the_writer_and_the_backup(self) -> None:
        self.start("c")
        a = self.processes["a"]
        ledger = a.ledger()
        third = "c" if ledger.backup == "b" else "b"
        a.claim(ledger, "k")
        a.claim(ledger, "k2")
        a.writer.finish(ClaimLocation(ledger, "k"), ResultCode.COMPLETE, b"answer")
        self.stop("a")
        self.processes[ledger.backup].tick()
        self.stop(ledger.backup)
        replicas = self.processes[third].replicas
        assert replicas.status(ClaimLocation(ledger, "k"))[0] is IdStatus.ENDED
        assert replicas.status(ClaimLocation(ledger, "k2"))[0] is IdStatus.PENDING
        assert replicas.status(ClaimLocation(ledger, "k3"))[0] is IdStatus.NO_RECORD

    def test_a_writer_that_lost_its_backup_replicates_its_ledger_elsewhere(self) -> None:
        self.start("c")
        a = self.processes["a"]
        ledger = a.ledger()
        a.claim(ledger, "k")
        self.stop(ledger.backup)
        a.tick()
        a.writer.finish(ClaimLocation(ledger, "k"), ResultCode.COMPLETE, b"answer")
        (third,) = set(self.processes) - {"a"}
        assert (
            self.processes[third].replicas.status(ClaimLocation(ledger, "k"))[0] is IdStatus.ENDED
        )
