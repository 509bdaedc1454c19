"""Slots in use by grants, and the times at which they lapse."""

import heapq
from collections import OrderedDict
from collections.abc import Mapping

from kumquatlift.configuration.document import Kind
from kumquatlift.scheduling.demand import Demand
from kumquatlift.scheduling.runner_pool import RunnerState, RunningRequest

GRANT_VOID_S = 1.0
"""Time after which a grant that was not reported as started becomes void. It exceeds the time that
requesters have, to allow for the delay of the message."""
LEASE_MARGIN_S = 1.0
"""Allowance for message delays that is added to the lease of a request."""
_MAX_VOIDED = 1024
"""Largest number of void grants that are kept, in case they are reported as started late."""


class SlotUse:
    """The use of one slot by one grant.

    Args:
        demand: Demand that the grant serves.
        runner: Runner that the slot belongs to.
        expected_s: Expected run time on an average runner, in seconds.
    """

    __slots__ = (
        "demand",
        "expected_s",
        "is_requester_unreachable",
        "lapses_at",
        "runner",
        "started_at",
    )

    def __init__(self, *, demand: Demand, runner: RunnerState, expected_s: float) -> None:
        self.demand = demand
        self.runner = runner
        self.expected_s = expected_s
        self.lapses_at = 0.0
        self.started_at = 0.0
        # If true, a missing report of the end says nothing about the runner.
        self.is_requester_unreachable = False


class SlotsInUse:
    """The slots in use, by grant id; a slot that is not released in time lapses."""

    def __init__(self) -> None:
        self._uses: dict[str, SlotUse] = {}
        self._lapses: list[tuple[float, str]] = []
        self._voided: OrderedDict[str, SlotUse] = OrderedDict()
        self._by_team: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._uses)

    def used_by(self, team: str) -> int:
        """Return the number of slots that a team uses."""
        return self._by_team.get(team, 0)

    def occupy(self, grant_id: str, use: SlotUse, now: float) -> None:
        """Occupy a slot for a new grant, which becomes void unless it is started in time."""
        self._occupy(grant_id, use)
        self._set_lapse(grant_id, use, now + GRANT_VOID_S)

    def start(self, grant_id: str, kinds: Mapping[str, Kind], now: float) -> None:
        """Record that the request of a grant was sent; its lease starts now."""
        use = self._uses.get(grant_id)
        if use is None:
            use = self._voided.pop(grant_id, None)
            if use is None:
                return
            # The report of the start was late, but the slot is in use.
            self._occupy(grant_id, use)
        kind = kinds.get(use.demand.kind)
        lease_s = (kind.lease_ms if kind else 10_000) / 1000
        use.started_at = now
        use.runner.started(grant_id, now)
        self._set_lapse(grant_id, use, now + lease_s + LEASE_MARGIN_S)

    def mark_requester_unreachable(self, requester: str) -> bool:
        """Expect no reports from a requester; the slots of its requests lapse with their leases.

        Returns:
            Whether any running request was marked that was not marked before.
        """
        uses = [
            (grant_id, use)
            for grant_id, use in self._uses.items()
            if use.demand.requester == requester
            and use.started_at
            and not use.is_requester_unreachable
        ]
        for grant_id, use in uses:
            use.is_requester_unreachable = True
            use.runner.exclude_from_stall_check(grant_id)
        return bool(uses)

    def release(self, grant_id: str) -> SlotUse | None:
        """Free the slot of a grant, or discard a void grant.

        Returns:
            The use that ended; None if the grant occupied no slot.
        """
        use = self._uses.pop(grant_id, None)
        if use is None:
            self._voided.pop(grant_id, None)
            return None
        del use.runner.running[grant_id]
        team = use.demand.team
        self._by_team[team] -= 1
        if not self._by_team[team]:
            del self._by_team[team]
        return use

    def lapse(self, now: float) -> list[tuple[str, SlotUse]]:
        """Free the slots that lapse by now; grants that were not started become void.

        Returns:
            Grant ids with their uses, in the order in which they lapsed.
        """
        lapsed = []
        while self._lapses and self._lapses[0][0] <= now:
            item = heapq.heappop(self._lapses)
            if not self._is_current(item):
                continue
            use = self.release(item[1])
            assert use is not None
            if not use.started_at:
                self._voided[item[1]] = use
                if len(self._voided) > _MAX_VOIDED:
                    self._voided.popitem(last=False)
            lapsed.append((item[1], use))
        return lapsed

    def next_lapse_at(self) -> float:
        """Return when the next slot lapses, in monotonic seconds; infinity if none is in use."""
        while self._lapses and not self._is_current(self._lapses[0]):
            heapq.heappop(self._lapses)
        return self._lapses[0][0] if self._lapses else float("inf")

    def _occupy(self, grant_id: str, use: SlotUse) -> None:
        self._uses[grant_id] = use
        use.runner.running[grant_id] = RunningRequest(use.expected_s, 0.0)
        team = use.demand.team
        self._by_team[team] = self._by_team.get(team, 0) + 1

    def _set_lapse(self, grant_id: str, use: SlotUse, at: float) -> None:
        use.lapses_at = at
        heapq.heappush(self._lapses, (at, grant_id))
        if len(self._lapses) > 64 + 4 * len(self._uses):
            self._lapses = [item for item in self._lapses if self._is_current(item)]
            heapq.heapify(self._lapses)

    def _is_current(self, item: tuple[float, str]) -> bool:
        use = self._uses.get(item[1])
        return use is not None and use.lapses_at == item[0]
