"""Answers that callers get from any entry process."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.callers import JobReply
from kumquatlift.jobs.claim import LedgerLimits
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.job import JobAnswer, JobRequest
from kumquatlift.jobs.ledger_frame import JobResponse, ReplyKind
from kumquatlift.jobs.router import JobRouter
from kumquatlift.settings import Address
from kumquatlift.transport.tcp_channel import TcpChannel
from tests.fakes import FakeMembers, member
from tests.simulation import (
    Cluster,
    Node,
    StepExecutor,
    expected_answer,
    request,
)

pytestmark = pytest.mark.usefixtures("no_callback_errors")
REQ, OTHER = request(0), request(1)


class TestJobRouter:
    """Guards against wrong and missing answers, and against answers to other jobs."""

    def setup_method(self) -> None:
        self.starts: list[str] = []
        self.cluster = Cluster(4, lambda job_id, digest: self.starts.append(job_id))
        ledger = LedgerId.parse(str(self.cluster.nodes["a"].router.ticket()))
        assert isinstance(ledger, LedgerId)
        self.ledger, self.id = ledger, f"{ledger}.k"
        self.others = sorted(set("abcd") - {"a", ledger.backup})

    def node(self, name: str) -> Node:
        return self.cluster.nodes[name]

    def submit(self, name: str, job_id: str | None, req: object = REQ) -> Future[JobReply]:
        fut = self.node(name).router.submit(
            job_id, req, deadline_at=self.cluster.clock.now() + 60.0  # type: ignore[arg-type]
        )
        self.cluster.network.settle()
        return fut

    def code(self, fut: Future[JobReply]) -> ResultCode:
        self.cluster.settle()
        return fut.result(timeout=0).answer.code

    def test_a_resubmission_of_a_running_job_attaches_to_it(self) -> None:
        futs = [self.submit(name, self.id) for name in "abcd"]
        assert self.starts == [self.id]
        self.node("a").executor.finish(self.id)
        self.cluster.network.settle()
        assert {fut.result(timeout=0).job_id for fut in futs} == {self.id}
        assert all(fut.result(timeout=0).answer.is_complete for fut in futs)

    def test_an_answer_whose_push_was_lost_is_polled(self) -> None:
        fut = self.submit("d" if self.ledger.backup != "d" else "c", self.id)
        self.node("a").executor.finish(self.id)
        network = self.cluster.network
        while not self.node("a").router.is_idle:
            # The answer is pushed once the outcome has reached the backup.
            network.deliver(network.deliverable()[0])
        network.messages.clear()
        assert not fut.done()
        assert self.code(fut) is ResultCode.COMPLETE

    def test_an_answer_that_a_caller_has_survives_the_loss_of_the_writer(self) -> None:
        """Guards against an answer before the backup has confirmed the outcome."""
        fut = self.submit("a", self.id)
        self.node("a").executor.finish(self.id)
        assert not fut.done()
        assert self.code(fut) is ResultCode.COMPLETE
        self.cluster.crash("a")
        assert self.code(self.submit(self.others[0], self.id)) is ResultCode.COMPLETE

    def test_the_same_id_with_another_payload_is_refused(self) -> None:
        self.submit("a", self.id)
        assert self.code(self.submit("b", self.id, OTHER)) is ResultCode.ID_REUSED

    def test_a_job_without_an_id_gets_one(self) -> None:
        fut = self.submit("a", "")
        (job_id,) = self.starts
        self.node("a").executor.finish(job_id)
        self.cluster.settle()
        assert fut.result(timeout=0) == (job_id, expected_answer(REQ))

    def test_an_id_that_is_not_valid_is_refused_under_its_own_text(self) -> None:
        reply = self.submit("a", "no-id").result(timeout=0)
        assert (reply.job_id, reply.answer.code) == ("no-id", ResultCode.BAD_JOB_ID)

    def test_a_caller_that_does_not_wait_gets_pending(self) -> None:
        fut = self.node("a").router.submit(self.id, REQ, deadline_at=1e6, wait=False)
        assert fut.result(timeout=0).answer.code is ResultCode.PENDING

    def test_a_refused_id_stays_refused_at_the_writer_and_at_the_backup(self) -> None:
        self.node("a").executor.refusal = Failure(ResultCode.OVERLOADED, "queue full")
        assert self.code(self.submit("a", self.id)) is ResultCode.OVERLOADED
        self.node("a").executor.refusal = None
        assert self.code(self.submit("a", self.id)) is ResultCode.OVERLOADED
        self.cluster.crash("a")
        assert self.code(self.submit(self.others[0], self.id)) is ResultCode.OVERLOADED
        assert self.starts == []

    def test_the_backup_adopts_an_unclaimed_job_of_a_dead_writer(self) -> None:
        self.cluster.crash("a")
        fut = self.submit(self.others[0], self.id)
        again = self.submit(self.others[1], self.id)
        assert self.starts == [self.id]
        self.node(self.ledger.backup).executor.finish(self.id)
        assert self.code(fut) is self.code(again) is ResultCode.COMPLETE

    def test_an_adopted_jobs_outcome_is_found_after_the_adopter_is_lost(self) -> None:
        self.cluster.crash("a")
        self.submit(self.others[0], self.id)
        self.node(self.ledger.backup).executor.finish(self.id)
        self.cluster.settle()
        self.cluster.crash(self.ledger.backup)
        for name in self.others:
            assert self.code(self.submit(name, self.id)) is ResultCode.COMPLETE
        assert self.starts == [self.id]

    def test_a_claimed_job_of_a_dead_writer_is_never_run_again(self) -> None:
        self.submit("a", self.id)
        self.cluster.crash("a")
        assert self.code(self.submit(self.others[0], self.id)) is ResultCode.OWNER_UNREACHABLE
        self.cluster.advance(61.0)
        assert self.code(self.submit(self.others[0], self.id)) is ResultCode.OWNER_LOST
        assert self.starts == [self.id]

    def test_an_unknown_claim_ends_after_its_deadline_when_the_backup_is_lost(self) -> None:
        """Guards against a caller that has to retry until the ledger expires."""
        self.cluster.crash(self.ledger.backup)
        other = self.others[0]
        # Only the writer can promise that it never runs the id.
        assert self.code(self.submit("a", self.id)) is ResultCode.CLAIM_UNCONFIRMED
        assert self.code(self.submit(other, self.id)) is ResultCode.OWNER_UNREACHABLE
        self.cluster.advance(61.0)
        assert self.code(self.submit(other, self.id)) is ResultCode.OWNER_LOST
        assert self.code(self.submit("a", self.id)) is ResultCode.OWNER_LOST
        assert not self.starts

    def test_a_lost_record_is_distinguished_from_an_unreachable_owner(self) -> None:
        self.submit("a", self.id)
        self.cluster.crash("a")
        self.cluster.crash(self.ledger.backup)
        other = self.others[0]
        assert self.code(self.submit(other, self.id)) is ResultCode.OWNER_UNREACHABLE
        self.cluster.start("a")
        self.cluster.start(self.ledger.backup)
        assert self.code(self.submit(other, self.id)) is ResultCode.RECORD_LOST

    def test_a_cancelled_id_never_runs(self) -> None:
        assert self.code(self.node("b").router.cancel(self.id)) is (
            ResultCode.CANCELLED_BEFORE_START
        )
        assert self.code(self.submit("c", self.id)) is ResultCode.CANCELLED_BEFORE_START
        assert self.starts == []

    def test_a_running_job_is_cancelled_through_another_process(self) -> None:
        fut = self.submit("a", self.id)
        self.node("b").router.cancel(self.id)
        assert self.code(fut) is ResultCode.CANCELLED_AFTER_START

    def test_a_query_for_an_unused_id_does_not_report_it_as_not_run(self) -> None:
        answer = self.code(self.node("b").router.get(self.id))
        assert answer is ResultCode.CLAIM_UNKNOWN and answer.ran.value == "maybe"
        self.submit("a", self.id)
        assert self.code(self.node("b").router.get(self.id)) is ResultCode.PENDING

    def test_a_leaving_process_refuses_new_work_and_answers_for_known_jobs(self) -> None:
        fut = self.submit("a", self.id)
        router = self.node("a").router
        router.leave()
        self.cluster.network.settle()
        assert self.code(self.submit("a", None)) is ResultCode.LEAVING
        assert self.code(self.submit("b", f"{self.ledger}.new")) is ResultCode.LEAVING
        again = self.submit("b", self.id)
        assert not router.is_idle
        assert router.drain(0.0) is False
        self.node("a").executor.finish(self.id)
        assert self.code(fut) is self.code(again) is ResultCode.COMPLETE
        assert router.drain(0.0) is True
        self.cluster.crash("a")
        assert self.code(self.submit("b", f"{self.ledger}.new")) is ResultCode.LEDGER_CLOSED
        assert self.code(self.submit("c", self.id)) is ResultCode.COMPLETE

    def test_a_reply_for_another_job_is_ignored(self) -> None:
        other = self.others[0]
        foreign = JobResponse(
            ReplyKind.ANSWER, f"{self.ledger}.x", b"", expected_answer(REQ).to_bytes()
        )
        self.node("a").channel.handlers["job.submit"] = lambda sender, body: foreign.to_bytes()
        fut = self.submit(other, self.id)
        assert self.starts == [self.id]
        self.node(self.ledger.backup).executor.finish(self.id)
        assert self.code(fut) is ResultCode.COMPLETE

    def test_an_expired_id_may_have_run(self) -> None:
        self.submit("a", self.id)
        self.node("a").executor.finish(self.id)
        for _ in range(4):
            self.cluster.advance(70.0)
            self.cluster.network.settle()
        assert self.code(self.submit("b", self.id)) is ResultCode.RECORD_LOST
        assert self.starts == [self.id]

    def test_results_over_the_byte_limit_are_dropped_and_the_id_stays_used(self) -> None:
        cluster = Cluster(2, lambda job_id, digest: self.starts.append(job_id))
        a = cluster.nodes["a"].router
        a._writer._answers.max_bytes = 10
        ledger = a.ticket()
        a.submit(f"{ledger}.k", REQ, deadline_at=1e6)
        cluster.settle()
        cluster.nodes["a"].executor.finish(f"{ledger}.k")
        cluster.settle()
        fut = a.submit(f"{ledger}.k", REQ, deadline_at=1e6)
        assert fut.result(timeout=0).answer.code is ResultCode.RECORD_LOST
        assert self.starts == [f"{ledger}.k"]

    def test_threads_that_submit_the_same_id_start_it_once(self) -> None:
        router, barrier = self.node("a").router, threading.Barrier(4)
        router.set_limits(LedgerLimits())

        def submit() -> None:
            barrier.wait()
            for key in range(50):
                router.submit(f"{self.ledger}.t{key}", REQ, deadline_at=1e6)

        threads = [threading.Thread(target=submit) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.cluster.network.settle()
        assert sorted(self.starts) == sorted({f"{self.ledger}.t{key}" for key in range(50)})


class ThreadExecutor(StepExecutor):
    """Ends every job in another thread soon after its start."""

    pool = ThreadPoolExecutor(max_workers=4)

    def run(self, job_id: str, req: JobRequest, *, deadline_at: float) -> Future[JobAnswer]:
        self.on_start(job_id, req.digest)
        return self.pool.submit(expected_answer, req)


class TestJobRouterOverTcp:
    """Guards against deadlocks between handlers, callbacks and callers' threads."""

    def test_the_same_ids_submitted_everywhere_at_once_start_once(self) -> None:
        starts: list[str] = []
        members = [member(name, "z1") for name in "abc"]
        channels: dict[str, TcpChannel] = {}
        routers: list[JobRouter] = []
        for me in members:
            channels[me.name] = TcpChannel(
                name=me.name,
                address=Address("127.0.0.1", 0),
                locate=lambda name: channels[name].address if name in channels else None,
                workers=2,
            )
            router = JobRouter(
                channel=channels[me.name],
                members=FakeMembers(me=me, others=[m for m in members if m != me]),
                clock=MonotonicClock(),
                executor=ThreadExecutor(lambda job_id, digest: starts.append(job_id)),
            )
            routers.append(router)
        tickets: list[str] = []
        for router in routers:
            while isinstance(ticket := router.ticket(), Failure):
                time.sleep(0.01)
            tickets.append(ticket)
        ids = [f"{ticket}.k{key}" for key in range(20) for ticket in tickets]
        with ThreadPoolExecutor(max_workers=9) as pool:
            calls = [pool.submit(router.submit, id, REQ) for id in ids for router in routers]
            replies = [call.result(timeout=20).result(timeout=20) for call in calls]
        assert {reply.answer.code for reply in replies} == {ResultCode.COMPLETE}
        assert sorted(starts) == sorted(ids)
        assert all(router.drain(5.0) for router in routers)
        for channel in channels.values():
            channel.close()
