"""The maintained offers against a plain walk over all upstreams, on random histories."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatlift.authority._commands import TaskKey, UpstreamState
from kumquatlift.authority._fleet import Resources, Run, Upstream
from kumquatlift.authority._offer_index import OfferIndex
from kumquatlift.authority._placement import (
    OffersBySpeed,
    UpstreamOffer,
    WaitingTask,
    choose,
    fits,
    run_ms,
)

SERVICES = ("s", "t")
NAMES = ("u0", "u1", "u2", "u3", "u4")


def state_of(name: str, *, service: str = "s", cpu_milli: int = 16_000) -> UpstreamState:
    return UpstreamState(name, 1, "10.0.0.1:1", service, "z", cpu_milli, 32_768, 0, ("a",), False)


def plain_offers(
    fleet: dict[str, Upstream], now: float, least_milli: int
) -> dict[str, dict[str, UpstreamOffer]]:
    """Return the offers by service and identity from a walk over all upstreams."""
    found: dict[str, dict[str, UpstreamOffer]] = {}
    for upstream in fleet.values():
        free, state = upstream.offered(now), upstream.state
        is_full = free.cpu_milli <= 0 and free.memory_mb <= 0
        if is_full or free.cpu_milli < least_milli or not upstream.is_usable(now):
            continue
        offer = UpstreamOffer(
            state.upstream_id, *free, upstream.speed, state.labels, state.rack, upstream.failures
        )
        found.setdefault(state.service, {})[state.upstream_id] = offer
    return found


class History:
    """A fleet that random steps change, with its index."""

    def __init__(self) -> None:
        self.now = 100.0
        self.fleet: dict[str, Upstream] = {}
        self.index = OfferIndex(fleet=self.fleet)
        self.tasks = 0
        for number, name in enumerate(NAMES):
            self.add(name, number)

    def add(self, name: str, value: int) -> None:
        state = state_of(name, service=SERVICES[value % 2], cpu_milli=8000 * (1 + value % 3))
        self.fleet[name] = Upstream(
            state=state, token=1, now=self.now, lease_s=1.0, on_change=self.index.mark_changed
        )
        self.fleet[name].is_known = value != 0

    def remove(self, name: str) -> None:
        self.fleet.pop(name, None)
        self.index.mark_changed(name)

    def change(self, upstream: Upstream, kind: int, value: int) -> None:
        match kind:
            case 2:
                upstream.is_known = value % 4 != 0
            case 3:
                upstream.unreachable_since = self.now if value % 3 == 0 else None
            case 4:
                upstream.backoff_until = self.now + (value % 3) / 10
            case 5:
                upstream.learn_speed(100.0, 20.0 * (1 + value), self.now)
            case 6:
                upstream.failures = float(value % 3)
            case 7:
                upstream.update(upstream.state._replace(is_draining=value % 2 == 0))
            case 8:
                upstream.update(upstream.state._replace(service=SERVICES[value % 2]))
            case 9 | 10:
                self.tasks += 1
                task = TaskKey("a", 0, 0, self.tasks)
                size = Resources(1000 * (1 + value), 64, 0)
                upstream.add(Run(task=task, number=1, size=size, expected_ms=1.0, now=self.now))
            case 14:
                upstream.cold_until = self.now + (value % 3) / 10
            case 15:
                upstream.is_evacuated = value % 3 == 0
            case _ if upstream.runs:
                task = list(upstream.runs)[value % len(upstream.runs)]
                if kind == 11:
                    upstream.remove(task)
                else:
                    upstream.resize(upstream.runs[task], Resources(500 * value, 64, 0))


STEPS = st.lists(
    st.tuples(st.integers(0, 15), st.sampled_from(NAMES), st.integers(0, 11)),
    min_size=20,
    max_size=60,
)


class TestAgainstThePlainWalk:
    """Guards against tasks that are placed where there is no room, or wait where there is."""

    @settings(max_examples=300)
    @given(steps=STEPS, demands=st.lists(st.integers(0, 9000), min_size=1, max_size=8))
    def test_offers_are_those_of_a_walk(
        self, steps: list[tuple[int, str, int]], demands: list[int]
    ) -> None:
        history = History()
        for number, (kind, name, value) in enumerate(steps):
            if kind == 0:
                history.add(name, value)
            elif kind == 1:
                history.remove(name)
            elif kind == 13:
                history.now += 0.05 * (1 + value)
            elif name in history.fleet:
                history.change(history.fleet[name], kind, value)
            least_milli = demands[number // 8 % len(demands)]
            offers = history.index.offers(history.now, least_milli)
            plain = plain_offers(history.fleet, history.now, least_milli)
            for service in SERVICES:
                kept = {each.upstream_id: each for each in offers.get(service, ())}
                usable = [
                    each.upstream_id
                    for each in history.fleet.values()
                    if each.state.service == service and each.is_usable(history.now)
                ]
                kept_usable = history.index.usable(service, history.now)
                assert sorted(usable) == sorted(each.upstream_id for each in kept_usable)
                useful = {id: each for id, each in kept.items() if each.cpu_milli >= least_milli}
                assert useful == plain.get(service, {})
                self.check_choice(
                    history.now,
                    offers.get(service, OffersBySpeed()),
                    list(plain.get(service, {}).values()),
                    max(least_milli, 1000 * (1 + value)),
                )

    @staticmethod
    def check_choice(
        now: float, offers: OffersBySpeed, plain: list[UpstreamOffer], cpu_milli: int
    ) -> None:
        task = WaitingTask(cpu_milli, 64, 0, 100.0, now + cpu_milli / 20_000)
        expected, chosen = choose(task, plain, now), offers.choose(task, now)
        if expected is None or chosen is None:
            assert expected is chosen
            return
        assert fits(task, chosen)
        assert run_ms(task, chosen) == run_ms(task, expected)

    def test_full_upstreams_are_not_searched(self) -> None:
        """Guards against a search through hundreds of full upstreams for each task.

        Load: a burst in which nearly all upstreams have less room than any waiting task needs.
        """
        history = History()
        for upstream in history.fleet.values():
            upstream.is_known = True
            size = upstream.free._replace(cpu_milli=upstream.free.cpu_milli - 300)
            run = Run(task=TaskKey("a", 0, 0, 0), number=1, size=size, expected_ms=1.0, now=0.0)
            upstream.add(run)
        history.fleet["u0"].remove(TaskKey("a", 0, 0, 0))
        offers = history.index.offers(history.now, 8000)
        assert [each.upstream_id for each in offers["s"]] == ["u0"]
        assert not offers["t"]
        # A smaller task is placed all the same.
        assert len([*history.index.offers(history.now, 200)["s"]]) == 3
