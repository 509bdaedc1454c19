"""Where a dispatcher gets its slots: the interface between jobs and slots."""

from typing import NamedTuple, Protocol

from kumquatlift.failure import Failure
from kumquatlift.scheduling.scheduler import AttemptOutcome
from kumquatlift.scheduling.slot_messages import SlotDemand

PoolKey = tuple[str, str]
"""Service and availability zone."""


class GrantedSlot(NamedTuple):
    """A slot that this process may use until ``use_by``, in monotonic seconds."""

    id: str
    pool: PoolKey
    runner: str
    address: str
    use_by: float


class SlotListener(Protocol):
    """Whoever asked for slots."""

    def slot_granted(self, slot: GrantedSlot) -> None:
        """Take a slot; must not block."""

    def slots_refused(self, count: int, failure: Failure) -> None:
        """Learn that no zone takes a demand for this many slots."""


class SlotSource(Protocol):
    """Where a dispatcher gets its slots."""

    def request(self, service: str, demand: SlotDemand, listener: SlotListener) -> None:
        """Ask for slots; the listener hears of each."""

    def cancel(self, demand_id: str) -> None:
        """Withdraw what is still open of a demand."""

    def finish(self, slot: GrantedSlot, outcome: AttemptOutcome, run_s: float) -> None:
        """Give a slot back."""
