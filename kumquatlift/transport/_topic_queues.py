"""Queues and handler threads of incoming messages, separate for each topic."""

import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future

from kumquatlift.log import get_logger
from kumquatlift.transport._envelope import Envelope, FrameKind
from kumquatlift.transport.channel import AsyncHandler, Handler
from kumquatlift.worker_pool import WorkerPool

MAX_QUEUED_MESSAGES = 2000
AnswerCallback = Callable[[FrameKind, bytes], None]
"""Sends the answer to a request, given its kind and body."""


class TopicQueues:
    """Dispatches requests and notices to the queues of their topics.

    Args:
        workers: Default number of handlers of one topic that run concurrently.
    """

    def __init__(self, *, workers: int) -> None:
        self._workers = workers
        self._queues: dict[str, TopicQueue | InlineTopic] = {}

    def register(self, topic: str, handler: Handler | AsyncHandler, workers: int | None) -> None:
        """Set the handler of a topic; ``workers`` None means the default."""
        self._queues[topic] = TopicQueue(
            topic=topic, handler=handler, workers=workers or self._workers
        )

    def register_inline(self, topic: str, handler: Handler | AsyncHandler) -> None:
        """Set a handler that runs in the thread that delivers the message."""
        self._queues[topic] = InlineTopic(topic=topic, handler=handler)

    def deliver(self, sender: str, envelope: Envelope, answer: AnswerCallback) -> None:
        """Queue a request or notice; refuse it without a handler or when its queue is full."""
        queue = self._queues.get(envelope.topic)
        if queue is None:
            answer(FrameKind.REFUSED, f"no handler for {envelope.topic[:40]!r}".encode())
        elif not queue.put(sender, envelope.body, answer):
            answer(FrameKind.REFUSED, b"the queue of the topic is full")

    def close(self) -> None:
        """Discard queued messages; running handlers are not interrupted."""
        for queue in self._queues.values():
            queue.close()


class TopicQueue:
    """Queue and threads of one topic.

    Each topic has its own threads, so that a handler that blocks on a disk or a job delays only
    messages of its topic. Threads start when messages arrive.

    Args:
        topic: Name of the topic.
        handler: Handler of the topic's messages.
        workers: Number of handlers that run concurrently.
    """

    def __init__(self, *, topic: str, handler: Handler | AsyncHandler, workers: int) -> None:
        self._topic = topic
        self._handler = handler
        self._workers = workers
        self._pool = WorkerPool(threads=workers, name=f"on-{topic}")
        self._lock = threading.Lock()
        self._waiting: deque[tuple[str, bytes, AnswerCallback]] = deque()
        self._active = 0

    def put(self, sender: str, body: bytes, answer: AnswerCallback) -> bool:
        """Queue a message; return False when the queue is full."""
        with self._lock:
            if len(self._waiting) >= MAX_QUEUED_MESSAGES:
                return False
            self._waiting.append((sender, body, answer))
            needs_worker = self._active < self._workers
            self._active += needs_worker
        if needs_worker:
            # One pool task handles messages until the queue is empty, as submitting a task costs
            # more than running a short handler.
            self._pool.submit(self._drain)
        else:
            # Tries again to start a thread if one could not be started before.
            self._pool.wake()
        return True

    def close(self) -> None:
        """Discard queued messages."""
        with self._lock:
            self._waiting.clear()
        self._pool.close()

    def _drain(self) -> None:
        """Handle messages until the queue is empty."""
        while True:
            with self._lock:
                if not self._waiting:
                    self._active -= 1
                    return
                sender, body, answer = self._waiting.popleft()
            self._run(sender, body, answer)

    def _run(self, sender: str, body: bytes, answer: AnswerCallback) -> None:
        _run_handler(self._topic, self._handler, sender, body, answer)


class InlineTopic:
    """A topic whose handler runs in the thread of the channel, without a queue of its own.

    Args:
        topic: Name of the topic.
        handler: Handler of the topic's messages.
    """

    def __init__(self, *, topic: str, handler: Handler | AsyncHandler) -> None:
        self._topic = topic
        self._handler = handler

    def put(self, sender: str, body: bytes, answer: AnswerCallback) -> bool:
        """Handle a message."""
        _run_handler(self._topic, self._handler, sender, body, answer)
        return True

    def close(self) -> None:
        """Do nothing, as there are no queued messages."""


def _run_handler(
    topic: str, handler: Handler | AsyncHandler, sender: str, body: bytes, answer: AnswerCallback
) -> None:
    """Run a handler, and answer with its result now or when its future is done."""

    def answer_from(fut: "Future[bytes]") -> None:
        try:
            reply = fut.result()
        except Exception as exc:
            fail(exc)
        else:
            answer(FrameKind.ANSWER, reply)

    def fail(exc: Exception) -> None:
        get_logger().error("handler_failed", topic=topic, peer=sender, error=repr(exc))
        answer(FrameKind.FAILED, repr(exc)[:200].encode("utf-8", "replace"))

    try:
        reply = handler(sender, body)
    except Exception as exc:
        fail(exc)
        return
    if isinstance(reply, Future):
        reply.add_done_callback(answer_from)
    else:
        answer(FrameKind.ANSWER, reply or b"")
