"""Worker pools and topic queues while the system refuses to start threads."""

import threading
from collections.abc import Callable

import pytest

from kumquatlift.transport._envelope import Envelope, FrameKind
from kumquatlift.transport._topic_queues import TopicQueues
from kumquatlift.worker_pool import WorkerPool

WAIT_S = 10.0


@pytest.fixture
def refuse_threads(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Return a function that makes the given number of following thread starts fail."""
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
    """Submitted functions are neither lost nor run twice."""

    def test_function_without_a_thread_runs_after_the_next_submit(
        self, refuse_threads: Callable[[int], None]
    ) -> None:
        pool, done, ran = WorkerPool(threads=2, name="t"), threading.Event(), []
        refuse_threads(1)
        pool.submit(ran.append, 1)
        pool.submit(done.set)
        assert done.wait(WAIT_S)
        assert ran == [1]
        pool.close()

    def test_wake_starts_the_refused_thread(self, refuse_threads: Callable[[int], None]) -> None:
        pool, done = WorkerPool(threads=1, name="t"), threading.Event()
        refuse_threads(2)
        pool.submit(done.set)
        pool.wake()
        assert not done.is_set()
        pool.wake()
        assert done.wait(WAIT_S)
        pool.close()

    def test_functions_submitted_after_close_are_dropped(self) -> None:
        pool, ran = WorkerPool(threads=1, name="t"), []
        pool.close()
        pool.submit(ran.append, 1)
        assert ran == []

    def test_failing_function_does_not_end_its_thread(self) -> None:
        pool, done = WorkerPool(threads=1, name="t"), threading.Event()
        pool.submit(int, "x")
        pool.submit(done.set)
        assert done.wait(WAIT_S)
        pool.close()


class TestTopicQueues:
    """Guards against a topic that stops for good when its thread cannot be started.

    On a machine that had run out of threads, the topic counted a thread that had not started, so it
    started no other, and the process received no grants any more.
    """

    def test_topic_resumes_with_the_next_message(
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
