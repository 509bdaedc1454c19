"""Client that sends orders and polls to upstreams over HTTP."""

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
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.platform._wire import (
    read_order_answer,
    read_poll_answer,
    write_poll,
    write_start,
    write_stop,
)
from kumquatlift.store import EventLoop
from kumquatlift.transport.connection_pool import HttpResponse
from kumquatlift.transport.event_http import ClientLimits, EventHttpClient

# Timeout of a poll, in addition to the time for which the upstream may wait for a run to end.
POLL_TIMEOUT_S = 0.2
CONNECT_TIMEOUT_S = 0.12
# Below the 4 s after which upstreams close an idle connection.
MAX_IDLE_S = 3.0
# Interval at which connections that exceed ``MAX_IDLE_S`` are closed.
CLOSE_IDLE_S = 1.0
# Leaves a third of a core's 4,096 file descriptors to its servers, channel and journal.
MAX_CONNECTIONS = 2700


class UpstreamClient:
    """An ``UpstreamGateway`` over HTTP.

    Args:
        loop: Event loop in which the callbacks for answers run.
    """

    # Returns whether this instance still leads with a lease. A connection may take a while to open,
    # and the process may be suspended meanwhile.
    may_send: Callable[[], bool] = staticmethod(lambda: True)

    def __init__(self, *, loop: EventLoop) -> None:
        self._http = EventHttpClient(
            loop=loop,
            limits=ClientLimits(
                connect_timeout_s=CONNECT_TIMEOUT_S,
                max_idle_s=MAX_IDLE_S,
                max_connections=MAX_CONNECTIONS,
            ),
            may_send=lambda: self.may_send(),
        )
        loop.call_every(CLOSE_IDLE_S, self._http.close_idle)

    def start(
        self, ref: UpstreamRef, order: StartOrder, done: Callable[[OrderAnswer], None]
    ) -> None:
        """Send a start order."""
        self._send_order(
            ref, "/api/run-start", write_start(order, ref.token), order.timeout_s, done
        )

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Send a stop order."""
        self._send_order(ref, "/api/run-stop", write_stop(order, ref.token), order.timeout_s, done)

    def poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        """Send a poll, which lists running tasks and ended runs, and renews the lease."""
        timeout_s = POLL_TIMEOUT_S + order.wait_ms / 1000
        self._send(
            ref,
            "/api/hold",
            write_poll(order, ref.token),
            timeout_s,
            partial(_on_polled, ref, done),
        )

    def _send_order(
        self,
        ref: UpstreamRef,
        path: str,
        body: bytes,
        timeout_s: float,
        done: Callable[[OrderAnswer], None],
    ) -> None:
        self._send(ref, path, body, timeout_s, partial(_on_ordered, ref, path, done))

    def _send(
        self,
        ref: UpstreamRef,
        path: str,
        body: bytes,
        timeout_s: float,
        done: Callable[[HttpResponse | OrderAnswer], None],
    ) -> None:
        headers = {"Content-Type": "application/json", "Expected-Instance": ref.upstream_id}

        def on_done(answer: HttpResponse | Failure) -> None:
            if isinstance(answer, HttpResponse):
                done(answer)
            elif answer.code is ResultCode.NOT_DELIVERED:
                done(OrderAnswer(OrderResult.NOT_SENT, reason=answer.reason[:120]))
            else:
                # The upstream's other connections may have failed too, so the next order opens a
                # new one.
                self._http.drop(ref.address)
                done(OrderAnswer(OrderResult.UNKNOWN, reason=answer.reason[:120]))

        self._http.send(ref.address, "POST", path, body, headers, timeout_s=timeout_s, done=on_done)


def _on_ordered(
    ref: UpstreamRef,
    path: str,
    done: Callable[[OrderAnswer], None],
    answer: HttpResponse | OrderAnswer,
) -> None:
    if isinstance(answer, OrderAnswer):
        done(answer)
        return
    try:
        result = read_order_answer(answer.status, answer.body, ref.started_at_ms)
    except Exception as exc:
        # The leader counts on the callback, so any error is an unknown outcome.
        result = _on_error(ref, path, exc)
    done(result)


def _on_polled(
    ref: UpstreamRef, done: Callable[[PollAnswer], None], answer: HttpResponse | OrderAnswer
) -> None:
    if isinstance(answer, OrderAnswer):
        done(PollAnswer(answer.result, reason=answer.reason))
        return
    try:
        result = read_poll_answer(answer.status, answer.body, ref.started_at_ms)
    except Exception as exc:
        # As in ``_on_ordered``.
        failure = _on_error(ref, "/api/hold", exc)
        result = PollAnswer(failure.result, reason=failure.reason)
    done(result)


def _on_error(ref: UpstreamRef, path: str, exc: Exception) -> OrderAnswer:
    """Log an error that no other part handles, and return an answer with an unknown outcome."""
    get_logger().error(
        "order_failed", upstream=ref.upstream_id, path=path, error=repr(exc), exc_info=exc
    )
    return OrderAnswer(OrderResult.UNKNOWN, reason=f"{type(exc).__name__} {exc}"[:120])
