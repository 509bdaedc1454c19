"""Tests the answers to heartbeats of upstreams."""

import json
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
