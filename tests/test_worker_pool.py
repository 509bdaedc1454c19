"""Work that arrives while the system refuses new threads."""

import threading
from collections.abc import Callable

import pytest

from kumquatlift.transport._envelope import Envelope, FrameKind
from kumquatlift.transport._topic_queues import TopicQueues
from kumquatlift.worker_pool import WorkerPool

WAIT_S = 10.0


@pytest.fixture
def refuse_threads(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Return a function that lets the next starts of threads fail."""
    start = threading.Thread.start
    remaining = 0

    def start_or_fail(thread: threading.Thread) -> None:
        nonlocal remaining
        if remaining:
            remaining -= 1
            raise RuntimeError("can't start new thread")
        start(thread)

    def refuse(count: int) -> None:
        nonlocal remaining
        remaining = count

    monkeypatch.setattr(threading.Thread, "start", start_or_fail)
    return refuse


class TestWorkerPool:
    """Functions are neither lost nor run twice."""

    def test_a_function_without_a_thread_runs_with_the_next_one(
        self, refuse_threads: Callable[[int], None]
    ) -> None:
        pool, done, ran = WorkerPool(threads=2, name="t"), threading.Event(), []
        refuse_threads(1)
        pool.submit(ran.append, 1)
        pool.submit(done.set)
        assert done.wait(WAIT_S)
        assert ran == [1]
        pool.close()

    def test_wake_starts_the_thread_that_was_refused(
        self, refuse_threads: Callable[[int], None]
    ) -> None:
        pool, done = WorkerPool(threads=1, name="t"), threading.Event()
        refuse_threads(2)
        pool.submit(done.set)
        pool.wake()
        assert not done.is_set()
        pool.wake()
        assert done.wait(WAIT_S)
        pool.close()

    def test_what_comes_after_the_end_is_dropped(self) -> None:
        pool, ran = WorkerPool(threads=1, name="t"), []
        pool.close()
        pool.submit(ran.append, 1)
        assert ran == []

    def test_a_function_that_fails_does_not_end_its_thread(self) -> None:
        pool, done = WorkerPool(threads=1, name="t"), threading.Event()
        pool.submit(int, "x")
        pool.submit(done.set)
        assert done.wait(WAIT_S)
        pool.close()


class TestLanes:
    """Messages of a topic whose thread could not be started.

    Found by a loop of fault scenarios beside a run that took all threads of the machine: a process
    got no grants any more, as the topic counted a thread that it did not have.
    """

    def test_a_topic_goes_on_with_the_next_message(
        self, refuse_threads: Callable[[int], None]
    ) -> None:
        topics, done, got = TopicQueues(workers=1), threading.Event(), []

        def handle(_sender: str, body: bytes) -> bytes | None:
            got.append(body)
            if len(got) == 2:
                done.set()
            return None

        topics.register("t", handle, 1)
        refuse_threads(1)
        for body in (b"first", b"second"):
            topics.deliver("a", Envelope(FrameKind.NOTICE, 0, "t", body), lambda kind, reply: None)
        assert done.wait(WAIT_S)
        assert got == [b"first", b"second"]
        topics.close()
