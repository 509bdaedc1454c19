"""Replicas of other entry processes' ledgers: appends, fences, takeover and repair copies."""

import threading

from kumquatlift.clock import Clock
from kumquatlift.jobs.claim import AnswerBudget, Batch, Claim, LedgerLimits, Standing
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger import LedgerCopy
from kumquatlift.jobs.ledger_frame import Append, AppendReply, AppendStatus, Place
from kumquatlift.jobs.repair import Repair
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members
from kumquatlift.transport.channel import Channel, Topic


class Copies:
    """The backup side of the ledgers of other entry processes.

    Args:
        channel: Channel to the other entry processes.
        members: Membership view.
        clock: Monotonic clock.
        limits: Bounds; may be replaced at any time.
        repair: Makes further replicas of ledgers whose writer is lost.
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
        self._copies: dict[LedgerId, LedgerCopy] = {}
        self._answers = AnswerBudget(max_bytes=limits.max_answer_bytes)
        self._notices: list[LedgerId] = []
        channel.handle(Topic.LEDGER_APPEND, self._on_append)
        channel.handle(Topic.LEDGER_COPY, self._on_copy)

    def standing(self, place: Place) -> tuple[Standing, Claim | None]:
        """Tell what is known about an id without changing anything."""
        with self._lock:
            copy = self._copies.get(place.ledger)
            if copy is None:
                return Standing.NO_RECORD, None
            return copy.standing(place.key, self._clock.now()), copy.claims.get(place.key)

    def take_over(
        self, place: Place, digest: bytes, deadline_at: float, *, adopt: bool
    ) -> tuple[Standing, Claim | None]:
        """Fence a ledger and, if the id is free then, adopt it when told to.

        Returns:
            What was known after the fence. ``FREE`` with ``adopt`` means that the caller is now the
            only process that may claim the id.
        """
        with self._lock:
            now = self._clock.now()
            copy = self._copies.get(place.ledger)
            if copy is None or copy.is_repair:
                return self.standing(place)
            if copy.fence(now):
                self._notices.append(copy.id)
            standing = copy.standing(place.key, now)
            if standing is Standing.FREE and adopt:
                copy.adopt(place.key, digest, deadline_at)
            return standing, copy.claims.get(place.key)

    def find(self, text: str) -> Place | None:
        """Return the copy in which an adopted id is claimed, if there is one here."""
        with self._lock:
            return next(
                (Place(c.id, text) for c in self._copies.values() if text in c.claims), None
            )

    def tick(self) -> None:
        """Tell writers about fences, start repairs and forget expired copies."""
        now = self._clock.now()
        live = {member.name for member in self._members.live()}
        with self._lock:
            notices, self._notices = self._notices, []
            for copy in list(self._copies.values()):
                if copy.is_expired(now, self.limits):
                    self._forget(copy)
                elif not copy.is_repair and (copy.is_fenced or copy.id.writer not in live):
                    self._repair.start(copy.id, lambda copy=copy: self._snapshot(copy))  # type: ignore[misc]
        for ledger in notices:
            get_logger().warning("ledger_fenced", ledger=str(ledger))
            self._channel.send(ledger.writer, Topic.LEDGER_FENCE, str(ledger).encode())

    def summary(self) -> dict[str, object]:
        """Return counts for the state dump."""
        with self._lock:
            copies = list(self._copies.values())
            return {
                "copies": len(copies),
                "claims": sum(len(copy.claims) for copy in copies),
                "fenced": sum(copy.is_fenced for copy in copies),
                "repair": sum(copy.is_repair for copy in copies),
                "answer_bytes": self._answers.used,
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
            copy = self._copies.get(ledger)
            if copy is None:
                status = self._may_open(frame, is_repair=is_repair)
                if status is not AppendStatus.TAKEN:
                    return AppendReply(status).to_bytes()
                copy = LedgerCopy(id=ledger, is_repair=is_repair, touched_at=now)
                self._copies[ledger] = copy
            refused, ended = copy.append(frame.batch, now)
            for claim in ended:
                self._answers.keep(claim)
            fenced = copy.is_fenced
        if not is_repair:
            taken = [r for i, r in enumerate(frame.batch.records) if i not in refused]
            self._repair.add(ledger, Batch(taken, frame.batch.seal and not fenced))
        return AppendReply(AppendStatus.TAKEN, fenced, refused).to_bytes()

    def _may_open(self, frame: Append, *, is_repair: bool) -> AppendStatus:
        # A request meant for an earlier run of this process must not open an empty copy: ids that
        # the earlier run knew would look free.
        if not is_repair and frame.opens != self._members.me.incarnation:
            return AppendStatus.NO_COPY
        held = sum(len(copy.claims) for copy in self._copies.values())
        return AppendStatus.FULL if held >= self.limits.max_held else AppendStatus.TAKEN

    def _snapshot(self, copy: LedgerCopy) -> Batch:
        with self._lock:
            return Batch(copy.records(), copy.is_sealed)

    def _forget(self, copy: LedgerCopy) -> None:
        del self._copies[copy.id]
        self._answers.forget(set(copy.claims.values()))
        self._repair.stop(copy.id)
