"""Messages between processes over persistent TCP connections."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.transport._calls import Call, OpenCalls
from kumquatlift.transport._channel_loop import ChannelLoop
from kumquatlift.transport._connection import Frame
from kumquatlift.transport._envelope import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameKind,
    call_result,
    encode,
)
from kumquatlift.transport._link import MAX_PEERS, Links
from kumquatlift.transport._topic_queues import TopicQueues
from kumquatlift.transport.channel import AsyncHandler, Handler
from kumquatlift.transport.peer_diagnosis import Evidence


class TcpChannel:
    """A ``Channel`` over TCP.

    One thread runs a selector loop that does all socket I/O. Each topic has its own queue and
    handler threads, so a slow handler delays only its topic. One further thread completes the
    futures: their callbacks must not block or wait for other calls.

    Each process opens one connection to every peer that it calls, and receives the answers on it.
    A request is written only after the peer's hello has arrived on the connection, so a call to a
    process that is suspended or has ended fails as ``NOT_DELIVERED``. When a heartbeat stays
    unanswered, a new connection is opened; calls that were written on the old one stay there until
    their answer or their deadline.

    Args:
        name: Name of this process.
        address: Where to listen; the port is open when the constructor returns.
        locate: Returns the address of a peer, or None when it is unknown; called in the loop, so
            it must not block.
        workers: Default number of handlers of one topic that run concurrently.
    """

    def __init__(
        self, *, name: str, address: Address, locate: Callable[[str], Address | None], workers: int
    ) -> None:
        self._name = name
        self._calls = OpenCalls()
        self._links = Links()
        self._topics = TopicQueues(workers=workers)
        self._loop = ChannelLoop(
            name=name,
            address=address,
            locate=locate,
            calls=self._calls,
            links=self._links,
            topics=self._topics,
        )
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="channel")
        self._running = self._executor.submit(self._loop.run)

    @property
    def address(self) -> Address:
        """Where this process listens."""
        return self._loop.address

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        """Register the handler of a topic.

        Args:
            topic: Name of the topic.
            handler: Runs in a thread of the topic. If it raises, the call fails as ``TIMED_OUT``;
                if it returns None, the answer has an empty body.
            workers: Number of handlers that run concurrently; None means the default of the
                channel. With 1, messages from one peer are handled in the order of arrival.
        """
        self._topics.register(topic, handler, workers)

    def handle_async(self, topic: str, handler: AsyncHandler) -> None:
        """Register a handler that returns futures; it is called in the order of arrival."""
        self._topics.register(topic, handler, 1)

    def handle_inline(self, topic: str, handler: Handler | AsyncHandler) -> None:
        """Register a handler that runs in the thread of the channel; it must not block."""
        self._topics.register_inline(topic, handler)

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> Future[bytes | Failure]:
        """Send a request; see ``Channel.call``.

        A request that the peer refused before starting its handler also fails as
        ``NOT_DELIVERED``.
        """
        call = self._calls.open(peer, timeout_s)
        refusal = self._submit(call, topic, body) if call.is_open else ""
        if refusal:
            # The call may have expired meanwhile; then it has its result.
            self._calls.complete(call, Failure(ResultCode.NOT_DELIVERED, refusal))
        return call.fut

    def send(self, peer: str, topic: str, body: bytes) -> None:
        """Send a one-way message; it is dropped when it is too large or the queue is full."""
        if peer == self._name:
            self._topics.deliver(peer, Envelope(FrameKind.NOTICE, 0, topic, body), _discard_answer)
            return
        frame = Frame(encode(FrameKind.NOTICE, 0, topic, body))
        if len(frame.data) > MAX_FRAME_BYTES:
            return
        link, is_queued = self._links.put(peer, frame)
        if is_queued:
            self._loop.wake(link)

    def evidence(self, peer: str) -> Evidence:
        """Return the evidence of the connections to a peer, without that of membership."""
        link = self._links.find(peer)
        return Evidence() if link is None else link.evidence(time.monotonic())

    def snapshot(self) -> dict[str, Any]:
        """Return the counters for the state dump, total and per peer."""
        return {
            "open_calls": len(self._calls),
            "connections": self._loop.connections,
            "late_answers": self._loop.late_answers,
            "peers": self._links.snapshot(time.monotonic()),
        }

    def close(self) -> None:
        """Fail all calls and close all connections; running handlers are not interrupted."""
        self._loop.stop()
        self._running.result()
        self._executor.shutdown()
        self._topics.close()

    def _submit(self, call: Call, topic: str, body: bytes) -> str:
        """Queue a request; return the reason if it is refused, else an empty string."""
        if call.peer == self._name:
            return self._submit_locally(call, topic, body)
        frame = Frame(encode(FrameKind.REQUEST, call.id, topic, body), call)
        if len(frame.data) > MAX_FRAME_BYTES:
            return f"request of {len(frame.data)} bytes, at most {MAX_FRAME_BYTES} are allowed"
        link, is_queued = self._links.put(call.peer, frame)
        if link is None:
            return f"{MAX_PEERS} peers are known"
        if not is_queued:
            return f"the queue to {call.peer} is full"
        self._loop.wake(link)
        return ""

    def _submit_locally(self, call: Call, topic: str, body: bytes) -> str:
        """Deliver a request to a handler of this process, without a connection."""

        def answer(kind: FrameKind, reply: bytes) -> None:
            self._calls.complete(call, call_result(kind, reply))

        call.is_written = True
        self._topics.deliver(call.peer, Envelope(FrameKind.REQUEST, call.id, topic, body), answer)
        return ""


def _discard_answer(_kind: FrameKind, _reply: bytes) -> None:
    return
