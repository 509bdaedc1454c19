"""Interface through which a dispatcher requests slots for its jobs."""

from typing import NamedTuple, Protocol

from kumquatlift.failure import Failure
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.slot_messages import SlotDemand

PoolKey = tuple[str, str]
"""Service and availability zone of a pool of slots."""


class GrantedSlot(NamedTuple):
    """A slot that this process may use until ``use_by``, in monotonic seconds."""

    id: str
    pool: PoolKey
    runner: str
    address: str
    use_by: float


class SlotListener(Protocol):
    """Receives grants and refusals of a demand."""

    def slot_granted(self, slot: GrantedSlot) -> None:
        """Handle a granted slot; must not block."""

    def slots_refused(self, count: int, failure: Failure) -> None:
        """Handle that no zone accepts this many requests of the demand."""


class SlotSource(Protocol):
    """Source of slots for a dispatcher."""

    def request(self, service: str, demand: SlotDemand, listener: SlotListener) -> None:
        """Request slots; the listener is called for each grant or a refusal."""

    def cancel(self, demand_id: str) -> None:
        """Withdraw the open requests of a demand."""

    def finish(self, slot: GrantedSlot, outcome: AttemptOutcome, run_s: float) -> None:
        """Return a slot with the outcome and the run time in seconds."""
