"""Loads of the zones as known to a requester of slots, and unresponsive owners."""

from typing import Any

from kumquatlift.clock import Clock
from kumquatlift.membership.members import Members
from kumquatlift.scheduling.slot_messages import NO_LOAD
from kumquatlift.scheduling.slot_source import PoolKey
from kumquatlift.scheduling.zone_choice import ZoneLoad

# An owner that has not replied to a load request for this long is treated as unable to send grants.
UNRESPONSIVE_AFTER_S = 1.5
# Assumed one-way message delay between zones.
ZONE_DELAY_S = 0.001


class ZoneLoads:
    """Last reported load of each pool; the caller serializes the calls.

    Args:
        members: Membership view.
        clock: Source of time.
    """

    def __init__(self, *, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._loads: dict[PoolKey, ZoneLoad] = {}
        self._unanswered: dict[PoolKey, float] = {}

    def record_load(self, pool: PoolKey, load: ZoneLoad) -> None:
        """Record the load that an owner reported."""
        self._loads[pool] = load
        self._unanswered.pop(pool, None)

    def record_load_request(self, pool: PoolKey) -> None:
        """Record that the load of a pool is requested from its owner."""
        self._unanswered.setdefault(pool, self._clock.now())

    def record_placement(self, pool: PoolKey, count: int) -> None:
        """Add requests that are sent to a pool to its load, until its owner reports again."""
        load = self._loads.get(pool)
        if load is not None:
            self._loads[pool] = load.after(count)

    def zones(self) -> set[str]:
        """Return the zones with live entry processes."""
        return {member.zone for member in self._members.live()}

    def load_at(self, pool: PoolKey) -> ZoneLoad:
        """Return the load of a pool; without slots if unknown or if the owner is unresponsive."""
        load = NO_LOAD if self.is_unresponsive(pool) else self._loads.get(pool, NO_LOAD)
        delay_s = 0.0 if pool[1] == self._members.me.zone else ZONE_DELAY_S
        return load._replace(delay_s=delay_s)

    def is_unresponsive(self, pool: PoolKey) -> bool:
        """Whether the owner of a pool has left a load request unanswered for too long."""
        requested_at = self._unanswered.get(pool)
        return requested_at is not None and self._clock.now() - requested_at > UNRESPONSIVE_AFTER_S

    def of_service(self, service: str) -> dict[str, ZoneLoad]:
        """Return the last reported loads of a service by zone."""
        return {zone: load for (name, zone), load in self._loads.items() if name == service}

    def total_slots(self, service: str) -> int:
        """Return the total slots of a service in all zones with a known load."""
        return sum(load.slots for load in self.of_service(service).values())

    def snapshot(self) -> dict[str, Any]:
        """Return the loads for the state dump."""
        return {f"{name}@{zone}": load._asdict() for (name, zone), load in self._loads.items()}
