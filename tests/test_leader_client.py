"""The client that finds the leader and resends requests to the next one."""

import time
from collections.abc import Iterator
from concurrent.futures import Future

import pytest
from structlog.testing import capture_logs

from kumquatlift.authority import LeaderClient, Operation, Reply, Request
from kumquatlift.authority import _client as client_module
from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.timer import Timer
from kumquatlift.transport.channel import Handler


class ScriptedChannel:
    """Channel to a set of instances, one of which leads; those in ``unanswering`` never answer."""

    def __init__(self, *, leader: str, members: tuple[str, ...]) -> None:
        self.leader = leader
        self.members = members
        self.unanswering: set[str] = set()
        self.called_peers: list[str] = []
        self.probes = 0
        self.submits: list[dict[str, object]] = []
        self.reply = Reply(ResultCode.ACCEPTED)

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> "Future[bytes | Failure]":
        fut: Future[bytes | Failure] = Future()
        request = Request.from_bytes(body)
        if request.operation is not Operation.WHO_LEADS:
            self.called_peers.append(peer)
            if request.operation is Operation.SUBMIT:
                self.submits.append(request.fields)
        else:
            self.probes += 1
        if peer in self.unanswering:
            return fut
        members = {"members": list(self.members)}
        if peer != self.leader:
            fut.set_result(Reply(ResultCode.NOT_LEADER, members).to_bytes())
        elif request.operation is Operation.WHO_LEADS:
            fut.set_result(Reply(ResultCode.ACCEPTED, members).to_bytes())
        else:
            fut.set_result(self.reply.to_bytes())
        return fut

    def send(self, peer: str, topic: str, body: bytes) -> None:
        return

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        return

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)


@pytest.fixture
def timer() -> Iterator[Timer]:
    made = Timer(clock=MonotonicClock())
    yield made
    made.close()


def wait_for_leader(client: LeaderClient) -> str:
    deadline = time.monotonic() + 5
    while not client.leader and time.monotonic() < deadline:
        time.sleep(0.01)
    return client.leader


class TestProbes:
    """How often a client asks whether the leader still leads."""

    def test_replies_take_the_place_of_probes(self, timer: Timer) -> None:
        """Guards against a leader that answers seven probes a second of each busy frontend."""
        channel = ScriptedChannel(leader="n1", members=("n1",))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        before = channel.probes
        for _ in range(40):
            time.sleep(client_module.PROBE_INTERVAL_S / 5)
            assert isinstance(client.call(Request(Operation.PENDING, {}), timeout_s=1.0), Reply)
        assert channel.probes - before <= 2

    def test_a_quiet_client_goes_on_probing(self, timer: Timer) -> None:
        channel = ScriptedChannel(leader="n1", members=("n1",))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        before = channel.probes
        time.sleep(6 * client_module.PROBE_INTERVAL_S)
        assert channel.probes - before >= 2
        assert client.leader == "n1"


class TestCutOff:
    """Whether a client takes itself for cut off from all leaders."""

    def test_it_is_cut_off_once_an_election_would_be_over(self, timer: Timer) -> None:
        """Guards against callers that are sent away during each change of the leader."""
        channel = ScriptedChannel(leader="n1", members=("n1",))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        assert not client.is_cut_off
        channel.unanswering = {"n1"}
        lost_at = time.monotonic()
        while not client.is_cut_off:
            assert time.monotonic() - lost_at < 5
            time.sleep(0.01)
        assert time.monotonic() - lost_at > client_module.ELECTION_S
        channel.unanswering = set()
        assert wait_for_leader(client) == "n1"
        assert not client.is_cut_off


class TestLeaderClient:
    """Finding the leader, and the outcome of requests when it is lost."""

    def test_a_leader_that_is_no_contact_is_found(self, timer: Timer) -> None:
        """Guards against a process that starts when none of its contacts leads.

        It would never find the leader, and a frontend would refuse all callers.
        """
        channel = ScriptedChannel(leader="n5", members=("n1", "n4", "n5"))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1", "n2"))
        assert wait_for_leader(client) == "n5"

    def test_a_request_is_repeated_to_the_next_leader(self, timer: Timer) -> None:
        channel = ScriptedChannel(leader="n1", members=("n1", "n2"))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1", "n2"))
        assert wait_for_leader(client) == "n1"
        channel.unanswering.add("n1")
        channel.leader = "n2"
        reply = client.call(Request(Operation.STATUS, {"job": "a"}), timeout_s=5.0, attempt_s=5.0)
        assert isinstance(reply, Reply)
        assert channel.called_peers == ["n1", "n2"]

    def test_another_leader_is_found_before_the_old_one_counts_as_lost(
        self, timer: Timer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against 0.3 s without service after each election.

        A follower leads 0.4 s after the leader freezes. If only the frozen one were probed until it
        counts as lost, its successor would be found about 0.3 s late.
        """
        monkeypatch.setattr(client_module, "LOST_S", 60.0)
        channel = ScriptedChannel(leader="n1", members=("n1", "n2"))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1", "n2"))
        assert wait_for_leader(client) == "n1"
        channel.unanswering.add("n1")
        channel.leader = "n2"
        deadline = time.monotonic() + 5
        while client.leader != "n2" and time.monotonic() < deadline:
            time.sleep(0.01)
        assert client.leader == "n2"

    def test_without_a_leader_a_request_is_reported_as_not_delivered(self, timer: Timer) -> None:
        channel = ScriptedChannel(leader="", members=())
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        reply = client.call(Request(Operation.STATUS, {"job": "a"}), timeout_s=1.0)
        assert isinstance(reply, Failure)
        assert reply.code is ResultCode.NOT_DELIVERED
        assert channel.called_peers == []

    @pytest.mark.parametrize(
        "code", [ResultCode.OVERLOADED, ResultCode.UNKNOWN_SERVICE, ResultCode.MALFORMED]
    )
    def test_a_refusal_after_a_lost_leader_is_reported_as_unknown(
        self, timer: Timer, monkeypatch: pytest.MonkeyPatch, code: ResultCode
    ) -> None:
        """Guards against reporting a job as refused that the lost leader may have started."""
        monkeypatch.setattr(client_module, "ELECTION_S", 3.0)
        channel = ScriptedChannel(leader="n1", members=("n1", "n2"))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1", "n2"))
        assert wait_for_leader(client) == "n1"
        channel.unanswering.add("n1")
        channel.leader = "n2"
        channel.reply = Reply(code, {"retry_after_ms": 100})
        with capture_logs() as lines:
            reply = client.call(
                Request(Operation.SUBMIT, {"job": "a"}), timeout_s=5.0, attempt_s=5.0
            )
        assert isinstance(reply, Failure)
        assert reply.code is ResultCode.TIMED_OUT
        # Its log names the answer that the refusal would contradict.
        events = {line["event"]: line for line in lines if line.get("job") == "a"}
        assert events["submit_not_decided"]["is_sent"]
        assert events["refusal_unproven"]["code"] == code.label
        # The second leader is told that the first one may have received the submission.
        assert [each.get("is_resent", False) for each in channel.submits] == [False, True]

    def test_a_submission_is_not_sent_to_a_silent_leader(self, timer: Timer) -> None:
        """Load: the leader's machine is lost; requests arrive until its loss is noticed.

        A submission that was sent to it could not be refused any more, since it may have run.
        """
        channel = ScriptedChannel(leader="n1", members=("n1",))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        channel.unanswering.add("n1")
        at = time.monotonic()
        time.sleep(client_module.SUSPECT_S + 0.05)
        assert client.leader == "n1"
        reply = client.call(Request(Operation.SUBMIT, {"job": "a"}), timeout_s=5.0)
        assert isinstance(reply, Failure)
        assert reply.code is ResultCode.NOT_DELIVERED
        assert channel.called_peers == []
        assert time.monotonic() - at < client_module.LOST_S + 0.1

    def test_a_submission_waits_for_a_leader_that_answers_again(self, timer: Timer) -> None:
        """Load: a leader is paused for less time than one that counts as lost."""
        channel = ScriptedChannel(leader="n1", members=("n1",))
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        channel.unanswering.add("n1")
        time.sleep(client_module.SUSPECT_S + 0.02)
        channel.unanswering.clear()
        reply = client.call(Request(Operation.SUBMIT, {"job": "a"}), timeout_s=5.0)
        assert reply == Reply(ResultCode.ACCEPTED)
        assert channel.called_peers == ["n1"]

    @pytest.mark.parametrize(
        "code", [ResultCode.OVERLOADED, ResultCode.UNKNOWN_SERVICE, ResultCode.MALFORMED]
    )
    def test_a_refusal_by_the_first_leader_is_passed_on(
        self, timer: Timer, code: ResultCode
    ) -> None:
        channel = ScriptedChannel(leader="n1", members=("n1",))
        channel.reply = Reply(code)
        client = LeaderClient(channel=channel, timer=timer, contacts=("n1",))
        assert wait_for_leader(client) == "n1"
        reply = client.call(Request(Operation.SUBMIT, {"job": "a"}), timeout_s=5.0)
        assert reply == Reply(code)
