"""Queue of waiting demands, ordered by urgency, fair share of the teams and deadline."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

AGING_S = 2.0
"""Waiting time after which a demand may be chosen by the aging rule."""
AGING_INTERVAL_GRANTS = 16
"""Aging rule: one grant after this many others goes to the longest-waiting demand. This prevents
starvation and takes at most 6 % of the slots from urgent work."""
_MIN_STALE_TO_COMPACT = 64
"""Smallest number of stale heap items that triggers a compaction."""

T = TypeVar("T")


class Entry(Generic[T]):
    """A waiting demand.

    Args:
        item: The caller's own object.
        rank: Rank of the urgency; 0 is served first.
        team: Team that is charged.
        remaining: Number of requests that still wait; 0 once the entry is removed.
        deadline_at: Deadline by which entries are ordered, in monotonic seconds.
        waiting_since: Start of the wait, in monotonic seconds.
    """

    __slots__ = (
        "deadline_at",
        "is_deferred",
        "item",
        "number",
        "rank",
        "remaining",
        "team",
        "waiting_since",
    )

    def __init__(
        self,
        *,
        item: T,
        rank: int,
        team: str,
        remaining: int,
        deadline_at: float,
        waiting_since: float,
    ) -> None:
        self.item = item
        self.rank = rank
        self.team = team
        self.remaining = remaining
        self.deadline_at = deadline_at
        self.waiting_since = waiting_since
        self.number = 0
        self.is_deferred = False

    @property
    def key(self) -> tuple[float, int]:
        """Sort key within one team and rank."""
        return (self.deadline_at, self.number)


class FairQueue(Generic[T]):
    """Priority queue that divides slots between teams by start-time fair queueing.

    Each request taken advances the virtual time of its team by cost / share, and the team with the
    lowest virtual time is served next. A removed entry stays in its heap as a stale item until it
    reaches the top or the heaps are compacted, so that a cancellation takes constant time on
    average.
    """

    def __init__(self) -> None:
        self.queued = 0
        self._heaps: dict[int, dict[str, list[tuple[float, int, Entry[T]]]]] = {}
        self._waiting: dict[str, OrderedDict[int, Entry[T]]] = {}
        self._queued_by_team: dict[str, int] = {}
        self._queued_by_rank: dict[int, int] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_time = 0.0
        self._last_number = 0
        self._stale_heap_items = 0
        self._grants_since_oldest = 0
        self._deferred: list[Entry[T]] = []
        self._deferred_off_heap: list[Entry[T]] = []

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._waiting.values())

    def queued_by_team(self, team: str) -> int:
        """Return the number of waiting requests of a team."""
        return self._queued_by_team.get(team, 0)

    def queued_up_to(self, rank: int) -> int:
        """Return the number of requests that wait at this rank or a more urgent one."""
        return sum(count for other, count in self._queued_by_rank.items() if other <= rank)

    def push(self, entry: Entry[T]) -> None:
        """Add an entry; within a team and rank, order is by deadline, then by arrival."""
        self._last_number += 1
        entry.number = self._last_number
        waiting = self._waiting.setdefault(entry.team, OrderedDict())
        if not waiting:
            # An idle team does not accumulate credit.
            self._virtual_times[entry.team] = max(
                self._virtual_times.get(entry.team, 0.0), self._virtual_time
            )
        waiting[entry.number] = entry
        self._push_heap(entry)
        self._adjust_counts(entry, entry.remaining)

    def remove(self, entry: Entry[T]) -> int:
        """Remove an entry.

        Returns:
            The number of requests that were still waiting.
        """
        remaining = entry.remaining
        if remaining:
            self._adjust_counts(entry, -remaining)
            entry.remaining = 0
            self._remove_waiting(entry)
            self._stale_heap_items += 1
            if self._stale_heap_items > _MIN_STALE_TO_COMPACT and self._stale_heap_items > len(
                self
            ):
                self._compact()
        return remaining

    def reduce(self, entry: Entry[T], count: int) -> int:
        """Remove at most ``count`` requests of an entry.

        Returns:
            The number of requests removed.
        """
        if count >= entry.remaining:
            return self.remove(entry)
        entry.remaining -= count
        self._adjust_counts(entry, -count)
        return count

    def peek(self, is_allowed: Callable[[str], bool], now: float) -> Entry[T] | None:
        """Return the next entry to serve that is not deferred, or None.

        Args:
            is_allowed: Whether requests of a team may be served now.
            now: Monotonic seconds.
        """
        if self._grants_since_oldest >= AGING_INTERVAL_GRANTS:
            oldest = self._oldest(is_allowed, now)
            if oldest is not None:
                return oldest
        for rank in sorted(self._heaps):
            heads = [
                (self._virtual_times[team], head.key, head)
                for team in list(self._heaps[rank])
                if (head := self._head(rank, team)) is not None and is_allowed(team)
            ]
            if heads:
                return min(heads, key=lambda item: item[:2])[2]
        return None

    def take(self, entry: Entry[T], *, cost: float, share: float) -> None:
        """Take one request from an entry that ``peek`` returned.

        Args:
            entry: The entry.
            cost: Expected run time of the request, in seconds.
            share: Share of the entry's team.
        """
        oldest = self._oldest(lambda team: True, float("inf"))
        self._grants_since_oldest = 0 if entry is oldest else self._grants_since_oldest + 1
        self._virtual_time = self._virtual_times[entry.team]
        self._virtual_times[entry.team] += cost / share
        entry.remaining -= 1
        self._adjust_counts(entry, -1)
        if not entry.remaining:
            self._remove_waiting(entry)
            self._stale_heap_items += 1

    def defer(self, entry: Entry[T]) -> None:
        """Skip an entry in ``peek`` until ``restore_deferred`` is called."""
        entry.is_deferred = True
        self._deferred.append(entry)

    def restore_deferred(self) -> None:
        """Make all deferred entries available to ``peek`` again."""
        for entry in self._deferred:
            entry.is_deferred = False
        for entry in self._deferred_off_heap:
            self._push_heap(entry)
        self._deferred.clear()
        self._deferred_off_heap.clear()

    def snapshot(self) -> Mapping[str, object]:
        """Return counts for the state dump."""
        return {
            "queued": self.queued,
            "by_team": {team: n for team, n in self._queued_by_team.items() if n},
            "by_rank": {rank: n for rank, n in sorted(self._queued_by_rank.items()) if n},
        }

    def _head(self, rank: int, team: str) -> Entry[T] | None:
        heap = self._heaps[rank][team]
        while heap and (not heap[0][2].remaining or heap[0][2].is_deferred):
            entry = heapq.heappop(heap)[2]
            if entry.remaining:
                self._deferred_off_heap.append(entry)
            else:
                self._stale_heap_items -= 1
        if heap:
            return heap[0][2]
        del self._heaps[rank][team]
        return None

    def _oldest(self, is_allowed: Callable[[str], bool], now: float) -> Entry[T] | None:
        firsts = [
            next(iter(waiting.values()))
            for team, waiting in self._waiting.items()
            if waiting and is_allowed(team)
        ]
        oldest = min(firsts, key=lambda entry: entry.number, default=None)
        if oldest is None or oldest.is_deferred or now - oldest.waiting_since < AGING_S:
            return None
        return oldest

    def _push_heap(self, entry: Entry[T]) -> None:
        heap = self._heaps.setdefault(entry.rank, {}).setdefault(entry.team, [])
        heapq.heappush(heap, (entry.deadline_at, entry.number, entry))

    def _remove_waiting(self, entry: Entry[T]) -> None:
        waiting = self._waiting[entry.team]
        del waiting[entry.number]
        if not waiting:
            del self._waiting[entry.team]

    def _adjust_counts(self, entry: Entry[T], change: int) -> None:
        self.queued += change
        self._queued_by_team[entry.team] = self._queued_by_team.get(entry.team, 0) + change
        self._queued_by_rank[entry.rank] = self._queued_by_rank.get(entry.rank, 0) + change

    def _compact(self) -> None:
        self._heaps.clear()
        self._stale_heap_items = 0
        for waiting in self._waiting.values():
            for entry in waiting.values():
                if not entry.is_deferred:
                    self._push_heap(entry)
