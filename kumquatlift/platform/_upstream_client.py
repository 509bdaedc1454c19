"""Client that sends orders and polls to upstreams over HTTP."""

import http.client
from collections.abc import Callable
from functools import partial

from kumquatlift.authority import (
    OrderAnswer,
    OrderResult,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
    UpstreamRef,
)
from kumquatlift.log import get_logger
from kumquatlift.platform._wire import (
    read_order_answer,
    read_poll_answer,
    write_poll,
    write_start,
    write_stop,
)
from kumquatlift.store import EventLoop
from kumquatlift.transport.connection_pool import ConnectionPool, HttpResponse, NotSentError
from kumquatlift.worker_pool import WorkerPool

# Timeout of a poll, in addition to the time for which the upstream may wait for a run to end.
POLL_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_S = 0.12
# Below the 4 s after which upstreams close an idle connection.
MAX_IDLE_S = 3.0
# Interval at which connections that exceed ``MAX_IDLE_S`` are closed.
CLOSE_IDLE_S = 1.0
# Threads for start and stop orders. An upstream that doesn't answer blocks one for the timeout.
ORDER_THREADS = 24
# Threads for polls. A poll blocks its thread while it waits; each upstream has one at a time.
POLL_THREADS = 220


class UpstreamClient:
    """An ``UpstreamGateway`` over HTTP.

    Args:
        loop: Event loop in which the callbacks for answers run.
    """

    def __init__(self, *, loop: EventLoop) -> None:
        self._loop = loop
        self._pool = ConnectionPool(max_idle_s=MAX_IDLE_S)
        self._orders = WorkerPool(threads=ORDER_THREADS, name="order")
        self._polls = WorkerPool(threads=POLL_THREADS, name="look")
        loop.call_every(CLOSE_IDLE_S, partial(self._orders.submit, self._pool.close_idle))
        # Each ``submit`` above does the same for the threads for orders.
        loop.call_every(CLOSE_IDLE_S, self._polls.wake)

    def start(
        self, ref: UpstreamRef, order: StartOrder, done: Callable[[OrderAnswer], None]
    ) -> None:
        """Send a start order."""
        body = write_start(order, ref.token)
        self._orders.submit(self._send_order, ref, "/api/run-start", body, order.timeout_s, done)

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Send a stop order."""
        body = write_stop(order, ref.token)
        self._orders.submit(self._send_order, ref, "/api/run-stop", body, order.timeout_s, done)

    def poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        """Send a poll, which lists running tasks and ended runs, and renews the lease."""
        self._polls.submit(self._poll, ref, order, done)

    def _send_order(
        self,
        ref: UpstreamRef,
        path: str,
        body: bytes,
        timeout_s: float,
        done: Callable[[OrderAnswer], None],
    ) -> None:
        try:
            answer = self._exchange(ref, path, body, timeout_s)
            if isinstance(answer, OrderAnswer):
                result = answer
            else:
                result = read_order_answer(answer.status, answer.body, ref.started_at_ms)
        except Exception as exc:
            # The leader counts on the callback, so any error is an unknown outcome.
            result = _on_error(ref, path, exc)
        self._loop.post(done, result)

    def _poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        timeout_s = POLL_TIMEOUT_S + order.wait_ms / 1000
        try:
            answer = self._exchange(ref, "/api/hold", write_poll(order, ref.token), timeout_s)
            if isinstance(answer, OrderAnswer):
                result = PollAnswer(answer.result, reason=answer.reason)
            else:
                result = read_poll_answer(answer.status, answer.body, ref.started_at_ms)
        except Exception as exc:
            # As in ``_send_order``.
            failure = _on_error(ref, "/api/hold", exc)
            result = PollAnswer(failure.result, reason=failure.reason)
        self._loop.post(done, result)

    def _exchange(
        self, ref: UpstreamRef, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse | OrderAnswer:
        headers = {"Content-Type": "application/json", "Expected-Instance": ref.upstream_id}
        send = partial(
            self._pool.exchange,
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        try:
            return send(ref.address, "POST", path, body, headers)
        except NotSentError as exc:
            return OrderAnswer(OrderResult.NOT_SENT, reason=str(exc))
        except (OSError, http.client.HTTPException, ValueError) as exc:
            # The upstream's other connections may have failed too, so the next order opens a new
            # one.
            self._pool.drop(ref.address)
            return OrderAnswer(OrderResult.UNKNOWN, reason=f"{type(exc).__name__} {exc}"[:120])


def _on_error(ref: UpstreamRef, path: str, exc: Exception) -> OrderAnswer:
    """Log an error that no other part handles, and return an answer with an unknown outcome."""
    get_logger().error(
        "order_failed", upstream=ref.upstream_id, path=path, error=repr(exc), exc_info=exc
    )
    return OrderAnswer(OrderResult.UNKNOWN, reason=f"{type(exc).__name__} {exc}"[:120])
