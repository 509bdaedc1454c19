"""Replicas of other entry processes' ledgers: appends, fences, takeovers and repairs."""

import threading

from kumquatlift.clock import Clock
from kumquatlift.jobs.claim import AnswerBudget, Claim, IdStatus, LedgerLimits, RecordBatch
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger import LedgerReplica
from kumquatlift.jobs.ledger_frame import Append, AppendReply, AppendStatus, ClaimLocation
from kumquatlift.jobs.repair import Repair
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic


class LedgerReplicas:
    """Stores replicas of other entry processes' ledgers, as their backup or for a repair.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        clock: Monotonic clock.
        limits: Limits of the replicas; may be replaced at any time.
        repair: Adds a replica, at another process, of each ledger whose writer is lost.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        members: Members,
        clock: Clock,
        limits: LedgerLimits,
        repair: Repair,
    ) -> None:
        self.limits = limits
        self._channel = channel
        self._members = members
        self._clock = clock
        self._repair = repair
        self._lock = threading.RLock()
        self._replicas: dict[LedgerId, LedgerReplica] = {}
        self._answers = AnswerBudget(max_bytes=limits.max_answer_bytes)
        self._fence_notices: list[LedgerId] = []
        channel.handle(Topic.LEDGER_APPEND, self._on_append)
        channel.handle(Topic.LEDGER_COPY, self._on_copy)

    def status(self, location: ClaimLocation) -> tuple[IdStatus, Claim | None]:
        """Return what is known about an id, and its claim, without changing anything."""
        with self._lock:
            replica = self._replicas.get(location.ledger)
            if replica is None:
                return IdStatus.NO_RECORD, None
            return replica.status(location.key, self._clock.now()), replica.claims.get(location.key)

    def take_over(
        self, location: ClaimLocation, digest: bytes, deadline_at: float, *, adopt: bool
    ) -> tuple[IdStatus, Claim | None]:
        """Fence a ledger and, with ``adopt``, adopt the id if it is still free.

        Returns:
            The status of the id after the fence, and its claim. ``FREE`` with ``adopt`` means that
            this process is now the only one that may claim the id.
        """
        with self._lock:
            now = self._clock.now()
            replica = self._replicas.get(location.ledger)
            if replica is None or replica.is_repair:
                return self.status(location)
            if replica.fence(now):
                self._fence_notices.append(replica.id)
            status = replica.status(location.key, now)
            if status is IdStatus.FREE and adopt:
                replica.adopt(location.key, digest, deadline_at)
            return status, replica.claims.get(location.key)

    def find(self, text: str) -> ClaimLocation | None:
        """Return the location of an adopted id's claim, if one of the replicas holds it."""
        with self._lock:
            return next(
                (
                    ClaimLocation(each.id, text)
                    for each in self._replicas.values()
                    if text in each.claims
                ),
                None,
            )

    def tick(self) -> None:
        """Notify writers of fences, start repairs and drop expired replicas."""
        now = self._clock.now()
        live = {member.name for member in self._members.live()}
        with self._lock:
            notices, self._fence_notices = self._fence_notices, []
            for replica in list(self._replicas.values()):
                if replica.is_expired(now, self.limits):
                    self._remove_replica(replica)
                elif not replica.is_repair and (replica.is_fenced or replica.id.writer not in live):
                    self._repair.start(replica.id, lambda replica=replica: self._snapshot(replica))  # type: ignore[misc]
        for ledger in notices:
            get_logger().warning("ledger_fenced", ledger=str(ledger))
            self._channel.send(ledger.writer, Topic.LEDGER_FENCE, str(ledger).encode())

    def summary(self) -> dict[str, object]:
        """Return counts for the state dump."""
        with self._lock:
            replicas = list(self._replicas.values())
            return {
                "copies": len(replicas),
                "claims": sum(len(replica.claims) for replica in replicas),
                "fenced": sum(replica.is_fenced for replica in replicas),
                "repair": sum(replica.is_repair for replica in replicas),
                "answer_bytes": self._answers.used_bytes,
            }

    def _on_append(self, sender: str, body: bytes) -> bytes:
        return self._append(body, is_repair=False)

    def _on_copy(self, sender: str, body: bytes) -> bytes:
        return self._append(body, is_repair=True)

    def _append(self, body: bytes, *, is_repair: bool) -> bytes:
        now = self._clock.now()
        frame = Append.from_bytes(body, now)
        ledger = LedgerId.parse(frame.ledger)
        if not isinstance(ledger, LedgerId):
            return AppendReply(AppendStatus.NO_COPY).to_bytes()
        with self._lock:
            replica = self._replicas.get(ledger)
            if replica is None:
                status = self._check_open(frame, is_repair=is_repair)
                if status is not AppendStatus.TAKEN:
                    return AppendReply(status).to_bytes()
                replica = LedgerReplica(id=ledger, is_repair=is_repair, changed_at=now)
                self._replicas[ledger] = replica
            refused, ended = replica.append(frame.batch, now)
            for claim in ended:
                self._answers.track(claim)
            fenced = replica.is_fenced
        if not is_repair:
            accepted = [r for i, r in enumerate(frame.batch.records) if i not in refused]
            self._repair.add(ledger, RecordBatch(accepted, frame.batch.seal and not fenced))
        return AppendReply(AppendStatus.TAKEN, fenced, refused).to_bytes()

    def _check_open(self, frame: Append, *, is_repair: bool) -> AppendStatus:
        # A message for a previous incarnation of this process must not open an empty replica: ids
        # that the previous incarnation knew as claimed would look free.
        if not is_repair and frame.opens != self._members.me.incarnation:
            return AppendStatus.NO_COPY
        held = sum(len(replica.claims) for replica in self._replicas.values())
        return AppendStatus.FULL if held >= self.limits.max_total_claims else AppendStatus.TAKEN

    def _snapshot(self, replica: LedgerReplica) -> RecordBatch:
        with self._lock:
            return RecordBatch(replica.records(), replica.is_sealed)

    def _remove_replica(self, replica: LedgerReplica) -> None:
        del self._replicas[replica.id]
        self._answers.untrack(set(replica.claims.values()))
        self._repair.stop(replica.id)
