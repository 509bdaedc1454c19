"""What a requester of slots has asked for, and what the owners have not been told yet."""

from kumquatlift.failure import Failure
from kumquatlift.scheduling.slot_messages import SlotCancel, SlotDemand, SlotFinish
from kumquatlift.scheduling.slot_source import SlotListener


class OpenDemand:
    """A demand that is not fully granted: open counts by zone, and zones that refused it."""

    def __init__(
        self, *, service: str, demand: SlotDemand, listener: SlotListener, asked_at: float
    ) -> None:
        self.service = service
        self.demand = demand
        self.listener = listener
        self.asked_at = asked_at
        self.deadline_at = asked_at + demand.deadline_s
        self.by_zone: dict[str, int] = {}
        self.refused: dict[str, Failure] = {}

    def at(self, zone: str, now: float) -> SlotDemand:
        """Return the demand as one zone sees it now."""
        return self.demand._replace(
            count=self.by_zone[zone],
            deadline_s=max(0.0, self.deadline_at - now),
            waited_s=now - self.asked_at,
        )


class OwnerChanges:
    """What a place's owner has not been told yet."""

    def __init__(self) -> None:
        self.demands: list[str] = []
        self.cancelled: list[SlotCancel] = []
        self.finished: list[SlotFinish] = []
        self.full = False
        self.asks_load = False
