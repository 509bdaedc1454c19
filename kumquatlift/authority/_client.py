"""Sends requests to whichever instance leads."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial

from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.channel import Channel, LateHandler, Topic
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.timer import Timer

# The leader is asked this often whether it still leads, and without one all instances are.
PROBE_S = 0.15
SEARCH_S = 0.1
PROBE_TIMEOUT_S = 0.4
# Without an answer for this long the leader is taken for lost, and requests are refused at once;
# three probes, so that one slow answer does not turn callers away.
LOST_S = 0.5
# Instances that are asked one after the other before a request is given up as not sent.
MAX_HOPS = 4


class LeaderClient:
    """Requests to the leader, with a probe that knows whether there is one.

    Args:
        channel: Messages to other processes.
        timer: Runs the probe.
        contacts: Names of instances to ask first.
    """

    def __init__(self, *, channel: Channel, timer: Timer, contacts: tuple[str, ...]) -> None:
        self._channel = channel
        self._contacts = contacts
        self._lock = threading.Lock()
        self._others: tuple[str, ...] = ()
        self._leader = ""
        self._heard_at = 0.0
        self._is_lost = True
        self._probed_at = 0.0
        timer.call_every(SEARCH_S, self._probe)

    @property
    def leader(self) -> str:
        """Name of the leader; empty when none has answered of late."""
        return self._leader if time.monotonic() - self._heard_at < LOST_S else ""

    def call(self, request: Request, *, timeout_s: float) -> Reply | Failure:
        """Send a request and wait for its answer.

        Returns:
            The reply; a ``NOT_DELIVERED`` failure when no leader took it, which is certain, or a
            ``TIMED_OUT`` failure when its effect is unknown.
        """
        deadline = time.monotonic() + timeout_s
        body = request.to_bytes()
        target = self.leader
        for _ in range(MAX_HOPS):
            left_s = deadline - time.monotonic()
            if not target or left_s <= 0:
                break
            answer = self._channel.call(target, Topic.AUTHORITY, body, timeout_s=left_s).result()
            if isinstance(answer, Failure):
                if answer.code is not ResultCode.NOT_DELIVERED:
                    return answer
                self._forget(target)
                return answer
            reply = Reply.from_bytes(answer)
            if reply.code is not ResultCode.NOT_LEADER:
                self._hear(target)
                return reply
            self._forget(target)
            target = str(reply.fields.get("leader", ""))
        return Failure(ResultCode.NOT_DELIVERED, "no instance leads at present")

    def _probe(self) -> None:
        now = time.monotonic()
        if self.leader and now - self._probed_at < PROBE_S:
            return
        self._probed_at = now
        if not self.leader and not self._is_lost:
            self._is_lost = True
            get_logger().warning("leader_lost", leader=self._leader)
        targets = [self._leader] if self.leader else [*self._contacts, *self._others]
        body = Request(Operation.WHO_LEADS, {}).to_bytes()
        for target in dict.fromkeys(targets):
            fut = self._channel.call(target, Topic.AUTHORITY, body, timeout_s=PROBE_TIMEOUT_S)
            fut.add_done_callback(partial(self._on_probe, target))

    def _on_probe(self, target: str, fut: "Future[bytes | Failure]") -> None:
        answer = fut.result()
        if isinstance(answer, Failure):
            return
        try:
            reply = Reply.from_bytes(answer)
        except ValueError as exc:
            get_logger().warning("probe_malformed", peer=target, error=repr(exc))
            return
        if reply.code is ResultCode.ACCEPTED:
            self._others = tuple(reply.fields.get("members", ()))
            self._hear(target)
        elif target == self._leader:
            self._forget(target)

    def _hear(self, leader: str) -> None:
        with self._lock:
            if self._is_lost or leader != self._leader:
                get_logger().info("leader_found", leader=leader, before=self._leader)
            self._leader = leader
            self._heard_at = time.monotonic()
            self._is_lost = False

    def _forget(self, leader: str) -> None:
        with self._lock:
            if leader == self._leader:
                self._heard_at = 0.0


def authority_handler(
    ask: Callable[[Request], "Future[Reply]"],
) -> LateHandler:
    """Return the channel's handler for requests to an instance that may lead."""

    def handle(_sender: str, body: bytes) -> "Future[bytes]":
        done: Future[bytes] = Future()
        try:
            request = Request.from_bytes(body)
        except (ValueError, TypeError) as exc:
            done.set_result(Reply(ResultCode.MALFORMED, {"reason": repr(exc)}).to_bytes())
            return done
        ask(request).add_done_callback(lambda fut: done.set_result(fut.result().to_bytes()))
        return done

    return handle
