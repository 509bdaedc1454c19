"""Measures claims/s with and without group commit, and memory per stored claim.

Usage: python tools/measure_claims.py [--claims N] [--window W] [--delay-ms D] [--runs R]
           [--tcp] [--sizes N N ...]

The network is simulated in this process: one connection each way delivers messages in order after
a delay, and one thread per simulated process handles them. With --tcp the TCP channel is used over
loopback. Writer and backup share one interpreter in both cases.
"""

import argparse
import logging
import queue
import secrets
import statistics
import sys
import threading
import time
from concurrent.futures import Future
from pathlib import Path

import structlog

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import Claim, LedgerLimits, Record, RecordBatch
from kumquatlift.jobs.identity import LedgerId
from kumquatlift.jobs.ledger import Ledger, LedgerReplica
from kumquatlift.jobs.ledger_frame import ClaimLocation
from kumquatlift.jobs.ledger_replicas import LedgerReplicas
from kumquatlift.jobs.ledger_writer import LedgerWriter
from kumquatlift.jobs.repair import Repair
from kumquatlift.settings import Address
from kumquatlift.transport.channel import Channel, Handler
from kumquatlift.transport.tcp_channel import TcpChannel
from tests.fakes import FakeMembers, member
from tools.heap import heap_bytes

QueuedMessage = tuple[float, "DelayedChannel | None", str, bytes, "Future[bytes | Failure]"]


class DelayedChannel:
    """A ``Channel`` that delivers all messages in order, after a delay."""

    def __init__(self, name: str, peers: dict[str, "DelayedChannel"], delay_s: float) -> None:
        self.name, self.peers, self.delay_s = name, peers, delay_s
        self.handlers: dict[str, Handler] = {}
        self.inbox: queue.SimpleQueue[QueuedMessage] = queue.SimpleQueue()
        peers[name] = self
        threading.Thread(target=self._run, daemon=True).start()

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> "Future[bytes | Failure]":
        """See ``Channel.call``; the timeout is ignored."""
        fut: Future[bytes | Failure] = Future()
        due = time.monotonic() + self.delay_s
        self.peers[peer].inbox.put((due, self, topic, body, fut))
        return fut

    def send(self, peer: str, topic: str, body: bytes) -> None:
        """See ``Channel.send``."""
        self.call(peer, topic, body, timeout_s=1.0)

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        """See ``Channel.handle``."""
        self.handlers[topic] = handler

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)

    def _run(self) -> None:
        while True:
            due, sender, topic, body, fut = self.inbox.get()
            time.sleep(max(0.0, due - time.monotonic()))
            if sender is None:
                fut.set_result(body)
                continue
            answer = self.handlers[topic](sender.name, body) or b""
            reply_due = time.monotonic() + self.delay_s
            sender.inbox.put((reply_due, None, "", answer, fut))


class CountingChannel:
    """A ``Channel`` that counts the calls made through another one."""

    def __init__(self, channel: Channel) -> None:
        self.channel, self.calls = channel, 0

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> "Future[bytes | Failure]":
        """See ``Channel.call``."""
        self.calls += 1
        return self.channel.call(peer, topic, body, timeout_s=timeout_s)

    def send(self, peer: str, topic: str, body: bytes) -> None:
        """See ``Channel.send``."""
        self.channel.send(peer, topic, body)

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        """See ``Channel.handle``."""
        self.channel.handle(topic, handler, workers=workers)

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)


def _delayed_channels(delay_s: float) -> dict[str, Channel]:
    peers: dict[str, DelayedChannel] = {}
    return {name: DelayedChannel(name, peers, delay_s) for name in ("a", "b")}


def _tcp_channels() -> dict[str, Channel]:
    found: dict[str, TcpChannel] = {}

    def locate(name: str) -> Address | None:
        return found[name].address if name in found else None

    for name in ("a", "b"):
        found[name] = TcpChannel(
            name=name, address=Address("127.0.0.1", 0), locate=locate, workers=2
        )
    return dict(found)


def measure_rate(
    claims: int, delay_ms: float, window_size: int, *, group_commit: bool, tcp: bool
) -> tuple[float, int, float]:
    """Claim as fast as replies arrive, with a limited number of unacknowledged claims.

    Returns:
        Claims per second, messages to the backup, and the median latency of a claim in ms.
    """
    clock, limits = MonotonicClock(), LedgerLimits(max_claims=10 * claims, max_total_claims=10**7)
    views = [member("a", "z1"), member("b", "z1")]
    channels = _tcp_channels() if tcp else _delayed_channels(delay_ms / 1000)
    writer = None
    for me, other in (views[::-1], views):
        channel = CountingChannel(channels[me.name])
        members = FakeMembers(me=me, others=[other])
        repair = Repair(channel=channel, members=members, clock=clock)
        LedgerReplicas(channel=channel, members=members, clock=clock, limits=limits, repair=repair)
        writer = LedgerWriter(
            channel=channel, members=members, clock=clock, limits=limits, repair=repair
        )
    assert writer is not None
    writer.group_commit = group_commit
    while isinstance(ledger := writer.ticket(), Failure):
        time.sleep(0.01)
    window, latencies_s, done = threading.Semaphore(window_size), [], threading.Semaphore(0)
    keys = [f"key-{index:08d}" for index in range(claims)]
    before, start = channel.calls, time.monotonic()
    for key in keys:
        window.acquire()
        started_at = time.monotonic()

        def on_settled(fut: "Future[Claim | None]", started_at: float = started_at) -> None:
            latencies_s.append(time.monotonic() - started_at)
            window.release()
            done.release()

        fut = writer.claim(ClaimLocation(ledger, key), Record(key, b"d" * 16, started_at + 30))
        fut.add_done_callback(on_settled)
    for _ in range(claims):
        done.acquire()
    elapsed = time.monotonic() - start
    for each in channels.values():
        if isinstance(each, TcpChannel):
            each.close()
    return claims / elapsed, channel.calls - before, statistics.median(latencies_s) * 1000


def measure_memory(claims: int) -> tuple[float, float]:
    """Return bytes per ended claim without its answer, at the writer and in the replica."""
    id = LedgerId("entry-a", "0" * 12, 0, "entry-b")

    def records(code: int) -> list[Record]:
        return [
            Record(secrets.token_hex(12), secrets.token_bytes(16), 30.0 + index, code)
            for index in range(claims)
        ]

    def ledger() -> Ledger:
        made = Ledger(id=id, opened_at=0.0)
        for record in records(int(ResultCode.COMPLETE)):
            made.claim(record)
        while batch := made.next_batch(2000, 1024 * 1024):
            made.acknowledge(frozenset(), False, 0.0)
            del batch
        return made

    def replica() -> LedgerReplica:
        made = LedgerReplica(id=id, is_repair=False, changed_at=0.0)
        made.append(RecordBatch(records(int(ResultCode.COMPLETE)), False), 0.0)
        return made

    return heap_bytes(ledger) / claims, heap_bytes(replica) / claims


def main() -> None:
    """Print one line per measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--claims", type=int, default=10_000)
    parser.add_argument("--tcp", action="store_true")
    parser.add_argument("--window", type=int, default=256)
    parser.add_argument("--delay-ms", type=float, default=0.25)
    parser.add_argument("--sizes", type=int, nargs="*", default=[10_000, 100_000])
    parser.add_argument("--runs", type=int, default=3)
    args = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    network = "tcp" if args.tcp else f"delay_{args.delay_ms}_ms"
    for window, group_commit, claims in (
        (args.window, True, args.claims),
        (args.window, False, max(1, args.claims // 5)),
        (1, True, max(1, args.claims // 10)),
    ):
        for _ in range(args.runs):
            rate, messages, latency_ms = measure_rate(
                claims, args.delay_ms, window, group_commit=group_commit, tcp=args.tcp
            )
            print(
                f"group_commit={group_commit} waiting={window} claims={claims} "
                f"network={network} claims_per_s={rate:.0f} messages={messages} "
                f"median_wait_ms={latency_ms:.2f}"
            )
    for size in args.sizes:
        writer_bytes, replica_bytes = measure_memory(size)
        print(
            f"claims={size} bytes_per_claim_writer={writer_bytes:.0f} "
            f"bytes_per_claim_copy={replica_bytes:.0f}"
        )


if __name__ == "__main__":
    main()
