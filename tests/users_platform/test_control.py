"""Tests the answers to heartbeats of upstreams, and to orders of operators for a zone."""

import json
import time
from typing import Any

import pytest

from kumquatlift.authority import Operation, Reply, Request
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.platform._control import MAX_DIRECT_UPSTREAMS, Control
from kumquatlift.transport.wsgi import ApiRequest
from tests.users_platform.test_wire import HEARTBEAT


class FakeLeader:
    """Answers every request with the same reply."""

    def __init__(self, reply: Reply | Failure) -> None:
        self.leader = "10.0.0.1:7000"
        self.reply = reply
        self.requests: list[Request] = []

    def call(self, request: Request, *, timeout_s: float) -> Reply | Failure:
        self.requests.append(request)
        return self.reply


def heartbeat(reply: Reply | Failure) -> tuple[int, Any]:
    leader = FakeLeader(reply)
    control = Control(client=leader, control_port=8166)  # type: ignore[arg-type]
    body = json.dumps(HEARTBEAT).encode()
    answer = control.handle(ApiRequest("POST", "/api/instances/i-1/heartbeat", {}, {}, body))
    assert [request.operation for request in leader.requests] == [Operation.ANNOUNCE]
    return answer.status, json.loads(answer.body)


class TestHeartbeats:
    """Guards against a leader that receives the heartbeats of a large fleet directly.

    With 3,000 upstreams, their connections used up all that the leader serves, and operators could
    no longer read the configuration.
    """

    def test_upstreams_of_a_small_fleet_are_sent_to_the_leader(self) -> None:
        reply = Reply(ResultCode.ACCEPTED, {"upstreams": MAX_DIRECT_UPSTREAMS})
        assert heartbeat(reply) == (200, {"heartbeatAddress": "10.0.0.1:8166"})

    @pytest.mark.parametrize("fields", [{"upstreams": MAX_DIRECT_UPSTREAMS + 1}, {}])
    def test_upstreams_of_other_fleets_keep_their_address(self, fields: dict[str, int]) -> None:
        assert heartbeat(Reply(ResultCode.ACCEPTED, fields)) == (200, {})

    def test_heartbeat_that_did_not_reach_the_leader_is_not_acknowledged(self) -> None:
        failure = Failure(ResultCode.TIMED_OUT, "no answer of a leader")
        assert heartbeat(failure)[0] == 503

    @pytest.mark.parametrize(
        ("cold", "expected"), [(2500, 2500), (10**9, 60_000), (0, None), (-1, None)]
    )
    def test_the_leader_learns_how_long_an_upstream_is_cold(
        self, cold: float, expected: int | None
    ) -> None:
        leader = FakeLeader(Reply(ResultCode.ACCEPTED))
        body = json.dumps({**HEARTBEAT, "coldRemainingMs": cold}).encode()
        control = Control(client=leader, control_port=8166)  # type: ignore[arg-type]
        control.handle(ApiRequest("POST", "/api/instances/i-1/heartbeat", {}, {}, body))
        assert leader.requests[0].fields.get("cold_ms") == expected


class TestDepartures:
    """Guards against a late departure that ends the use of the next incarnation."""

    @pytest.mark.parametrize(
        ("body", "born_ms"),
        [
            (b"", None),
            (b"{}", None),
            (b'{"born": 1733500000000}', 1733500000000),
            (b'{"born": "odd"}', None),
            (b'{"born": -1}', None),
            (b"[", None),
            (b"7", None),
        ],
    )
    def test_the_leader_learns_which_incarnation_leaves(
        self, body: bytes, born_ms: int | None
    ) -> None:
        leader = FakeLeader(Reply(ResultCode.ACCEPTED))
        control = Control(client=leader, control_port=8166)  # type: ignore[arg-type]
        answer = control.handle(ApiRequest("POST", "/api/instances/i-1/deregister", {}, {}, body))
        assert answer.status == 200
        assert leader.requests[0].fields["upstream"] == "i-1"
        assert leader.requests[0].fields.get("born_ms") == born_ms


class NumberingLeader(FakeLeader):
    """Takes an order if it names the number of the newest one, as leaders do."""

    def __init__(self, reply: Reply | Failure, *, moves: int = 0, delay_s: float = 0.0) -> None:
        super().__init__(reply)
        self.number = 7
        self.moves = moves
        self.delay_s = delay_s

    def call(self, request: Request, *, timeout_s: float) -> Reply | Failure:
        super().call(Request.from_bytes(request.to_bytes()), timeout_s=timeout_s)
        if request.fields.get("number") == self.number:
            return self.reply
        known = Reply(ResultCode.ACCEPTED, {"number": self.number})
        if self.moves:
            # Another order is given before the next message arrives.
            self.moves -= 1
            self.number += 1
        time.sleep(self.delay_s)
        return known


def evacuation(
    leader: FakeLeader,
    path: str = "scot-gla/start",
    *,
    method: str = "POST",
    body: bytes = b"",
    has_left: bool = False,
) -> int:
    control = Control(client=leader, control_port=1, zones=("scot-gla",))  # type: ignore[arg-type]
    req = ApiRequest(method, f"/api/evacuations/{path}", {}, {}, body, lambda: has_left)
    return control.handle(req).status


class TestEvacuations:
    """Orders to empty a zone: acknowledged only when committed, and never passed on late."""

    @pytest.mark.parametrize(("action", "is_empty"), [("start", True), ("stop", False)])
    def test_an_order_is_acknowledged_when_it_is_committed(
        self, action: str, is_empty: bool
    ) -> None:
        leader = NumberingLeader(Reply(ResultCode.ACCEPTED))
        assert evacuation(leader, f"scot-gla/{action}") == 200
        fields = {"zone": "scot-gla", "is_empty": is_empty, "is_known": True, "number": 7}
        assert leader.requests[-1] == Request(Operation.EVACUATE, fields)

    def test_an_order_that_another_one_overtakes_is_sent_with_the_new_number(self) -> None:
        leader = NumberingLeader(Reply(ResultCode.ACCEPTED), moves=2)
        assert evacuation(leader) == 200
        assert [each.fields.get("number") for each in leader.requests] == [None, 7, 8, 9]

    @pytest.mark.parametrize(
        ("path", "method", "body", "status"),
        [
            ("scot-gla/start", "GET", b"", 405),
            ("scot-gla/start", "PUT", b"", 405),
            ("scot-gla/start", "POST", b"{}", 400),
            ("/start", "POST", b"", 400),
            ("x" * 300 + "/stop", "POST", b"", 400),
            ("scot-gla/pause", "POST", b"", 404),
            ("scot-gla", "POST", b"", 404),
        ],
    )
    def test_odd_calls_reach_no_leader(
        self, path: str, method: str, body: bytes, status: int
    ) -> None:
        leader = NumberingLeader(Reply(ResultCode.ACCEPTED))
        assert evacuation(leader, path, method=method, body=body) == status
        assert leader.requests == []

    def test_an_unknown_zone_is_refused(self) -> None:
        assert evacuation(FakeLeader(Reply(ResultCode.NOT_FOUND)), "none/start") == 404

    @pytest.mark.parametrize(
        "reply",
        [
            Failure(ResultCode.TIMED_OUT, "no answer of a leader"),
            Failure(ResultCode.NOT_DELIVERED, "no instance leads at present"),
            # The answer of a leader of the build before this one.
            Reply(ResultCode.MALFORMED, {"reason": "unknown operation"}),
        ],
    )
    def test_an_order_without_a_clear_answer_is_not_acknowledged(
        self, reply: Reply | Failure
    ) -> None:
        assert evacuation(FakeLeader(reply)) == 503
        assert evacuation(NumberingLeader(reply)) == 503

    def test_an_order_whose_sender_has_left_is_not_passed_on(self) -> None:
        """Failure: the process is paused before it reads the order."""
        leader = NumberingLeader(Reply(ResultCode.ACCEPTED))
        assert evacuation(leader, has_left=True) == 503
        assert leader.requests == []

    def test_an_order_is_not_passed_on_after_a_pause(self) -> None:
        """Failure: the process is paused between two messages."""
        leader = NumberingLeader(Reply(ResultCode.ACCEPTED), delay_s=1.0)
        assert evacuation(leader) == 503
        assert len(leader.requests) == 1
