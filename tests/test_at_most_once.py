"""Random histories of a cluster, checked against a reference model of a single process."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatlift.codes import Ran, ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.callers import JobReply
from kumquatlift.jobs.job import TaskResult
from tests.simulation import Cluster, expected_answer, request

pytestmark = pytest.mark.usefixtures("no_callback_errors")
NODES = 4
DIGESTS = {request(payload).digest: payload for payload in range(2)}


class ReferenceModel:
    """A single process without faults: the first payload of an id runs, once.

    Every start and every answer of the cluster is reported to the model, which records an error for
    each that this process could not have produced.
    """

    def __init__(self) -> None:
        self.started: dict[str, int] = {}
        self.not_run: set[tuple[str, int]] = set()
        self.submitted: set[tuple[str, int]] = set()
        self.seen: Counter[ResultCode] = Counter()
        self.errors: list[str] = []

    def require(self, holds: bool, error: str) -> None:
        """Record an error; a future would swallow an exception raised by its callback."""
        if not holds:
            self.errors.append(error)

    def start(self, job_id: str, digest: bytes) -> None:
        payload = DIGESTS[digest]
        self.require(job_id not in self.started, f"{job_id} started twice")
        self.require((job_id, payload) not in self.not_run, f"{job_id} started after 'not run'")
        self.started[job_id] = payload

    def check_answer(self, payload: int | None, reply: JobReply) -> None:
        job_id, answer = reply
        self.seen[answer.code] += 1
        ran = self.started.get(job_id)
        if answer.is_complete:
            self.require(
                ran is not None and payload in (None, ran), f"{job_id}: answer to another payload"
            )
            # Answers are sent as JSON, which turns tuples into lists, so values are compared.
            results = tuple(TaskResult(*row) for row in answer.results)
            whole = expected_answer(request(ran or 0)).results
            self.require(results == whole, f"{job_id}: incomplete answer")
            return
        self.require(answer.results == (), f"{job_id}: failed with results")
        if answer.code is ResultCode.ID_REUSED:
            other = (job_id, 1 - (payload or 0))
            self.require(other in self.submitted, f"{job_id}: no other payload was submitted")
        if answer.code.ran is Ran.YES:
            self.require(ran is not None, f"{job_id}: reported as run")
        if answer.code.ran is Ran.NO and job_id:
            payloads = list(DIGESTS.values()) if payload is None else [payload]
            self.require(ran not in payloads, f"{job_id}: started, then {answer.code.label}")
            self.not_run |= {(job_id, each) for each in payloads}


class History:
    """Applies steps to a cluster and checks every answer against the reference model."""

    def __init__(self) -> None:
        self.model = ReferenceModel()
        self.cluster = Cluster(NODES, self.model.start)
        self.ids: list[str] = []
        self.deadlines: dict[str, float] = {}

    def apply(self, op: int, arg: int) -> None:
        """Apply one step; the weights make most steps message deliveries and submissions."""
        steps = [
            *[self.deliver] * 24,
            *[self.submit] * 8,
            *[self.finish] * 4,
            self.issue,
            self.get,
            self.cancel,
            self.lose,
            self.advance,
            self.advance,
            self.crash,
            self.freeze,
            self.thaw,
            self.cut,
            self.heal,
            self.refuse,
        ]
        steps[op % len(steps)](arg)

    def node(self, arg: int) -> str | None:
        names = sorted(set(self.cluster.nodes) - self.cluster.network.frozen)
        return names[arg % len(names)] if names else None

    def issue(self, arg: int) -> None:
        name = self.node(arg)
        ledger = self.cluster.nodes[name].router.ticket() if name else None
        if ledger is not None and not isinstance(ledger, Failure):
            self.ids.append(f"{ledger}.k{len(self.ids)}")

    def submit(self, arg: int) -> None:
        name = self.node(arg)
        if name is None or not self.ids:
            return
        self.submit_to(name, self.ids[-1 - arg // 4 % min(3, len(self.ids))], int(arg % 11 == 0))

    def submit_to(self, name: str, job_id: str, payload: int) -> None:
        self.model.submitted.add((job_id, payload))
        fut = self.cluster.nodes[name].router.submit(
            job_id, request(payload), deadline_at=self.cluster.clock.now() + 8.0
        )
        fut.add_done_callback(
            lambda fut: self.model.check_answer(payload, self.result(job_id, fut))
        )

    def get(self, arg: int) -> None:
        name = self.node(arg)
        if name and self.ids:
            job_id = self.ids[arg // 4 % len(self.ids)]
            fut = self.cluster.nodes[name].router.get(job_id, wait_s=arg % 3)
            fut.add_done_callback(
                lambda fut: self.model.check_answer(None, self.result(job_id, fut))
            )

    def cancel(self, arg: int) -> None:
        name = self.node(arg)
        if name and self.ids and arg % 3 == 0:
            job_id = self.ids[-1]
            fut = self.cluster.nodes[name].router.cancel(job_id)
            fut.add_done_callback(
                lambda fut: self.model.check_answer(None, self.result(job_id, fut))
            )

    def result(self, job_id: str, fut: object) -> JobReply:
        reply = fut.result()  # type: ignore[attr-defined]
        assert isinstance(reply, JobReply)
        self.model.require(reply.job_id == job_id, f"{job_id}: answer with another id")
        return reply

    def deliver(self, arg: int) -> None:
        ready = self.cluster.network.deliverable()
        if ready:
            # Mostly in order; sometimes any message, so that messages are reordered and late.
            self.cluster.network.deliver(ready[arg % len(ready) if arg % 4 == 0 else 0])

    def lose(self, arg: int) -> None:
        messages = self.cluster.network.messages
        if messages:
            del messages[arg % len(messages)]

    def finish(self, arg: int) -> None:
        name = self.node(arg)
        running = sorted(self.cluster.nodes[name].executor.running) if name else []
        if name and running:
            self.cluster.nodes[name].executor.finish(running[arg % len(running)])

    def advance(self, arg: int) -> None:
        self.cluster.advance([0.2, 0.2, 1.1, 1.1, 1.1, 3.0, 9.0, 61.0][arg % 8])

    def crash(self, arg: int) -> None:
        names = sorted(self.cluster.nodes)
        if len(names) > 1:
            self.cluster.crash(names[arg % len(names)])
            if arg % 2:
                self.cluster.start(names[arg % len(names)])

    def freeze(self, arg: int) -> None:
        name = self.node(arg)
        if name:
            self.cluster.network.frozen.add(name)
            if arg % 2:
                self.cluster.refresh_views()

    def thaw(self, arg: int) -> None:
        self.cluster.network.frozen.clear()
        self.cluster.refresh_views()
        for name in "abcd"[: NODES if arg % 3 == 0 else 0]:
            if name not in self.cluster.nodes:
                self.cluster.start(name)

    def cut(self, arg: int) -> None:
        pair = frozenset(("abcd"[arg % 4], "abcd"[arg // 4 % 4]))
        if len(pair) == 2:
            self.cluster.network.cuts.add(pair)

    def heal(self, arg: int) -> None:
        self.cluster.network.cuts.clear()

    def refuse(self, arg: int) -> None:
        name = self.node(arg)
        if name:
            refusal = Failure(ResultCode.OVERLOADED, "queue full") if arg % 3 == 0 else None
            self.cluster.nodes[name].executor.refusal = refusal

    def conclude(self) -> None:
        """End all faults, finish all jobs, and submit every id again through every process."""
        self.heal(0)
        self.thaw(0)
        for _ in range(2):
            self.cluster.settle()
            for node in self.cluster.nodes.values():
                for job_id in sorted(node.executor.running):
                    node.executor.finish(job_id)
            for job_id in self.ids:
                for name in sorted(self.cluster.nodes):
                    self.submit_to(name, job_id, 0)
        self.cluster.settle()


class TestAtMostOnce:
    """Guards against a second start of a job and against wrong answers or those of other jobs."""

    @settings(max_examples=20)
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), min_size=1, max_size=12))
    def test_without_faults_every_answer_agrees_with_the_reference_model(
        self, submissions: list[tuple[int, int]]
    ) -> None:
        history, started = History(), dict[str, int]()
        for at, key in submissions:
            if key == 0 or not history.ids:
                history.issue(at)
            job_id, payload = history.ids[-1 - key % len(history.ids)], at % 2
            router = history.cluster.nodes["abcd"[at]].router
            fut = router.submit(job_id, request(payload), deadline_at=1e6)
            history.cluster.network.settle()
            for index in range(NODES):
                history.finish(index)
            history.cluster.network.settle()
            expected = started.setdefault(job_id, payload)
            code = ResultCode.COMPLETE if payload == expected else ResultCode.ID_REUSED
            assert fut.result(timeout=0).answer.code is code
        assert history.model.started == started

    @pytest.mark.parametrize("block", range(15))
    def test_histories_with_faults_agree_with_the_reference_model(self, block: int) -> None:
        # Plain seeds, as shrinking a history of 300 steps takes minutes and adds little.
        for seed in range(block * 10, block * 10 + 10):
            history, rng = History(), random.Random(seed)
            history.issue(0)
            for _ in range(300):
                history.apply(rng.randrange(1000), rng.randrange(10_000))
                assert history.model.errors == [], f"seed {seed}"
            history.conclude()
            assert history.model.errors == [], f"seed {seed}"
