"""Client that finds the current leader and sends requests to it."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial

from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.timer import Timer
from kumquatlift.transport.channel import AsyncHandler, Channel, Topic

# A known leader that has not answered for this long is asked whether it still leads, by a probe.
PROBE_INTERVAL_S = 0.15
# Interval at which all instances are probed while no leader is known.
SEARCH_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.4
# A leader that has not answered for this long, which is more than one probe interval, may have been
# replaced, so the other instances are probed as well. An election takes about 0.4 s, so a new
# leader can be found before the old one counts as lost. Submissions are kept meanwhile: one that
# was sent to a leader that is gone can't be refused any more, as it may have run.
SUSPECT_S = 0.3
# A leader that has not answered for this long counts as lost, and requests fail at once. The time
# covers three probes, so that a single slow answer does not cause refusals.
LOST_S = 0.5
# Timeout of one attempt. A commit takes about 20 ms, and ten times that with a slow disk.
ATTEMPT_S = 0.3
# Time that an election may take. A request whose leader has been lost for longer is abandoned,
# since its caller may still reach another zone.
ELECTION_S = 0.9
# Interval at which a waiting request checks whether the leader was lost or its caller has gone.
CHECK_INTERVAL_S = 0.1
# Codes of replies that say that a submitted job has not run.
REFUSALS = frozenset({ResultCode.OVERLOADED, ResultCode.UNKNOWN_SERVICE, ResultCode.MALFORMED})


class LeaderClient:
    """Sends requests to the leader, which it tracks by periodic probes.

    Args:
        channel: Carries messages to other processes.
        timer: Runs the probes.
        contacts: Names of the instances to probe first.
    """

    def __init__(self, *, channel: Channel, timer: Timer, contacts: tuple[str, ...]) -> None:
        self._channel = channel
        self._contacts = contacts
        self._leader_found = threading.Condition()
        self._members: tuple[str, ...] = ()
        self._leader = ""
        self._last_answer_at = 0.0
        self._is_lost = True
        self._lost_at = time.monotonic()
        self._probed_at = 0.0
        timer.call_every(SEARCH_INTERVAL_S, self._probe)

    @property
    def leader(self) -> str:
        """Name of the leader; empty when none has answered within ``LOST_S``."""
        return self._leader if time.monotonic() - self._last_answer_at < LOST_S else ""

    @property
    def is_cut_off(self) -> bool:
        """Whether no leader has been known for longer than an election takes."""
        return self._is_lost and time.monotonic() - self._lost_at > ELECTION_S

    def call(
        self,
        request: Request,
        *,
        timeout_s: float,
        leader_wait_s: float = 0.0,
        attempt_s: float = ATTEMPT_S,
        is_abandoned: Callable[[], bool] = lambda: False,
    ) -> Reply | Failure:
        """Send a request and wait for its reply; resend it when a leader doesn't answer.

        Requests are idempotent, so resending one is safe. A submission that an earlier leader may
        have received carries the field ``is_resent``.

        Args:
            request: The request.
            timeout_s: Limit for the whole call, in seconds.
            leader_wait_s: Time to wait for a leader before the request is first sent, in seconds.
            attempt_s: Limit for one leader's reply, in seconds; the request is then resent to
                whichever instance leads at that time.
            is_abandoned: Returns whether nobody waits for the reply any more.

        Returns:
            The reply; a ``NOT_DELIVERED`` failure when certainly no leader received the request;
            or a ``TIMED_OUT`` failure when its effect is unknown.
        """
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        body = request.to_bytes()
        is_sent = False
        while not is_abandoned():
            now = time.monotonic()
            is_first_submit = request.operation is Operation.SUBMIT and not is_sent
            wait_s = ELECTION_S if is_sent else leader_wait_s + started_at - now
            target = self._await_leader(min(deadline, now + wait_s))
            if target and is_first_submit and self._is_suspect:
                target = self._await_answer(deadline, leader_wait_s)
            remaining_s = deadline - time.monotonic()
            if not target or remaining_s <= 0:
                break
            if is_sent and request.operation is Operation.SUBMIT:
                body = request._replace(fields={**request.fields, "is_resent": True}).to_bytes()
            answer = self._attempt(target, body, min(remaining_s, attempt_s), is_abandoned)
            if isinstance(answer, Failure):
                is_sent = is_sent or answer.code is not ResultCode.NOT_DELIVERED
                if answer.code is ResultCode.NOT_DELIVERED:
                    self._drop_leader(target)
                _log_unanswered(request, target, answer.code, answer.reason, is_sent=is_sent)
                continue
            reply = Reply.from_bytes(answer)
            is_sent = is_sent or reply.code is ResultCode.CLAIM_UNKNOWN
            if reply.code in (ResultCode.NOT_LEADER, ResultCode.CLAIM_UNKNOWN):
                self._drop_leader(target)
                reason = reply.fields.get("reason", "")
                _log_unanswered(request, target, reply.code, reason, is_sent=is_sent)
                continue
            self._record_leader(target)
            if is_sent and request.operation is Operation.SUBMIT and reply.code in REFUSALS:
                # A refusal would mean that the job has not run, but an earlier leader may have
                # started it.
                get_logger().info(
                    "refusal_unproven",
                    job=request.fields["job"],
                    attempt=request.fields.get("attempt", ""),
                    leader=target,
                    code=reply.code.label,
                    reason=reply.fields.get("reason", ""),
                )
                break
            return reply
        if is_sent:
            return Failure(ResultCode.TIMED_OUT, "no answer of a leader")
        return Failure(ResultCode.NOT_DELIVERED, "no instance leads at present")

    def _attempt(
        self, target: str, body: bytes, timeout_s: float, is_abandoned: Callable[[], bool]
    ) -> bytes | Failure:
        """Send a request to one leader; stop waiting when it is lost or another one is found."""
        fut = self._channel.call(target, Topic.AUTHORITY, body, timeout_s=timeout_s)
        lost_since: float | None = None
        while True:
            try:
                return fut.result(timeout=CHECK_INTERVAL_S)
            except TimeoutError:
                now = time.monotonic()
            leader = self.leader
            lost_since = None if leader else lost_since or now
            is_lost = lost_since is not None and now - lost_since > ELECTION_S
            if is_lost or is_abandoned() or leader not in ("", target):
                return Failure(ResultCode.TIMED_OUT, "the leader was lost")

    def _await_leader(self, deadline: float) -> str:
        """Return the leader; an empty string when none is found until a time."""
        with self._leader_found:
            while not self.leader:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    return ""
                self._leader_found.wait(remaining_s)
            return self._leader

    @property
    def _is_suspect(self) -> bool:
        """Whether the leader has been silent for longer than a probe and its answer take."""
        return time.monotonic() - self._last_answer_at > SUSPECT_S

    def _await_answer(self, deadline: float, leader_wait_s: float) -> str:
        """Return the leader once one has answered; an empty string if it is lost before.

        Args:
            deadline: Time at which the call ends.
            leader_wait_s: Time to wait for another leader once this one is lost, in seconds.
        """
        with self._leader_found:
            lost_at = self._last_answer_at + LOST_S
            until = min(deadline, lost_at + leader_wait_s)
            while not self.leader or self._is_suspect:
                remaining_s = until - time.monotonic()
                if remaining_s <= 0:
                    return ""
                self._leader_found.wait(remaining_s)
            return self._leader

    def _probe(self) -> None:
        if not self.leader and not self._is_lost:
            self._lost_at = time.monotonic()
            self._is_lost = True
            get_logger().warning("leader_lost", leader=self._leader)
        body = Request(Operation.WHO_LEADS, {}).to_bytes()
        for target in self._probe_targets(time.monotonic()):
            fut = self._channel.call(target, Topic.AUTHORITY, body, timeout_s=PROBE_TIMEOUT_S)
            fut.add_done_callback(partial(self._on_probe, target))

    def _probe_targets(self, now: float) -> list[str]:
        """Return the instances to probe now."""
        everyone = list(dict.fromkeys((*self._contacts, *self._members)))
        leader = self.leader
        if not leader:
            return everyone
        targets: list[str] = []
        # Replies to requests show that it leads as well. Without this rule, a leader of a hundred
        # frontends answers 660 probes a second.
        if now - max(self._probed_at, self._last_answer_at) >= PROBE_INTERVAL_S:
            self._probed_at = now
            targets.append(leader)
        if now - self._last_answer_at > SUSPECT_S:
            targets += [peer for peer in everyone if peer != leader]
        return targets

    def _on_probe(self, target: str, fut: "Future[bytes | Failure]") -> None:
        answer = fut.result()
        if isinstance(answer, Failure):
            return
        try:
            reply = Reply.from_bytes(answer)
        except ValueError as exc:
            get_logger().warning("probe_malformed", peer=target, error=repr(exc))
            return
        # The leader may not be among the contacts, but its followers know its name.
        self._members = tuple(dict.fromkeys(reply.fields.get("members", ()))) or self._members
        if reply.code is ResultCode.ACCEPTED:
            self._record_leader(target)
        elif target == self._leader:
            self._drop_leader(target)

    def _record_leader(self, leader: str) -> None:
        with self._leader_found:
            if self._is_lost or leader != self._leader:
                get_logger().info("leader_found", leader=leader, before=self._leader)
            self._leader = leader
            self._last_answer_at = time.monotonic()
            self._is_lost = False
            self._leader_found.notify_all()

    def _drop_leader(self, leader: str) -> None:
        with self._leader_found:
            if leader == self._leader:
                self._last_answer_at = 0.0


def _log_unanswered(
    request: Request, leader: str, code: ResultCode, reason: str, *, is_sent: bool
) -> None:
    """Log that a submission got no decision from a leader.

    Args:
        request: The request; others than submissions leave no line.
        leader: The instance that was asked.
        code: Code of the failure or of the reply.
        reason: Its reason.
        is_sent: Whether this leader or an earlier one may have started the job.
    """
    if request.operation is Operation.SUBMIT:
        get_logger().info(
            "submit_not_decided",
            job=request.fields["job"],
            attempt=request.fields.get("attempt", ""),
            leader=leader,
            code=code.label,
            reason=reason,
            is_sent=is_sent,
        )


def authority_handler(
    handle_request: Callable[[Request], "Future[Reply]"],
) -> AsyncHandler:
    """Return the channel handler that decodes requests and passes them to ``handle_request``."""

    def handle(_sender: str, body: bytes) -> "Future[bytes]":
        done: Future[bytes] = Future()
        try:
            request = Request.from_bytes(body)
        except (ValueError, TypeError) as exc:
            done.set_result(Reply(ResultCode.MALFORMED, {"reason": repr(exc)}).to_bytes())
            return done
        handle_request(request).add_done_callback(partial(_encode_reply, done))
        return done

    return handle


def _encode_reply(done: "Future[bytes]", fut: "Future[Reply]") -> None:
    """Complete a future with the encoded reply, or with one that says that the outcome is unknown.

    A failed handler would be asked again at once, as often as the time of the call allows.
    """
    try:
        body = fut.result().to_bytes()
    except Exception as exc:
        get_logger().error("reply_failed", error=repr(exc))
        body = Reply(ResultCode.TIMED_OUT, {"reason": repr(exc)}).to_bytes()
    done.set_result(body)
