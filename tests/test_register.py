"""The configuration register across processes on a network in memory."""

import json
from collections.abc import Iterator
from typing import Any

import pytest

from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration import register as register_module
from kumquatlift.configuration.data_file import FakeDisk
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.configuration.in_force import write_document
from kumquatlift.configuration.register import Register
from kumquatlift.configuration.value import Change, Proposal
from kumquatlift.failure import Failure
from tests.fakes import FakeMembers, FakeNetwork, member

VOTERS = ("a", "b", "c")


def _document(slots: int = 8, voters: tuple[str, ...] = VOTERS) -> Document:
    source = {
        "system": {"voters": list(voters)},
        "services": {"s": {"slots": slots, "kinds": {"k": {}}}},
    }
    doc = read_mapping(source)
    assert isinstance(doc, Document)
    return doc


class _Cluster:
    def __init__(self) -> None:
        self.network = FakeNetwork()
        self.disks = {name: FakeDisk() for name in VOTERS}
        self.registers: dict[str, Register] = {}
        self.runs = 0
        for name in (*VOTERS, "d"):
            self.start(name)

    def start(self, name: str, first: Document | None = None) -> Register:
        self.stop(name)
        self.runs += 1
        me = member(name, "z")._replace(incarnation=f"{self.runs:012x}")
        others = [member(other, "z") for other in (*VOTERS, "d") if other != name]
        disk = self.disks.get(name)
        if disk is not None:
            disk.crash()
        self.registers[name] = Register(
            members=FakeMembers(me=me, others=others),
            channel=self.network.channel(name),
            disk=disk,
            first_document=first or (_document() if name in VOTERS else None),
            clock=MonotonicClock(),
            section=Blackboard().section("register"),
        )
        return self.registers[name]

    def stop(self, name: str) -> None:
        if name in self.registers:
            self.registers.pop(name).stop()
            del self.network.channels[name]

    def poll(self, rounds: int = 4) -> None:
        for _ in range(rounds):
            for register in self.registers.values():
                register.maintenance.poll()

    def versions(self) -> dict[str, int]:
        return {name: register.version for name, register in self.registers.items()}

    def change(self, at: str, change_id: str, base: int, slots: int) -> Change | Failure:
        proposal = Proposal(change_id, base, write_document(_document(slots)))
        return self.registers[at].propose(proposal).result(timeout=20)


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Cluster]:
    monkeypatch.setattr(register_module, "CHANGE_TIMEOUT_S", 0.3)
    started = _Cluster()
    started.poll()
    yield started
    for name in list(started.registers):
        started.stop(name)


def _code(result: Any) -> ResultCode:
    return result.code if isinstance(result, Failure) else ResultCode(result.code)


class TestRegister:
    """Guards against configuration changes that are lost, made twice or reverted."""

    def test_forms_once_and_a_change_reaches_every_process(self, cluster: _Cluster) -> None:
        assert set(cluster.versions().values()) == {1}
        result = cluster.change("d", "c1", 1, 9)
        assert isinstance(result, Change) and result.version == 2
        assert set(cluster.versions().values()) == {2}
        doc = cluster.registers["d"].document
        assert doc is not None and doc.services["s"].slots == 9

    def test_resend_gets_the_first_answer_and_a_stale_version_a_conflict(
        self, cluster: _Cluster
    ) -> None:
        first = cluster.change("a", "c1", 1, 9)
        assert cluster.change("b", "c1", 1, 9) == first
        assert _code(cluster.change("c", "c2", 1, 10)) is ResultCode.VERSION_CONFLICT
        assert _code(cluster.change("c", "c1", 1, 10)) is ResultCode.CHANGE_ID_REUSED
        assert cluster.registers["d"].find_change("c1").result(timeout=20) == first
        missing = cluster.registers["d"].find_change("c2").result(timeout=20)
        assert _code(missing) is ResultCode.CHANGE_UNKNOWN

    def test_voters_cannot_be_changed(self, cluster: _Cluster) -> None:
        text = write_document(_document(voters=("a", "b")))
        result = cluster.registers["a"].propose(Proposal("c1", 1, text)).result(timeout=20)
        assert _code(result) is ResultCode.INVALID_DOCUMENT
        assert isinstance(result, Failure) and "system.voters" in result.reason

    def test_change_without_a_majority_is_unknown_until_it_is_resent(
        self, cluster: _Cluster
    ) -> None:
        cluster.network.lost = lambda sender, receiver: "a" in (sender, receiver)
        result = cluster.change("a", "c1", 1, 9)
        assert _code(result) is ResultCode.CHANGE_UNKNOWN
        assert cluster.registers["a"].version == 1
        cluster.network.lost = lambda sender, receiver: False
        resend = cluster.change("b", "c1", 1, 9)
        assert isinstance(resend, Change) and resend.version == 2

    def test_isolated_process_catches_up(self, cluster: _Cluster) -> None:
        cluster.network.lost = lambda sender, receiver: "d" in (sender, receiver)
        cluster.change("a", "c1", 1, 9)
        assert cluster.versions()["d"] == 1
        age = cluster.registers["d"].contact_age_s
        cluster.network.lost = lambda sender, receiver: False
        cluster.registers["d"].maintenance.poll()
        assert cluster.versions()["d"] == 2
        assert age is not None and (cluster.registers["d"].contact_age_s or 0) < age

    def test_accepted_change_of_a_failed_proposer_comes_into_force(self, cluster: _Cluster) -> None:
        proposal = Proposal("c1", 1, write_document(_document(9)))
        pushes: list[bytes] = []
        cluster.registers["d"]._rounds._channel.send = (  # type: ignore[method-assign]
            lambda peer, topic, body: pushes.append(body)
        )
        assert _code(cluster.registers["d"].propose(proposal).result(timeout=20)) == 6000
        assert pushes and cluster.versions() == {"a": 1, "b": 1, "c": 1, "d": 2}
        cluster.stop("d")
        cluster.poll(12)
        assert set(cluster.versions().values()) == {2}

    def test_restart_keeps_the_last_configuration_without_any_peer(self, cluster: _Cluster) -> None:
        cluster.change("a", "c1", 1, 9)
        for name in ("a", "b", "c", "d"):
            cluster.stop(name)
        doc = cluster.start("a").document
        assert doc is not None and doc.services["s"].slots == 9

    def test_voter_with_a_lost_disk_recovers_before_it_votes(self, cluster: _Cluster) -> None:
        cluster.change("a", "c1", 1, 9)
        cluster.disks["b"].wipe()
        cluster.start("b")
        cluster.stop("c")
        # A recovery needs a majority without the voter that recovers; one other voter is none.
        cluster.poll()
        assert cluster.registers["b"].state()["is_recovering"]
        assert _code(cluster.change("a", "c2", 2, 10)) is ResultCode.CHANGE_UNKNOWN
        cluster.start("c")
        cluster.poll()
        assert not cluster.registers["b"].state()["is_recovering"]
        cluster.stop("a")
        result = cluster.change("b", "c2", 2, 10)
        assert isinstance(result, Change) and result.version == 3

    def test_loss_of_every_disk_keeps_the_document_in_memory(self, cluster: _Cluster) -> None:
        cluster.change("a", "c1", 1, 9)
        for name in VOTERS:
            cluster.disks[name].wipe()
            cluster.start(name)
        cluster.poll()
        assert set(cluster.versions().values()) == {3}
        for name, version in (("d", 3), ("a", 4)):
            # The change is based on the value in force at the process and on its register.
            current = cluster.registers[name].current
            assert current is not None and current.document.services["s"].slots == 9
            proposal = Proposal(
                f"c-{name}",
                version,
                current.value.document,
                base_register=current.value.register,
            )
            result = cluster.registers[name].propose(proposal).result(timeout=20)
            assert isinstance(result, Change) and result.version == version + 1

    def test_loss_of_two_of_three_disks_blocks_until_the_operator_empties_the_third(
        self, cluster: _Cluster
    ) -> None:
        # These are the operator's steps in docs/notes/configuration.md.
        cluster.change("a", "c1", 1, 9)
        for name in ("b", "c"):
            cluster.disks[name].wipe()
            cluster.start(name)
        cluster.poll()
        assert _code(cluster.change("d", "c2", 2, 10)) is ResultCode.CHANGE_UNKNOWN
        assert set(cluster.versions().values()) == {2}
        cluster.stop("a")
        cluster.disks["a"].write("voter", b"")
        cluster.disks["a"].sync("voter")
        cluster.disks["a"].sync_folder()
        cluster.start("a")
        cluster.poll()
        assert set(cluster.versions().values()) == {3}
        doc = cluster.registers["d"].document
        assert doc is not None and doc.services["s"].slots == 9
        result = cluster.change("d", "c3", 3, 10)
        assert isinstance(result, Change) and result.version == 4

    def test_value_of_a_lost_register_never_replaces_a_later_change(
        self, cluster: _Cluster
    ) -> None:
        for version in range(1, 4):
            cluster.change("a", f"c{version}", version, 8 + version)
        cluster.network.lost = lambda sender, receiver: "d" in (sender, receiver)
        for name in VOTERS:
            cluster.disks[name].wipe()
            cluster.start(name)
        cluster.poll()
        assert isinstance(cluster.change("a", "n1", 1, 20), Change)
        cluster.network.lost = lambda sender, receiver: False
        cluster.poll()
        assert set(cluster.versions().values()) == {5}
        for register in cluster.registers.values():
            assert register.value is not None
            assert json.loads(register.value.document)["services"]["s"]["slots"] == 20

    def test_listener_gets_each_document_once_and_in_order(self, cluster: _Cluster) -> None:
        seen: list[tuple[int, int]] = []
        cluster.registers["d"].on_change(
            lambda version, doc: seen.append((version, doc.services["s"].slots))
        )
        for version in (1, 2):
            cluster.change("a", f"c{version}", version, 20 + version)
        cluster.poll()
        assert seen == [(1, 8), (2, 21), (3, 22)]
