"""Simulation of processes that gossip over a lossy network, on a manual clock."""

import heapq
import random
from collections.abc import Callable

from kumquatlift.clock import ManualClock
from kumquatlift.membership._gossip_codec import Message, decode, encode
from kumquatlift.membership._heartbeat_age import COUNTS_PER_S
from kumquatlift.membership.gossip import HEADER_BYTES, PERIOD_S, GossipProtocol, Targets
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.membership.view import MembershipView


class SimulatedProcess:
    """One process, with its view, gossip protocol and traffic."""

    def __init__(
        self, sim: "SimulatedGossip", name: str, incarnation: str, first_counter: int
    ) -> None:
        zone = "z" + str(int(name[1:]) % 3)
        host = f"10.0.{int(name[1:]) // 100}.{int(name[1:]) % 100}"
        addresses = (f"{host}:8080", f"{host}:8081", f"{host}:7000")
        me = Member(f"entry-{name}", zone, *addresses, incarnation)
        self.view = MembershipView(me=me, clock=sim.clock, first_counter=first_counter)
        targets = Targets(view=self.view, seeds=sim.seeds, rng=sim.rng)
        self.protocol = GossipProtocol(view=self.view, targets=targets)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.next_at = sim.clock.now() + sim.rng.random() * PERIOD_S

    def sees(self, name: str) -> bool:
        """Return whether a member is live in this view, in any state."""
        return any(member.name == f"entry-{name}" for member in self.view.reachable())


class SimulatedGossip:
    """A network of processes named m0, m1 and so on.

    Args:
        count: Number of processes; the first three are seeds.
        seed: Seed of losses, delays and orders.
        loss: Fraction of datagrams that are lost.
        tick_delay_s: Longest delay of a round, in seconds.
    """

    def __init__(
        self, *, count: int, seed: int, loss: float = 0.3, tick_delay_s: float = 0.05
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start=1000.0)
        self.loss = loss
        self.tick_delay_s = tick_delay_s
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.processes: dict[str, SimulatedProcess] = {}
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._sent = 0
        self.seeds = tuple(f"10.0.0.{n}:7000" for n in range(min(3, count)))
        for n in range(count):
            self.start(f"m{n}")

    def start(self, name: str, *, clock_error_s: float = 0.0) -> SimulatedProcess:
        """Start or restart a process, with an error of its time of day."""
        start = int((1e6 + self.clock.now() + clock_error_s) * COUNTS_PER_S)
        incarnation = f"{self.rng.getrandbits(48):012x}"
        self.processes[name] = SimulatedProcess(self, name, incarnation, start)
        return self.processes[name]

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        """Advance the clock by a number of seconds and call ``check`` every 50 ms."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(0.05)
            self._deliver()
            for name, process in list(self.processes.items()):
                if process.next_at <= self.clock.now():
                    self._round(name, process)
            check()

    def is_complete(self) -> bool:
        """Return whether the live members of every view are exactly the running processes."""
        running = sorted(f"entry-{name}" for name in self.processes)
        return all(
            [member.name for member in process.view.live()] == running
            for process in self.processes.values()
        )

    def bytes_per_s(self, seconds: float) -> tuple[float, float]:
        """Return bytes sent and received per second and process, and reset the counts."""
        sent = sum(process.bytes_sent for process in self.processes.values())
        received = sum(process.bytes_received for process in self.processes.values())
        for process in self.processes.values():
            process.bytes_sent = process.bytes_received = 0
        process_seconds = seconds * len(self.processes)
        return sent / process_seconds, received / process_seconds

    def leave(self, name: str) -> None:
        """Make a process announce that it is leaving."""
        self.processes[name].view.set_state(MemberState.LEAVING)

    def _round(self, name: str, process: SimulatedProcess) -> None:
        process.next_at += PERIOD_S
        process.view.refresh()
        send_delay_s = self.rng.random() * self.tick_delay_s
        for address, message in process.protocol.next_round():
            self._send(name, address, message, send_delay_s)

    def _send(self, sender: str, address: str, message: Message, send_delay_s: float) -> None:
        data = encode(message)
        self.processes[sender].bytes_sent += len(data) + HEADER_BYTES
        high, low = address.split(":")[0].split(".")[2:]
        receiver = f"m{int(high) * 100 + int(low)}"
        if self.rng.random() < self.loss or self.is_cut(sender, receiver):
            return
        self._sent += 1
        at = self.clock.now() + send_delay_s + self.rng.random() * 0.01
        heapq.heappush(self._in_flight, (at, self._sent, sender, receiver, data))

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.clock.now():
            _, _, sender, receiver, data = heapq.heappop(self._in_flight)
            process = self.processes.get(receiver)
            if process is None:
                continue
            process.bytes_received += len(data) + HEADER_BYTES
            reply = process.protocol.handle(decode(data))
            if reply is not None and sender in self.processes:
                address = self.processes[sender].view.me.peers
                self._send(receiver, address, reply, 0.0)
