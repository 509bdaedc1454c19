"""Messages of the slot protocol between requesters and owners, and their encoding."""

from typing import NamedTuple

from kumquatlift._schema import load_schema
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.scheduling.zone_choice import FreeSlots, ZoneLoad


class SlotDemand(NamedTuple):
    """A request for slots.

    Args:
        id: Id, unique within the requester.
        kind: Request kind.
        team: Team that is charged; empty for none.
        count: Number of slots requested.
        urgency: Rank of the kind's urgency; 0 is served first.
        deadline_s: Seconds until the deadline.
        expected_s: Declared run time of one request, in seconds.
        waited_s: Seconds that the demand has waited so far, here or in another zone.
    """

    id: str
    kind: str
    team: str
    # Named as in the Cap'n Proto schema; shadows the method tuple.count.
    count: int  # type: ignore[assignment]
    urgency: int
    deadline_s: float
    expected_s: float
    waited_s: float = 0.0


class SlotCancel(NamedTuple):
    """Withdrawal of ``amount`` slots of a demand; 0 withdraws the whole demand."""

    demand: str
    amount: int = 0


class SlotFinish(NamedTuple):
    """A returned slot: position of the outcome in ``AttemptOutcome``, and run time in seconds."""

    grant: str
    outcome: int
    run_s: float


class SlotDemands(NamedTuple):
    """Message to an owner: changes since the last message or, with ``full``, the whole state.

    Args:
        service: Service name.
        zone: Availability zone of the runners.
        demands: New demands; with ``full``, all open ones with their open counts.
        cancelled: Demands withdrawn, whole or in part.
        finished: Slots returned.
        full: Whether this is the whole state, so that the owner drops every demand and grant that
            is not listed.
        held: With ``full``, ids of the grants that the requester holds.
        requests_load: Whether the owner replies with the load even if it grants nothing. It always
            replies to a message with ``full``.
        total_slots: With ``full``, the known slots of the service in all zones, from which each
            zone derives its share of the team quotas; 0 if unknown.
        sent_at: Send time in monotonic seconds of the requester's clock; the owner's replies echo
            it.
    """

    service: str
    zone: str
    demands: tuple[SlotDemand, ...] = ()
    cancelled: tuple[SlotCancel, ...] = ()
    finished: tuple[SlotFinish, ...] = ()
    full: bool = False
    held: tuple[str, ...] = ()
    requests_load: bool = False
    total_slots: int = 0
    sent_at: float = 0.0

    def to_bytes(self) -> bytes:
        """Encode as a Cap'n Proto message."""
        msg = load_schema("scheduling/slots").SlotDemands.new_message(
            service=self.service,
            zone=self.zone,
            full=self.full,
            asksLoad=self.requests_load,
            totalSlots=self.total_slots,
            sentMs=int(self.sent_at * 1000),
        )
        for row, demand in zip(msg.init("demands", len(self.demands)), self.demands, strict=True):
            row.id, row.kind, row.team = demand.id, demand.kind, demand.team
            row.count, row.urgency = demand.count, demand.urgency
            row.deadlineMs = max(0, int(demand.deadline_s * 1000))
            row.expectedMs = int(demand.expected_s * 1000)
            row.waitedMs = int(demand.waited_s * 1000)
        rows = msg.init("cancelled", len(self.cancelled))
        for row, cancel in zip(rows, self.cancelled, strict=True):
            row.demand, row.count = cancel.demand, cancel.amount
        msg.held = list(self.held)
        for row, finish in zip(
            msg.init("finished", len(self.finished)), self.finished, strict=True
        ):
            row.grant, row.outcome, row.runMs = finish.grant, finish.outcome, finish.run_s * 1000
        return bytes(msg.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes) -> "SlotDemands":
        """Decode the result of ``to_bytes``.

        Raises:
            Exception: An error of the Cap'n Proto library if the bytes are not such a message.
        """
        with load_schema("scheduling/slots").SlotDemands.from_bytes(data) as msg:
            demands = tuple(
                SlotDemand(
                    row.id,
                    row.kind,
                    row.team,
                    row.count,
                    row.urgency,
                    row.deadlineMs / 1000,
                    row.expectedMs / 1000,
                    row.waitedMs / 1000,
                )
                for row in msg.demands
            )
            finished = tuple(
                SlotFinish(row.grant, row.outcome, row.runMs / 1000) for row in msg.finished
            )
            return cls(
                msg.service,
                msg.zone,
                demands,
                tuple(SlotCancel(row.demand, row.count) for row in msg.cancelled),
                finished,
                msg.full,
                tuple(msg.held),
                msg.asksLoad,
                msg.totalSlots,
                msg.sentMs / 1000,
            )


class SlotGrant(NamedTuple):
    """Permission to use one slot of a runner."""

    id: str
    demand: str
    runner: str
    address: str


class SlotRefusal(NamedTuple):
    """A demand that the owner refuses, with the reason."""

    demand: str
    failure: Failure


NO_LOAD = ZoneLoad(free=0, queued=0, slots=0, expected_s=0.0, delay_s=0.0)
"""Load of a zone that has not reported."""


class SlotGrants(NamedTuple):
    """Message to a requester: grants, refused demands and the load of the zone.

    Args:
        service: Service name.
        zone: Availability zone of the runners.
        grants: New grants.
        refused: Refused demands.
        load: Load of the zone.
        last_sent_at: ``sent_at`` of the last message that the owner received from the requester.
    """

    service: str
    zone: str
    grants: tuple[SlotGrant, ...] = ()
    refused: tuple[SlotRefusal, ...] = ()
    load: ZoneLoad = NO_LOAD
    last_sent_at: float = 0.0

    def to_bytes(self) -> bytes:
        """Encode as a Cap'n Proto message."""
        msg = load_schema("scheduling/slots").SlotGrants.new_message(
            service=self.service, zone=self.zone, heardMs=int(self.last_sent_at * 1000)
        )
        for row, grant in zip(msg.init("grants", len(self.grants)), self.grants, strict=True):
            row.id, row.demand, row.runner, row.address = grant
        for row, refusal in zip(msg.init("refused", len(self.refused)), self.refused, strict=True):
            row.demand, row.code = refusal.demand, int(refusal.failure.code)
            row.reason = refusal.failure.reason
            row.retryAfterMs = refusal.failure.retry_after_ms
        load = msg.init("load")
        load.slots, load.free, load.queued = self.load.slots, self.load.free, self.load.queued
        load.expectedMs = self.load.expected_s * 1000
        groups = load.init("freeSlots", len(self.load.free_slots))
        for row, group in zip(groups, self.load.free_slots, strict=True):
            row.count, row.runMs = group.count, group.run_s * 1000
        return bytes(msg.to_bytes())

    @classmethod
    def from_bytes(cls, data: bytes) -> "SlotGrants":
        """Decode the result of ``to_bytes``.

        Raises:
            Exception: An error of the Cap'n Proto library if the bytes are not such a message.
        """
        with load_schema("scheduling/slots").SlotGrants.from_bytes(data) as msg:
            grants = tuple(
                SlotGrant(row.id, row.demand, row.runner, row.address) for row in msg.grants
            )
            refused = tuple(
                SlotRefusal(row.demand, Failure(ResultCode(row.code), row.reason, row.retryAfterMs))
                for row in msg.refused
            )
            groups = tuple(
                FreeSlots(group.count, group.runMs / 1000) for group in msg.load.freeSlots
            )
            load = ZoneLoad(
                free=msg.load.free,
                queued=msg.load.queued,
                slots=msg.load.slots,
                expected_s=msg.load.expectedMs / 1000,
                delay_s=0.0,
                free_slots=groups,
            )
            return cls(msg.service, msg.zone, grants, refused, load, msg.heardMs / 1000)
