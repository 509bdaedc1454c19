"""Tests of the fair queue: order compared with a sorted list, shares, aging and cancellation."""

from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.scheduling.fair_queue import AGING_INTERVAL_GRANTS, AGING_S, Entry, FairQueue


def entry(
    name: str, *, rank: int = 1, team: str = "", remaining: int = 1, due: float = 9.0
) -> Entry[str]:
    return Entry(
        item=name, rank=rank, team=team, remaining=remaining, deadline_at=due, waiting_since=0.0
    )


def drain(queue: FairQueue[str], count: int, now: float = 0.0, share: float = 1.0) -> list[str]:
    names = []
    for _ in range(count):
        head = queue.peek(lambda team: True, now)
        if head is None:
            break
        names.append(head.item)
        queue.take(head, cost=1.0, share=2.0 if head.team == "double" else share)
    return names


class TestOrder:
    """Guards against demands that are served in the wrong order."""

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.booleans()), max_size=200))
    def test_rank_then_deadline_like_a_sorted_list(self, rows: list[tuple[int, int, bool]]) -> None:
        queue: FairQueue[str] = FairQueue()
        kept = []
        for number, (rank, due, is_cancelled) in enumerate(rows):
            item = entry(str(number), rank=rank, due=due)
            queue.push(item)
            if is_cancelled:
                assert queue.remove(item) == 1
            else:
                kept.append((rank, due, number))
        assert queue.queued == len(kept)
        assert drain(queue, len(rows) + 1) == [str(number) for _, _, number in sorted(kept)]
        assert queue.queued == 0

    def test_teams_get_their_shares(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.push(entry("a", team="single", remaining=300, due=1.0))
        queue.push(entry("b", team="double", remaining=300))
        names = drain(queue, 30)
        assert names.count("b") == 20

    def test_idle_team_gets_no_credit(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.push(entry("a", team="busy", remaining=300))
        drain(queue, 100)
        queue.push(entry("b", team="late", remaining=300))
        assert drain(queue, 20).count("a") >= 9

    def test_deferred_entries_are_skipped_until_they_are_restored(self) -> None:
        queue: FairQueue[str] = FairQueue()
        first = entry("a", due=1.0)
        queue.push(first)
        queue.push(entry("b", due=2.0))
        queue.defer(first)
        assert drain(queue, 1) == ["b"]
        queue.restore_deferred()
        assert drain(queue, 1) == ["a"]

    def test_deferred_oldest_demand_is_not_duplicated(self) -> None:
        """A demand chosen by aging may be deferred while it is not at the top of its heap."""
        queue: FairQueue[str] = FairQueue()
        old = entry("old", rank=3, remaining=5)
        queue.push(old)
        queue.push(entry("urgent", rank=0, remaining=100))
        drain(queue, AGING_INTERVAL_GRANTS, now=AGING_S)
        for _ in range(10):
            assert queue.peek(lambda team: True, AGING_S) is old
            queue.defer(old)
            queue.restore_deferred()
        assert len(queue._heaps[3][""]) == 1


class TestAging:
    """Guards against starvation of demands with low urgency."""

    def test_old_demand_gets_every_sixteenth_grant(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.push(entry("old", rank=3, remaining=10))
        queue.push(entry("urgent", rank=0, remaining=1000))
        names = drain(queue, 10 * (AGING_INTERVAL_GRANTS + 1), now=AGING_S)
        assert names.count("old") == 10
        assert names[:AGING_INTERVAL_GRANTS] == ["urgent"] * AGING_INTERVAL_GRANTS


class TestCancellation:
    """Guards against memory that is not freed after many cancellations."""

    def test_many_cancellations_leave_few_entries_in_the_heaps(self) -> None:
        queue: FairQueue[str] = FairQueue()
        entries = [entry(str(number)) for number in range(5000)]
        for item in entries:
            queue.push(item)
        for item in entries[1:]:
            queue.remove(item)
        assert queue.queued == len(queue) == 1
        assert sum(len(heap) for heaps in queue._heaps.values() for heap in heaps.values()) < 200
        assert drain(queue, 2) == ["0"]
