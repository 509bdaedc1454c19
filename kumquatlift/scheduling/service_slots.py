"""The slots of one service in one zone: leases of the runners, demands and grants."""

from typing import Any, NamedTuple

from kumquatlift.configuration.document import Document
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, RunnerOffer, Scheduler
from kumquatlift.scheduling.slot_messages import (
    SlotCancel,
    SlotDemand,
    SlotDemands,
    SlotFinish,
    SlotGrant,
    SlotRefusal,
)
from kumquatlift.scheduling.zone_choice import ZoneLoad
from kumquatlift.upstreams.announcement import (
    NEW_OWNER_RENEW_MS,
    RENEW_MS,
    Announcement,
    AnnouncementAnswer,
)

# An owner grants slots of a runner for at most this long after the last answer that the runner has
# echoed. A new owner waits as long, so that two owners never grant at the same time, even if the
# previous owner's process was suspended.
OWNER_LEASE_S = 2.0
# After the previous owner has released a runner, the wait covers only its grants that are still in
# flight to requesters.
RELEASED_WAIT_S = 1.0
# Requesters send their whole state every second. After two missing messages, reports of ended
# requests may be missing as well; after the timeout, the demands of the requester are dropped.
REQUESTER_UNREACHABLE_S = 2.0
REQUESTER_TIMEOUT_S = 5.0
# A grant younger than this may not have reached the requester when it sent its state.
GRANT_IN_FLIGHT_S = 1.0
OUTCOMES = tuple(AttemptOutcome)


class _Registration(NamedTuple):
    """Last announcement of a runner, and the leases that follow from it.

    Args:
        announcement: The announcement.
        last_contact_at: When it arrived, in monotonic seconds.
        lease_started_at: When the answer was given that the runner echoes. The owner lease counts
            from then, so that an announcement delayed in a buffer does not extend it.
        grants_start_at: When the lease of the previous owner has ended, in monotonic seconds.
    """

    announcement: Announcement
    last_contact_at: float
    lease_started_at: float
    grants_start_at: float


class _HeldGrant(NamedTuple):
    requester: str
    granted_at: float


class _OpenDemand(NamedTuple):
    requester: str
    remaining: int
    granted_at: float


class ServiceSlots:
    """The slots of one service in one zone.

    Args:
        service: Service name.
        zone: Availability zone of the runners.
        doc: Configuration in force.
        owner: Owner token of this process: name and incarnation.
    """

    def __init__(self, *, service: str, zone: str, doc: Document, owner: str) -> None:
        self._service = service
        self._zone = zone
        self._owner = owner
        # Requesters hold grants of several owners, so the ids must be unique across owners.
        self._scheduler = Scheduler(
            service=doc.services[service],
            teams=doc.teams,
            grant_prefix=f"{owner}/{service}@{zone}/",
        )
        self._runners: dict[str, _Registration] = {}
        self._held: dict[str, _HeldGrant] = {}
        self._open: dict[str, _OpenDemand] = {}
        self._last_contact_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self._next_lapse_at = float("inf")

    def reconfigure(self, doc: Document) -> None:
        """Apply a new configuration."""
        self._scheduler.reconfigure(doc.services[self._service], doc.teams)

    def announce(
        self, ann: Announcement, now: float, *, is_released: bool = False
    ) -> AnnouncementAnswer:
        """Apply a runner's announcement, and offer its slots once this process may grant them.

        The runner echoes the owner token of the last answer. Slots are granted only while the
        echo names this process, so that one owner at a time grants slots of a runner.

        Args:
            ann: The announcement.
            now: Monotonic seconds.
            is_released: Whether the previous owner has stopped granting.
        """
        issued_at = self._issued_at(ann.owner)
        known = self._runners.get(ann.runner)
        is_new_incarnation = known is None or known.announcement.incarnation != ann.incarnation
        has_other_owner = ann.owner != "" and issued_at is None
        if is_new_incarnation:
            get_logger().info(
                "runner_announced", runner=ann.runner, service=ann.service, zone=ann.zone
            )
        if has_other_owner:
            # This holds for a known runner as well: another process may have become the owner while
            # this one was suspended.
            grants_start_at = now + (RELEASED_WAIT_S if is_released else OWNER_LEASE_S)
        else:
            grants_start_at = now if known is None or is_new_incarnation else known.grants_start_at
        is_confirmed = issued_at is not None and now - issued_at < OWNER_LEASE_S
        lease_started_at = issued_at if issued_at is not None else now - OWNER_LEASE_S
        self._runners[ann.runner] = _Registration(ann, now, lease_started_at, grants_start_at)
        if is_confirmed and now >= grants_start_at:
            self._scheduler.offer(_offer(ann), now)
        self._next_lapse_at = min(self._next_lapse_at, lease_started_at + OWNER_LEASE_S)
        renew_ms = RENEW_MS if is_confirmed else NEW_OWNER_RENEW_MS
        return AnnouncementAnswer(f"{self._owner}.{int(now * 1000)}", renew_ms)

    def release(self, runner: str, now: float) -> None:
        """Stop granting a runner's slots, which another process owns now."""
        if self._runners.pop(runner, None) is not None:
            self._scheduler.withdraw(runner, now)

    def apply(self, requester: str, msg: SlotDemands, now: float) -> list[SlotRefusal]:
        """Apply a requester's message.

        Returns:
            Refusals of demands.
        """
        self._last_contact_at[requester] = now
        self._sent_at[requester] = msg.sent_at
        for finish in msg.finished:
            self._finish(finish, now)
        for cancel in msg.cancelled:
            self._reduce(cancel, now)
        if msg.full:
            self._reconcile(requester, msg, now)
            self._scheduler.set_total_slots(msg.total_slots)
        return [
            SlotRefusal(demand.id, failure)
            for demand in msg.demands
            if (failure := self._enqueue(requester, demand, now)) is not None
        ]

    def poll(self, now: float) -> dict[str, list[SlotGrant]]:
        """Grant free slots to waiting demands.

        Returns:
            New grants by requester.
        """
        if now >= self._next_lapse_at:
            # A suspended process that resumes handles buffered messages before its timers, so the
            # leases must be checked here, not by a timer.
            self._withdraw_lapsed_runners(now)
        grants: dict[str, list[SlotGrant]] = {}
        for grant in self._scheduler.poll(now):
            self._scheduler.started(grant.id, now)
            self._held[grant.id] = _HeldGrant(grant.requester, now)
            demand = self._open.get(grant.demand_id)
            if demand is not None:
                self._open[grant.demand_id] = _OpenDemand(
                    demand.requester, demand.remaining - 1, now
                )
            row = SlotGrant(grant.id, grant.demand_id, grant.runner, grant.address)
            grants.setdefault(grant.requester, []).append(row)
        return grants

    def expire(self, now: float) -> None:
        """Drop runners and requesters that have sent no message for too long."""
        for name, reg in list(self._runners.items()):
            if now - reg.last_contact_at > OWNER_LEASE_S:
                get_logger().warning("runner_lost", runner=name, service=self._service)
                self.release(name, now)
        for requester, last_contact_at in list(self._last_contact_at.items()):
            if now - last_contact_at > REQUESTER_UNREACHABLE_S:
                self._scheduler.mark_requester_unreachable(requester)
            if now - last_contact_at > REQUESTER_TIMEOUT_S:
                del self._last_contact_at[requester]
                self._sent_at.pop(requester, None)
                self._drop_demands(requester, set(), now)

    def _withdraw_lapsed_runners(self, now: float) -> None:
        """Withdraw the slots of runners whose owner lease has lapsed."""
        self._next_lapse_at = float("inf")
        for name, reg in self._runners.items():
            lapses_at = reg.lease_started_at + OWNER_LEASE_S
            if now >= lapses_at:
                self._scheduler.withdraw(name, now)
            else:
                self._next_lapse_at = min(self._next_lapse_at, lapses_at)

    def _issued_at(self, echo: str) -> float | None:
        """Return when this process gave the echoed answer; None if another process gave it."""
        owner, _, issued_ms = echo.rpartition(".")
        if owner != self._owner or not issued_ms.isdecimal():
            return None
        return int(issued_ms) / 1000

    def load(self, now: float) -> ZoneLoad:
        """Return the load by which other zones choose a zone."""
        return self._scheduler.zone_load(now)

    def last_sent_at(self, requester: str) -> float:
        """Return the send time of a requester's last message, in monotonic seconds of its clock."""
        return self._sent_at.get(requester, 0.0)

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the state for the state dump."""
        runners = {
            name: {
                "worker": reg.announcement.worker,
                "address": reg.announcement.address,
                "state": "leaving" if reg.announcement.leaving else "serving",
                "heard_s": round(now - reg.last_contact_at, 3),
                "granting": now >= reg.grants_start_at,
            }
            for name, reg in sorted(self._runners.items())
        }
        return {**self._scheduler.snapshot(now), "announced": runners, "held": len(self._held)}

    def _enqueue(self, requester: str, demand: SlotDemand, now: float) -> Failure | None:
        known = self._open.get(demand.id)
        if known is not None:
            is_in_flight = now - known.granted_at < GRANT_IN_FLIGHT_S
            if is_in_flight or known.remaining >= demand.count:
                return None
            # Grants of this demand were lost in transit: queue it again with the open count.
            self._cancel(demand.id, now)
        failure = self._scheduler.enqueue(
            Demand(
                id=demand.id,
                requester=requester,
                service=self._service,
                kind=demand.kind,
                team=demand.team,
                count=demand.count,
                urgency=demand.urgency,
                deadline_at=now + demand.deadline_s,
                expected_s=demand.expected_s,
                waited_s=demand.waited_s,
            ),
            now,
        )
        if failure is None:
            self._open[demand.id] = _OpenDemand(requester, demand.count, 0.0)
        return failure

    def _reduce(self, cancel: SlotCancel, now: float) -> None:
        known = self._open.get(cancel.demand)
        if known is None or not 0 < cancel.amount < known.remaining:
            self._cancel(cancel.demand, now)
            return
        self._scheduler.cancel(cancel.demand, now, cancel.amount)
        self._open[cancel.demand] = known._replace(remaining=known.remaining - cancel.amount)

    def _cancel(self, demand_id: str, now: float) -> None:
        if self._open.pop(demand_id, None) is not None:
            self._scheduler.cancel(demand_id, now)

    def _finish(self, finish: SlotFinish, now: float) -> None:
        if self._held.pop(finish.grant, None) is not None:
            self._scheduler.finish(finish.grant, OUTCOMES[finish.outcome], finish.run_s, now)

    def _reconcile(self, requester: str, msg: SlotDemands, now: float) -> None:
        """Drop demands and grants that the requester does not list, as after lost messages."""
        self._drop_demands(requester, {demand.id for demand in msg.demands}, now)
        held = set(msg.held)
        for grant_id, grant in list(self._held.items()):
            is_in_flight = now - grant.granted_at < GRANT_IN_FLIGHT_S
            if grant.requester == requester and grant_id not in held and not is_in_flight:
                self._finish(SlotFinish(grant_id, OUTCOMES.index(AttemptOutcome.UNUSED), 0.0), now)

    def _drop_demands(self, requester: str, keep: set[str], now: float) -> None:
        for demand_id, demand in list(self._open.items()):
            if demand.requester == requester and demand_id not in keep:
                self._cancel(demand_id, now)


def _offer(ann: Announcement) -> RunnerOffer:
    return RunnerOffer(
        runner=ann.runner,
        incarnation=ann.incarnation,
        address=ann.address,
        worker=ann.worker,
        slots=ann.slots,
        connections=ann.connections,
        busy=ann.busy,
        is_leaving=ann.leaving,
    )
