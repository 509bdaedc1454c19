"""Gossip over UDP: sends heartbeats and membership records to the other entry processes."""

import random
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import Any

from kumquatlift.clock import Clock, MonotonicClock
from kumquatlift.log import get_logger
from kumquatlift.membership._gossip_codec import Message, decode, encode
from kumquatlift.membership._heartbeat_age import COUNTS_PER_S
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.membership.view import MembershipView
from kumquatlift.settings import Address
from kumquatlift.transport.peer_diagnosis import Evidence, diagnose

# Each round, ``PERIOD_S`` after the one before, sends to at most ``FANOUT`` peers.
PERIOD_S = 0.25
FANOUT = 3
# Every fourth round (once a second), one datagram is sent to a seed or to a member that counts as
# dead, so that the two sides of a healed partition find each other.
PROBE_ROUNDS = 4
# Bounds of one reply: records that it contains, and keys of records that it requests.
MAX_RECORDS = 6
MAX_WANTED = 32
# Counters start at the time of day since 2026 and fit 32 bits until 2043.
_EPOCH_S = 1_767_225_600
# IPv4 and UDP headers, counted in the traffic.
HEADER_BYTES = 28

Listener = Callable[[list[Member], list[Member]], None]
"""Called with the members that joined the live set and those that left it."""


class Targets:
    """Chooses the peers to send to in each round.

    Goes through all live members in random order before it chooses one again, which bounds the time
    between two datagrams to the same member.

    Args:
        view: Membership view.
        seeds: Addresses of the first peers to contact, "ip:port".
        rng: Source of the random order.
    """

    def __init__(self, *, view: MembershipView, seeds: tuple[str, ...], rng: random.Random) -> None:
        self._view = view
        self._seeds = seeds
        self._rng = rng
        self._shuffled: list[str] = []
        self._round = 0

    def next_round(self) -> list[str]:
        """Return the addresses of this round."""
        own = self._view.me.peers
        reachable = {member.peers for member in self._view.reachable()} - {own}
        candidates = {*self._seeds, *(member.peers for member in self._view.unreachable())}
        candidates -= reachable | {own}
        chosen = self._pick_reachable(reachable)
        self._round += 1
        spare = FANOUT - len(chosen)
        if candidates and (spare > 0 or self._round % PROBE_ROUNDS == 0):
            probes = self._rng.sample(sorted(candidates), min(max(1, spare), len(candidates)))
            chosen = chosen[: FANOUT - len(probes)] + probes
        return chosen

    def _pick_reachable(self, reachable: set[str]) -> list[str]:
        chosen: list[str] = []
        for _ in range(min(FANOUT, len(reachable))):
            self._shuffled = [address for address in self._shuffled if address in reachable]
            if not self._shuffled:
                # Addresses already chosen in this round go to the front, as addresses are taken
                # from the end; so the addresses of one round are distinct.
                self._shuffled = sorted(reachable)
                self._rng.shuffle(self._shuffled)
                self._shuffled.sort(key=lambda address: address not in chosen)
            chosen.append(self._shuffled.pop())
        return chosen


class GossipProtocol:
    """Gossip protocol of one process, independent of the socket.

    Args:
        view: Membership view.
        targets: Chooses the peers of each round.
    """

    def __init__(self, *, view: MembershipView, targets: Targets) -> None:
        self._view = view
        self._targets = targets
        self._round = 0

    def next_round(self) -> list[tuple[str, Message]]:
        """Return the messages of one round, with their addresses.

        One message carries only this process's heartbeat; the others also carry the heartbeats
        received of other members.
        """
        addresses = self._targets.next_round()
        self._round += 1
        latest_changes = tuple(self._view.latest_changes())
        own_only_index = self._round % len(addresses) if addresses else 0
        return [
            (
                address,
                Message(self._view.digest(with_others=index != own_only_index), (), latest_changes),
            )
            for index, address in enumerate(addresses)
        ]

    def handle(self, message: Message) -> Message | None:
        """Merge a message into the view; return the reply to its sender, or None."""
        newer = self._view.merge_records(list(message.records))
        unknown = self._view.merge_digest(message.digest)
        records = self._view.records([*message.wanted, *newer])
        if not unknown and not records:
            return None
        return Message(
            self._view.digest(with_others=False),
            tuple(unknown[:MAX_WANTED]),
            tuple(records[:MAX_RECORDS]),
        )


class Gossip:
    """Sends and receives gossip in a thread of its own, and keeps ``view`` up to date.

    Args:
        me: This process; peers reach it at its ``peers`` address.
        seeds: Addresses of the first peers to contact, "ip:port".
        listen: Address to listen on, if not the one above, such as behind a proxy in tests.
        listener: Called on changes of the live set, in the gossip thread; must not block.
        clock: Monotonic clock.
        rng: Source of the random order of peers.
    """

    def __init__(
        self,
        *,
        me: Member,
        seeds: tuple[str, ...] = (),
        listen: Address | None = None,
        listener: Listener | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock or MonotonicClock()
        self.view = MembershipView(me=me, clock=self._clock, first_counter=first_counter())
        targets = Targets(view=self.view, seeds=seeds, rng=rng or random.Random())
        self._protocol = GossipProtocol(view=self.view, targets=targets)
        self._listener = listener
        self._sock = _open_socket(listen or Address.parse(me.peers))
        self._stopped = threading.Event()
        self._round_requested = threading.Event()
        self._started_at = self._clock.now()
        self._counts = {"sent": 0, "received": 0, "bytes_sent": 0, "bytes_received": 0, "bad": 0}
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="gossip")
        self._running: Future[None] | None = None

    def start(self) -> None:
        """Start the gossip thread."""
        self._running = self._executor.submit(self._run)

    def set_state(self, state: MemberState) -> None:
        """Change this process's own state and announce it to peers at once."""
        self.view.set_state(state)
        self._round_requested.set()

    def set_config_version(self, version: int) -> None:
        """Change the announced version of the configuration that is in force here."""
        self.view.set_config_version(version)

    def close(self) -> None:
        """Stop and close the socket."""
        self._stopped.set()
        if self._running is not None:
            self._running.result()
        self._executor.shutdown()
        self._sock.close()

    def snapshot(self, contact: Callable[[str], Evidence] | None = None) -> dict[str, Any]:
        """Return the membership section of the state dump.

        Args:
            contact: Returns the evidence from the connections to a member, such as
                ``TcpChannel.evidence``.
        """
        members = self.view.snapshot()
        for row in members:
            evidence = contact(row["name"]) if contact else Evidence()
            diagnosis = diagnose(self.view.evidence(row["name"], evidence))
            row["diagnosis"] = diagnosis.value
            row["meaning"] = diagnosis.help
        age = max(0.001, self._clock.now() - self._started_at)
        total = self._counts["bytes_sent"] + self._counts["bytes_received"]
        return {
            "me": {"name": self.view.me.name, "state": self.view.me.state.value},
            "members": members,
            "traffic": {**self._counts, "bytes_per_s": round(total / age, 1)},
        }

    def _run(self) -> None:
        next_at = self._clock.now()
        while not self._stopped.is_set():
            now = self._clock.now()
            if now >= next_at or self._round_requested.is_set():
                self._round_requested.clear()
                # Rounds that were missed, for example while the process was suspended, are skipped.
                next_at = max(next_at + PERIOD_S, now)
                self._run_guarded(self._round)
            self._sock.settimeout(max(0.001, next_at - self._clock.now()))
            self._run_guarded(self._receive)

    def _run_guarded(self, action: Callable[[], None]) -> None:
        try:
            action()
        except (OSError, ValueError):
            # An unreachable address or a malformed datagram affects one message only.
            self._counts["bad"] += 1
        except Exception as exc:
            # If this thread ended, all other processes would count this one as dead.
            get_logger().error("gossip_fault", error=repr(exc))

    def _round(self) -> None:
        for address, message in self._protocol.next_round():
            self._run_guarded(partial(self._send, address, message))
        self._report_changes()

    def _receive(self) -> None:
        try:
            data, source = self._sock.recvfrom(65535)
        except TimeoutError:
            return
        self._counts["received"] += 1
        self._counts["bytes_received"] += len(data) + HEADER_BYTES
        reply = self._protocol.handle(decode(data))
        if reply is not None:
            self._send(str(Address(source[0], source[1])), reply)

    def _send(self, address: str, message: Message) -> None:
        data = encode(message)
        self._sock.sendto(data, tuple(Address.parse(address)))
        self._counts["sent"] += 1
        self._counts["bytes_sent"] += len(data) + HEADER_BYTES

    def _report_changes(self) -> None:
        joined, left = self.view.refresh()
        if not joined and not left:
            return
        get_logger().info(
            "members_changed",
            came=[member.name for member in joined],
            left=[member.name for member in left],
        )
        if self._listener is not None:
            self._listener(joined, left)


def first_counter() -> int:
    """Return the first heartbeat counter of a process that starts now."""
    return max(0, int((time.time() - _EPOCH_S) * COUNTS_PER_S))


def _open_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.bind((address.host, address.port))
    return sock
