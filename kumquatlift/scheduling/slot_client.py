"""Requester side of the slot protocol: requests slots from owners, uses grants, returns slots."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members, owner_of
from kumquatlift.scheduling.open_demands import OpenDemand, OwnerChanges
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.service_slots import OUTCOMES
from kumquatlift.scheduling.slot_messages import (
    SlotCancel,
    SlotDemand,
    SlotDemands,
    SlotFinish,
    SlotGrants,
)
from kumquatlift.scheduling.slot_source import GrantedSlot, PoolKey, SlotListener
from kumquatlift.scheduling.slots_in_use import LEASE_MARGIN_S
from kumquatlift.scheduling.zone_choice import ZoneLoad, choose_moves, choose_zones
from kumquatlift.scheduling.zone_loads import ZoneLoads
from kumquatlift.transport.channel import Channel, Topic

# The owner revokes a grant that is not used within 1 s. The shorter time here allows for the delay
# of the grant message.
GRANT_USABLE_S = 0.7
# A grant is valid for this long after the last message that its owner had received from this
# process. So a grant that lay in a buffer while this process was suspended is not used. The owner
# frees the slot this long after the lease has ended. While requests wait, owners get a message
# every REBALANCE_INTERVAL_S, which keeps new grants valid.
GRANT_VALID_S = LEASE_MARGIN_S
STATE_INTERVAL_S = 1.0
# Interval at which, while requests wait, loads are requested and requests move between zones.
REBALANCE_INTERVAL_S = 0.25
# State messages for a service stop this long after its last request, once no request is open and no
# slot is in use.
SERVICE_IDLE_S = 30.0
# A withdrawn demand that has waited this long is logged with the known state of every zone. Most
# demands are granted within 0.1 s, so that these log lines are rare.
LONG_WAIT_S = 1.0


class SlotClient:
    """Requests slots for this process and keeps track of the grants.

    Changes for an owner are collected while an earlier message is being sent, so that bursts need
    few messages. Every second, each owner gets the whole state, which makes up for lost messages
    and brings a new owner up to date.

    Args:
        members: Membership view.
        channel: Messages to other entry processes.
        apply_locally: Applies a message to this process's own ``SlotOwner``.
        message_weight: Returns the weight of messages against response time for a service.
        clock: Source of time.
        section: Section of the blackboard for this client.
    """

    def __init__(
        self,
        *,
        members: Members,
        channel: Channel,
        apply_locally: Callable[[str, SlotDemands], None],
        message_weight: Callable[[str], float],
        clock: Clock,
        section: Section,
    ) -> None:
        self._members = members
        self._channel = channel
        self._apply_locally = apply_locally
        self._message_weight = message_weight
        self._clock = clock
        self._section = section
        self._lock = threading.Lock()
        self._open: dict[str, OpenDemand] = {}
        self._held: dict[str, GrantedSlot] = {}
        self._changes: dict[PoolKey, OwnerChanges] = {}
        self._loads = ZoneLoads(members=members, clock=clock)
        self._last_request_at: dict[str, float] = {}
        self._changed = threading.Event()
        self._closed = False
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="slots")
        # A single worker preserves the order of an owner's messages.
        channel.handle(Topic.SLOTS_GRANT, self._handle_grants, workers=1)
        section.publish(self._snapshot)

    def start(self) -> None:
        """Start the thread that sends changes as they occur."""
        self._executor.submit(self._flush_loop)

    def request(self, service: str, demand: SlotDemand, listener: SlotListener) -> None:
        """Request slots; the listener is called for each grant or a refusal."""
        now = self._clock.now()
        entry = OpenDemand(service=service, demand=demand, listener=listener, requested_at=now)
        with self._lock:
            self._last_request_at[service] = now
            self._open[demand.id] = entry
            self._place(entry, demand.count)
        self._changed.set()

    def cancel(self, demand_id: str) -> None:
        """Withdraw the open requests of a demand."""
        with self._lock:
            entry = self._open.pop(demand_id, None)
            if entry is None:
                return
            for zone, count in entry.by_zone.items():
                if count > 0:
                    self._changes_for((entry.service, zone)).cancelled.append(SlotCancel(demand_id))
            waited_s = self._clock.now() - entry.requested_at
            zones = self._describe(entry) if waited_s >= LONG_WAIT_S else ""
        self._changed.set()
        if zones:
            get_logger().warning(
                "demand_withdrawn",
                demand=demand_id,
                service=entry.service,
                waited_s=round(waited_s, 2),
                zones=zones,
            )

    def finish(self, slot: GrantedSlot, outcome: AttemptOutcome, run_s: float) -> None:
        """Return a slot with the outcome and the run time in seconds."""
        with self._lock:
            if self._held.pop(slot.id, None) is None:
                return
            row = SlotFinish(slot.id, OUTCOMES.index(outcome), run_s)
            self._changes_for(slot.pool).finished.append(row)
        self._changed.set()

    def accept_grants(self, msg: SlotGrants) -> None:
        """Apply an owner's message and call the listeners."""
        now = self._clock.now()
        pool = (msg.service, msg.zone)
        use_by = min(now + GRANT_USABLE_S, msg.last_sent_at + GRANT_VALID_S)
        granted: list[tuple[SlotListener, GrantedSlot]] = []
        refused: list[tuple[SlotListener, int, Failure]] = []
        with self._lock:
            self._loads.record_load(pool, msg.load)
            for grant in msg.grants:
                slot = GrantedSlot(grant.id, pool, grant.runner, grant.address, use_by)
                listener = self._accept_grant(grant.demand, slot)
                if listener is not None:
                    granted.append((listener, slot))
            for refusal in msg.refused:
                unserved = self._place_elsewhere(refusal.demand, msg.zone, refusal.failure)
                if unserved is not None:
                    refused.append((*unserved, refusal.failure))
        self._changed.set()
        for listener, slot in granted:
            try:
                listener.slot_granted(slot)
            except Exception as exc:
                # A failing listener must not keep the other grants of the message from theirs.
                get_logger().error("grant_failed", slot=slot.id, error=repr(exc), exc_info=True)
                self.finish(slot, AttemptOutcome.UNUSED, 0.0)
        for listener, count, failure in refused:
            listener.slots_refused(count, failure)

    def send_state(self) -> None:
        """Send the whole state to the owners of every service that had recent requests."""
        now = self._clock.now()
        with self._lock:
            zones = self._loads.zones()
            for service, since in list(self._last_request_at.items()):
                is_used = any(demand.service == service for demand in self._open.values())
                is_used = is_used or any(slot.pool[0] == service for slot in self._held.values())
                if not is_used and now - since > SERVICE_IDLE_S:
                    del self._last_request_at[service]
                    continue
                for zone in zones:
                    self._changes_for((service, zone)).full = True
        self._changed.set()

    def rebalance(self) -> None:
        """Move waiting requests between zones, and request the loads for the next time."""
        now = self._clock.now()
        with self._lock:
            waiting = [
                entry
                for entry in self._open.values()
                if now - entry.requested_at >= REBALANCE_INTERVAL_S
            ]
            for entry in waiting:
                self._rebalance(entry)
            for service in {entry.service for entry in waiting}:
                for zone in self._loads.zones():
                    self._changes_for((service, zone)).requests_load = True
        self._changed.set()

    def load(self, service: str) -> dict[str, ZoneLoad]:
        """Return the last known load of a service by zone."""
        with self._lock:
            return self._loads.of_service(service)

    def close(self) -> None:
        """Stop the sending thread."""
        self._closed = True
        self._changed.set()
        self._executor.shutdown(wait=False)

    def _changes_for(self, pool: PoolKey) -> OwnerChanges:
        return self._changes.setdefault(pool, OwnerChanges())

    def _place(self, entry: OpenDemand, count: int) -> bool:
        """Distribute requests over the zones that have not refused the demand.

        Returns:
            Whether there is such a zone; False if all have refused.
        """
        own = self._members.me.zone
        open_zones = self._usable_zones(entry, self._loads.zones() | {own})
        if not open_zones:
            return False
        if own not in open_zones and not any(load.slots for load in open_zones.values()):
            # The own zone, the fallback, has refused. The other zones may get slots later.
            entry.unplaced += count
            return True
        weight = self._message_weight(entry.service)
        for zone, part in choose_zones(count, own, open_zones, weight).items():
            if part > 0:
                self._assign(entry, zone, part)
        return True

    def _assign(self, entry: OpenDemand, zone: str, count: int) -> None:
        entry.by_zone[zone] = entry.by_zone.get(zone, 0) + count
        self._changes_for((entry.service, zone)).demands.append(entry.demand.id)
        self._loads.record_placement((entry.service, zone), count)

    def _usable_zones(self, entry: OpenDemand, zones: set[str]) -> dict[str, ZoneLoad]:
        now = self._clock.now()
        loads = {
            zone: self._loads.load_at((entry.service, zone))
            for zone in zones
            if not entry.is_refused(zone, now)
        }
        if entry.is_near_deadline(now):
            # Most of the demands that wait there have a later deadline and are served later.
            loads = {zone: load._replace(queued=0) for zone, load in loads.items()}
        return loads

    def _rebalance(self, entry: OpenDemand) -> None:
        """Move requests that wait in one zone while another zone has free slots.

        This corrects the first distribution: the loads were up to a second old, and a zone may
        have lost its runners since.
        """
        unplaced, entry.unplaced = entry.unplaced, 0
        if unplaced and not self._place(entry, unplaced):
            entry.unplaced = unplaced
        usable = self._usable_zones(entry, self._loads.zones())
        waiting = {zone: count for zone, count in entry.by_zone.items() if count > 0}
        unresponsive = {
            zone: count
            for zone, count in waiting.items()
            if self._loads.is_unresponsive((entry.service, zone))
        }
        if unresponsive and any(load.slots for load in usable.values()):
            moves = unresponsive
        else:
            moves = choose_moves(
                waiting,
                usable,
                self._message_weight(entry.service),
                goes_first=entry.is_near_deadline(self._clock.now()),
            )
        for zone, count in moves.items():
            entry.by_zone[zone] -= count
            change = self._changes_for((entry.service, zone))
            change.cancelled.append(SlotCancel(entry.demand.id, count))
            self._section.count("moved", count)
        if moves:
            self._place(entry, sum(moves.values()))

    def _describe(self, entry: OpenDemand) -> str:
        """Return the open requests of a demand and the known load by zone, for the log."""
        parts = []
        for zone in sorted(self._loads.zones() | set(entry.by_zone)):
            pool = (entry.service, zone)
            load = self._loads.load_at(pool)
            state = "silent" if self._loads.is_unresponsive(pool) else "heard"
            state = "refused" if entry.is_refused(zone, self._clock.now()) else state
            parts.append(
                f"{zone}:open={entry.by_zone.get(zone, 0)},free={load.free},"
                f"queued={load.queued},slots={load.slots},{state}"
            )
        return ";".join([*parts, f"unplaced={entry.unplaced}"])

    def _accept_grant(self, demand_id: str, slot: GrantedSlot) -> SlotListener | None:
        entry = self._open.get(demand_id)
        zone = slot.pool[1]
        if entry is None or entry.by_zone.get(zone, 0) <= 0:
            row = SlotFinish(slot.id, OUTCOMES.index(AttemptOutcome.UNUSED), 0.0)
            self._changes_for(slot.pool).finished.append(row)
            return None
        entry.by_zone[zone] -= 1
        if entry.has_no_open_requests:
            del self._open[demand_id]
        self._held[slot.id] = slot
        return entry.listener

    def _place_elsewhere(
        self, demand_id: str, zone: str, failure: Failure
    ) -> tuple[SlotListener, int] | None:
        """Move a refused demand to another zone.

        Returns:
            The listener and the number of its requests to refuse, if no zone accepts them; None
            otherwise.
        """
        entry = self._open.get(demand_id)
        if entry is None:
            return None
        count = entry.by_zone.pop(zone, 0)
        entry.record_refusal(zone, failure, self._clock.now())
        get_logger().info(
            "demand_refused",
            demand=demand_id,
            zone=zone,
            count=count,
            reason=failure.reason,
            retry_after_ms=failure.retry_after_ms,
        )
        if count == 0 or self._place(entry, count):
            return None
        count, entry.unplaced = count + entry.unplaced, 0
        if entry.has_no_open_requests:
            del self._open[demand_id]
        return entry.listener, count

    def _handle_grants(self, _sender: str, body: bytes) -> None:
        self.accept_grants(SlotGrants.from_bytes(body))

    def _flush_loop(self) -> None:
        while not self._closed:
            self._changed.wait()
            self._changed.clear()
            try:
                self.flush()
            except Exception as exc:
                get_logger().error("slots_flush_failed", error=repr(exc), exc_info=True)

    def flush(self) -> None:
        """Send the changes since the last call."""
        with self._lock:
            changes, self._changes = self._changes, {}
            messages = [self._message(pool, change) for pool, change in changes.items()]
        for msg in messages:
            self._send(msg)

    def _message(self, pool: PoolKey, change: OwnerChanges) -> SlotDemands:
        service, zone = pool
        now = self._clock.now()
        ids = change.demands
        held: tuple[str, ...] = ()
        if change.full or change.requests_load:
            self._loads.record_load_request(pool)
        if change.full:
            ids = [key for key, demand in self._open.items() if demand.service == service]
            held = tuple(key for key, slot in self._held.items() if slot.pool == pool)
        demands = tuple(
            self._open[key].for_zone(zone, now)
            for key in dict.fromkeys(ids)
            if key in self._open and self._open[key].by_zone.get(zone, 0) > 0
        )
        return SlotDemands(
            service,
            zone,
            demands,
            tuple(change.cancelled),
            tuple(change.finished),
            change.full,
            held,
            change.requests_load,
            self._loads.total_slots(service) if change.full else 0,
            now,
        )

    def _send(self, msg: SlotDemands) -> None:
        owner = slot_owner_of(msg.service, msg.zone, self._members)
        if owner is None:
            return
        if owner == self._members.me.name:
            self._apply_locally(owner, msg)
            return
        self._section.count("messages_sent")
        self._channel.send(owner, Topic.SLOTS_DEMAND, msg.to_bytes())

    def _snapshot(self) -> dict[str, Any]:
        with self._lock:
            return {
                "open": len(self._open),
                "held": len(self._held),
                "loads": self._loads.snapshot(),
            }


def slot_owner_of(service: str, zone: str, members: Members) -> str | None:
    """Return the name of the entry process that owns a service's slots in a zone.

    The slots of a zone without a live entry process are owned by one in another zone.
    """
    candidates = members.live(zone) or members.live()
    owner = owner_of(f"{service}@{zone}", candidates)
    return None if owner is None else owner.name
