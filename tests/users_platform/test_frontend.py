"""Tests the answers to callers while a frontend stops."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from kumquatlift.authority import Reply, Request
from kumquatlift.blackboard import Blackboard
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.platform._frontend import Frontend
from kumquatlift.transport.wsgi import ApiRequest

BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "estimatedMs": 9000}]}).encode()


class BusyLeader:
    """A leader that doesn't answer requests until they are abandoned."""

    leader = "10.0.0.1:7000"

    def __init__(self) -> None:
        self.asked = 0

    def call(
        self, request: Request, *, is_abandoned: Callable[[], bool], **_options: float
    ) -> Reply | Failure:
        self.asked += 1
        deadline = time.monotonic() + 5
        while not is_abandoned() and time.monotonic() < deadline:
            time.sleep(0.01)
        return Failure(ResultCode.TIMED_OUT, "no answer of a leader")


def submit(*, is_logged: bool) -> ApiRequest:
    body = json.dumps({**json.loads(BODY), "bestEffort": not is_logged}).encode()
    return ApiRequest("POST", "/q/00000000000003e9", {}, {"host": "h"}, body)


class TestStop:
    """Answers while the process stops."""

    def test_a_caller_whose_job_is_running_gets_an_answer_before_the_exit(self) -> None:
        """Guards against a connection that is closed after its request was read.

        This happened to a job of 2.5 s that was submitted 2.9 s after SIGTERM: it ended 1 ms after
        the process had exited.
        """
        leader = BusyLeader()
        section = Blackboard().section("frontend")
        frontend = Frontend(client=leader, zone="z", section=section)  # type: ignore[arg-type]
        with ThreadPoolExecutor(1) as executor:
            fut = executor.submit(frontend.handle, submit(is_logged=False))
            while not leader.asked:
                time.sleep(0.001)
            frontend.abandon_requests()
            answer = fut.result(timeout=4)
        assert answer.status == 504

    def test_a_request_after_the_close_is_refused(self) -> None:
        leader = BusyLeader()
        section = Blackboard().section("frontend")
        frontend = Frontend(client=leader, zone="z", section=section)  # type: ignore[arg-type]
        frontend.close()
        assert frontend.handle(submit(is_logged=True)).status == 503
        assert leader.asked == 0
