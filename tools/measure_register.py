"""Measures changes of the configuration register: time, messages and bytes of state.

The registers of all instances run in one process. Messages and syncs of disks are simulated in
memory and take a fixed time each.

    python -m tools.measure_register DOCUMENT --runs 3
"""

import argparse
import logging
import statistics
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.data_file import FakeDisk
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping, read_toml
from kumquatlift.configuration.in_force import write_document
from kumquatlift.configuration.register import Register
from kumquatlift.configuration.value import Change, Proposal
from kumquatlift.configuration.voter import FILE_NAME
from kumquatlift.failure import Failure
from kumquatlift.membership.members import Member
from kumquatlift.transport.channel import Handler

INSTANCES = 7


class Network:
    """A network in memory, in which messages take a fixed time.

    Args:
        one_way_s: Time of a message in one direction, in seconds.
    """

    def __init__(self, *, one_way_s: float) -> None:
        self.one_way_s = one_way_s
        self.handlers: dict[str, dict[str, Handler]] = {}
        self.requests = 0
        self.pushes = 0
        self._executor = ThreadPoolExecutor(max_workers=64)

    def deliver(self, sender: str, peer: str, topic: str, body: bytes) -> Future[bytes | Failure]:
        """Deliver a request and return the future of its answer."""
        return self._executor.submit(self._deliver, sender, peer, topic, body)

    def close(self) -> None:
        """Stop all threads."""
        self._executor.shutdown()

    def _deliver(self, sender: str, peer: str, topic: str, body: bytes) -> bytes | Failure:
        time.sleep(self.one_way_s)
        answer = self.handlers[peer][topic](sender, body)
        time.sleep(self.one_way_s)
        return answer or Failure(ResultCode.TIMED_OUT, "no answer")


class Endpoint:
    """The channel of one process."""

    def __init__(self, *, network: Network, name: str) -> None:
        self._network = network
        self._name = name
        network.handlers[name] = {}

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> Future[bytes | Failure]:
        """Send a request."""
        self._network.requests += 1
        return self._network.deliver(self._name, peer, topic, body)

    def send(self, peer: str, topic: str, body: bytes) -> None:
        """Send a message."""
        self._network.pushes += 1
        self._network.deliver(self._name, peer, topic, body)

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        """Register a handler."""
        self._network.handlers[self._name][topic] = handler

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)


class StaticMembers:
    """A membership view in which all instances are live."""

    def __init__(self, *, me: Member, members: list[Member]) -> None:
        self._me = me
        self._members = members

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    def live(self, zone: str | None = None) -> list[Member]:
        """Return all instances."""
        return self._members

    def get(self, name: str) -> Member | None:
        """Return an instance."""
        return next((member for member in self._members if member.name == name), None)


class Deployment:
    """Seven instances, of which the first ones are voters.

    Args:
        document: First configuration; its list of voters is replaced.
        voters: Number of voters.
        sync_s: Duration of a sync, in seconds.
        one_way_s: Time of a message in one direction, in seconds.
    """

    def __init__(self, *, document: Document, voters: int, sync_s: float, one_way_s: float) -> None:
        names = [f"entry-{number}" for number in range(INSTANCES)]
        source = document.to_mapping()
        source["system"]["voters"] = names[:voters]
        doc = read_mapping(source)
        assert isinstance(doc, Document)
        self.document = doc
        self.network = Network(one_way_s=one_way_s)
        self.disks = {name: FakeDisk(sync_s=sync_s, sleep=time.sleep) for name in names[:voters]}
        members = [Member(name, "z", "", "", "", "0" * 12) for name in names]
        self.registers = [self._register(member, members) for member in members]
        while any(register.version == 0 for register in self.registers):
            for register in self.registers:
                register.maintenance.poll()

    def close(self) -> None:
        """Stop all instances."""
        for register in self.registers:
            register.stop()
        self.network.close()

    def change(self, number: int) -> float:
        """Make one change at the first instance and return its duration in seconds."""
        source = self.document.to_mapping()
        service = next(iter(source["services"].values()))
        service["max_queued"] = 1000 + number
        doc = read_mapping(source)
        assert isinstance(doc, Document)
        register = self.registers[0]
        proposal = Proposal(f"change-{number:06}", register.version, write_document(doc), "ann", 1)
        started = time.monotonic()
        result = register.propose(proposal).result()
        assert isinstance(result, Change), result
        return time.monotonic() - started

    def state_bytes(self) -> int:
        """Return the size of one voter's file."""
        return len(self.disks["entry-0"].read(FILE_NAME) or b"")

    def wait_until_in_force(self) -> None:
        """Wait until every instance has the newest version."""
        while len({register.version for register in self.registers}) > 1:
            time.sleep(0.001)

    def _register(self, me: Member, members: list[Member]) -> Register:
        return Register(
            members=StaticMembers(me=me, members=members),
            channel=Endpoint(network=self.network, name=me.name),
            disk=self.disks.get(me.name),
            first_document=self.document,
            clock=MonotonicClock(),
            section=Blackboard().section("register"),
        )


def _read(path: Path) -> Document:
    doc = read_toml(path.read_text(encoding="utf-8"))
    if not isinstance(doc, Document):
        raise SystemExit(f"{path}: {doc}")
    return doc


def measure_times(document: Document, voters: int, args: Any) -> None:
    """Print the time and the messages of a change."""
    deployment = Deployment(
        document=document,
        voters=voters,
        sync_s=args.sync_ms / 1e3,
        one_way_s=args.one_way_ms / 1e3,
    )
    network = deployment.network
    network.requests = network.pushes = 0
    change_ms, in_force_ms = [], []
    for number in range(args.changes):
        started = time.monotonic()
        change_ms.append(deployment.change(number) * 1e3)
        deployment.wait_until_in_force()
        in_force_ms.append((time.monotonic() - started) * 1e3)
    messages = (2 * network.requests + network.pushes) / args.changes
    syncs = sum(disk.syncs for disk in deployment.disks.values())
    change_ms.sort()
    print(
        f"voters {voters}: change median {statistics.median(change_ms):.1f} ms, "
        f"slowest {change_ms[-1]:.1f} ms; in force in all {INSTANCES} median "
        f"{statistics.median(in_force_ms):.1f} ms; messages {messages:.1f} "
        f"(of these {network.pushes / args.changes:.1f} pushes); syncs in all {syncs}"
    )
    deployment.close()


def measure_bytes(document: Document) -> None:
    """Print the size of a voter's file after some changes."""
    deployment = Deployment(document=document, voters=3, sync_s=0, one_way_s=0)
    document_bytes = len(write_document(deployment.document))
    done = 0
    for target in (10, 200, 400):
        while done < target:
            deployment.change(done)
            done += 1
        print(f"after {target} changes: {deployment.state_bytes()} bytes of state")
    print(f"the document alone: {document_bytes} bytes")
    deployment.close()


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("document", type=Path, help="configuration document, as TOML")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument("--sync-ms", type=float, default=5.0)
    parser.add_argument("--one-way-ms", type=float, default=0.5)
    args = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    document = _read(args.document)
    for _ in range(args.runs):
        for voters in (1, 3, 5):
            measure_times(document, voters, args)
    measure_bytes(document)


if __name__ == "__main__":
    main()
