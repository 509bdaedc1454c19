"""Owner side of the slot protocol: a scheduler for each service and zone that this process owns."""

import threading
from collections.abc import Callable
from typing import Any

from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Document
from kumquatlift.failure import Failure
from kumquatlift.scheduling.service_slots import ServiceSlots
from kumquatlift.scheduling.slot_messages import NO_LOAD, SlotDemands, SlotGrants, SlotRefusal
from kumquatlift.upstreams.announcement import Announcement, AnnouncementAnswer

Deliver = Callable[[str, SlotGrants], None]
"""Sends a message to the named requester; must not block."""


class SlotOwner:
    """Grants the slots of all services and zones that this process owns.

    Args:
        token: Owner token that runners echo: name and incarnation of this process.
        document: Returns the configuration in force.
        deliver: Sends a message to a requester.
        clock: Source of time.
        section: Section of the blackboard for this owner.
    """

    def __init__(
        self,
        *,
        token: str,
        document: Callable[[], Document],
        deliver: Deliver,
        clock: Clock,
        section: Section,
    ) -> None:
        self._token = token
        self._document = document
        self._deliver = deliver
        self._clock = clock
        self._lock = threading.Lock()
        self._services: dict[tuple[str, str], ServiceSlots] = {}
        section.publish(self._snapshot)

    def announce(
        self, ann: Announcement, *, is_released: bool = False
    ) -> AnnouncementAnswer | Failure:
        """Apply an announcement of a runner that this process owns.

        Args:
            ann: The announcement.
            is_released: Whether the previous owner, which the runner echoes, has stopped granting.
        """
        key = (ann.service, ann.zone)
        now = self._clock.now()
        with self._lock:
            slots = self._get(key)
            if slots is None:
                return Failure(ResultCode.UNKNOWN_SERVICE, f"{ann.service} is not configured")
            answer = slots.announce(ann, now, is_released=is_released)
        self._grant_and_deliver(key)
        return answer

    def release(self, ann: Announcement) -> None:
        """Stop granting a runner's slots, which another process owns now."""
        with self._lock:
            slots = self._services.get((ann.service, ann.zone))
            if slots is not None:
                slots.release(ann.runner, self._clock.now())

    def apply(self, requester: str, msg: SlotDemands) -> None:
        """Apply a requester's message and deliver the resulting grants and refusals."""
        key = (msg.service, msg.zone)
        now = self._clock.now()
        with self._lock:
            slots = self._get(key)
            if slots is None:
                failure = Failure(ResultCode.UNKNOWN_SERVICE, f"{msg.service} is not configured")
                refused = [SlotRefusal(demand.id, failure) for demand in msg.demands]
            else:
                refused = slots.apply(requester, msg, now)
        reply_to = requester if msg.full or msg.requests_load else None
        self._grant_and_deliver(key, reply_to, {requester: refused} if refused else {})

    def tick(self) -> None:
        """Drop runners and requesters without recent messages, and grant free slots."""
        now = self._clock.now()
        with self._lock:
            keys = list(self._services)
            for slots in self._services.values():
                slots.expire(now)
        for key in keys:
            self._grant_and_deliver(key)

    def reconfigure(self, doc: Document) -> None:
        """Apply a new configuration; drop the state of services that it does not contain."""
        with self._lock:
            for key in list(self._services):
                if key[0] in doc.services:
                    self._services[key].reconfigure(doc)
                else:
                    del self._services[key]

    def _get(self, key: tuple[str, str]) -> ServiceSlots | None:
        if key not in self._services:
            doc = self._document()
            service, zone = key
            if service not in doc.services:
                return None
            self._services[key] = ServiceSlots(
                service=service, zone=zone, doc=doc, owner=self._token
            )
        return self._services[key]

    def _grant_and_deliver(
        self,
        key: tuple[str, str],
        reply_to: str | None = None,
        refused: dict[str, list[SlotRefusal]] | None = None,
    ) -> None:
        """Grant free slots and deliver the messages, without holding the lock during delivery."""
        refused = refused or {}
        now = self._clock.now()
        with self._lock:
            slots = self._services.get(key)
            grants = {} if slots is None else slots.poll(now)
            requesters = {*grants, *refused, *([reply_to] if reply_to else [])}
            load = slots.load(now) if slots is not None and requesters else NO_LOAD
            sent_at = {
                requester: slots.last_sent_at(requester) if slots is not None else 0.0
                for requester in requesters
            }
        for requester in requesters:
            msg = SlotGrants(
                *key,
                tuple(grants.get(requester, ())),
                tuple(refused.get(requester, ())),
                load,
                sent_at[requester],
            )
            self._deliver(requester, msg)

    def _snapshot(self) -> dict[str, Any]:
        now = self._clock.now()
        with self._lock:
            services = {
                f"{service}@{zone}": slots.snapshot(now)
                for (service, zone), slots in sorted(self._services.items())
            }
        return {"services": services}
