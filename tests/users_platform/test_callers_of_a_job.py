"""Tests what the callers of one job are told, through the real frontend and leader."""

import json
from collections.abc import Callable
from concurrent.futures import Future

import pytest

from kumquatlift.authority import Operation, Reply, Request
from kumquatlift.blackboard import Blackboard
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.platform._frontend import Frontend
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse
from tests.authority_world import answered_at_end, job, make
from tools.fleet_model import FleetModel

JOB = "a" * 16
OTHER_JOB = "b" * 16
STEP = {"count": 2, "cpu": 6800, "requestedMemoryMb": 64, "estimatedMs": 300}
BODY = json.dumps({"spec": "text", "steps": [STEP], "bestEffort": True}).encode()
WORK_MS = 300.0


class WorldClient:
    """A ``LeaderClient`` whose calls advance a simulated world until they are answered.

    Args:
        world: The world, which answers the requests.
    """

    leader = "10.0.0.1:7000"

    def __init__(self, *, world: FleetModel) -> None:
        self._world = world

    def call(
        self,
        request: Request,
        *,
        timeout_s: float,
        is_abandoned: Callable[[], bool] = lambda: False,
        **_options: float,
    ) -> Reply | Failure:
        """Advance the world until the reply has arrived or nobody waits for it."""
        deadline = self._world.clock.now() + timeout_s
        fut = self._world.send_request(request)
        while not is_abandoned() and self._world.clock.now() < deadline:
            self._world.run(0.01)
            if fut.done():
                return fut.result(timeout=0)
        return Failure(ResultCode.TIMED_OUT, "no answer of a leader")


class Caller:
    """A caller of one frontend, in a simulated world.

    Args:
        world: The world.
    """

    def __init__(self, *, world: FleetModel) -> None:
        self._world = world
        self._frontend = Frontend(
            client=WorldClient(world=world),  # type: ignore[arg-type]
            zone="z",
            section=Blackboard().section("frontend"),
        )

    def submit(self, *, leaves_after_s: float | None = None, job_id: str = JOB) -> ApiResponse:
        """Submit a job; the connection breaks after a time if one is given."""
        started_at = self._world.clock.now()

        def is_disconnected() -> bool:
            return (
                leaves_after_s is not None
                and self._world.clock.now() - started_at >= leaves_after_s
            )

        return self.request("POST", BODY, is_disconnected, job_id)

    def request(
        self,
        method: str,
        body: bytes = b"",
        is_disconnected: Callable[[], bool] = lambda: False,
        job_id: str = JOB,
    ) -> ApiResponse:
        """Send a request for a job."""
        req = ApiRequest(method, f"/q/{job_id}", {}, {"host": "h"}, body, is_disconnected)
        return self._frontend.handle(req)


@pytest.fixture(name="world")
def fixture_world() -> FleetModel:
    """Return a world in which the tasks of the job run for ``WORK_MS``."""
    world = make()
    world._work[JOB] = (WORK_MS, 6800)
    return world


def state_of(res: ApiResponse) -> object:
    """Return the state that a response tells; None without one."""
    return json.loads(res.body).get("state") if res.status == 200 else None


class TestDisconnect:
    """A broken connection ends one submission, not the job that others wait for."""

    @pytest.mark.parametrize("leaves_after_s", [0.0, 0.02, 0.1, 0.29, 0.32, 0.35])
    @pytest.mark.parametrize("resends_after_s", [0.0, 0.05, 1.3, 4.0])
    def test_a_caller_that_submits_again_is_told_the_result(
        self, world: FleetModel, leaves_after_s: float, resends_after_s: float
    ) -> None:
        """Guards against the state ``cancelled`` for a job that its caller wants."""
        Caller(world=world).submit(leaves_after_s=leaves_after_s)
        world.run(resends_after_s)
        res = Caller(world=world).submit()
        assert (res.status, state_of(res)) == (200, "completed")
        assert world.violations == []

    @pytest.mark.parametrize("leaves_after_s", [0.0, 0.1, 0.25])
    def test_the_other_caller_of_the_job_is_told_the_result(
        self, world: FleetModel, leaves_after_s: float
    ) -> None:
        """Guards against a state that the disconnect of another caller decided."""
        waiting: Future[Reply] = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        Caller(world=world).submit(leaves_after_s=leaves_after_s)
        world.run(1.0)
        assert waiting.result(timeout=0).fields == {"state": "completed"}
        assert world.starts == 2


class TestCancelledJob:
    """A submission is answered with ``completed`` or ``failed``, also when the job is cancelled."""

    def test_a_caller_that_waits_is_told_that_the_job_failed(self, world: FleetModel) -> None:
        waiting = world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(0.1)
        assert state_of(Caller(world=world).request("DELETE")) == "cancelled"
        assert waiting.result(timeout=0).fields == {"state": "failed"}

    def test_a_caller_that_submits_again_is_told_that_the_job_failed(
        self, world: FleetModel
    ) -> None:
        world.submit(JOB, answered_at_end(2), work_ms=WORK_MS)
        world.run(0.1)
        Caller(world=world).request("DELETE")
        world.run(0.5)
        assert state_of(Caller(world=world).submit()) == "failed"

    def test_the_caller_of_a_stored_job_is_told_that_it_is_cancelled(
        self, world: FleetModel
    ) -> None:
        world.submit(JOB, job(2), work_ms=9000)
        world.run(0.1)
        caller = Caller(world=world)
        assert state_of(caller.request("DELETE")) == "cancelled"
        assert state_of(caller.request("GET")) == "cancelled"

    def test_a_cancellation_that_an_older_leader_confirms_succeeds(
        self, monkeypatch: pytest.MonkeyPatch, world: FleetModel
    ) -> None:
        """Guards against an unknown outcome during a rolling restart: its reply has no state."""
        reply = Reply(ResultCode.ACCEPTED, {})
        monkeypatch.setattr(WorldClient, "call", lambda *_args, **_options: reply)
        assert Caller(world=world).request("DELETE").status == 200


class TestAbandonedJob:
    """A job that nobody waits for starts nothing more, and its runs end."""

    def test_a_job_whose_caller_does_not_return_is_stopped(self, world: FleetModel) -> None:
        world._work[JOB] = (9000.0, 6800)
        Caller(world=world).submit(leaves_after_s=0.1)
        world.run(2.5)
        assert not any(upstream.runs for upstream in world.upstreams.values())
        assert Caller(world=world).request("GET").status == 410

    def test_waiting_tasks_do_not_start(self) -> None:
        """Guards against work for callers that have left, while others wait for the resources."""
        world = make(upstreams=1)
        world.submit(JOB, answered_at_end(2), work_ms=400)
        world.run(0.05)
        world._work[OTHER_JOB] = (WORK_MS, 6800)
        Caller(world=world).submit(leaves_after_s=0.1, job_id=OTHER_JOB)
        world.run(2.0)
        assert world.starts == 2

    @pytest.mark.parametrize("returns_after_s", [1.0, 1.75, 1.79, 1.8, 1.81, 1.85, 2.0, 3.0])
    def test_no_task_runs_twice_at_a_time_when_the_caller_returns(
        self, world: FleetModel, returns_after_s: float
    ) -> None:
        """Guards against a new run beside one that is being stopped."""
        world._work[JOB] = (9000.0, 6800)
        Caller(world=world).submit(leaves_after_s=0.1)
        world.run(returns_after_s - 0.2)
        for upstream in world.upstreams.values():
            upstream.can_reply = False
        world.run(0.2)
        world.submit(JOB, answered_at_end(2), work_ms=9000)
        world.run(0.3)
        for upstream in world.upstreams.values():
            upstream.can_reply = True
        world.run(3.0)
        assert world.violations == []

    def test_a_caller_that_returns_is_not_told_that_the_job_has_not_run(self) -> None:
        """Guards against a false refusal: the first submission has started tasks of the job."""
        world = make(upstreams=1)
        world._work[JOB] = (900.0, 6800)
        Caller(world=world).submit(leaves_after_s=0.1)
        for number in range(20):
            world.submit(f"{number:016x}", answered_at_end(2), work_ms=900)
        world.run(0.2)
        refused = world.submit(OTHER_JOB, answered_at_end(2), work_ms=900)
        world.run(0.1)
        assert refused.result(timeout=0).code is ResultCode.OVERLOADED
        assert Caller(world=world).submit().status == 200
        assert world.violations == []

    def test_a_caller_that_returns_after_a_failed_run_is_not_refused(self) -> None:
        """Guards against a false refusal of a job of which no run is left."""
        world = make(upstreams=1)
        upstream = world.upstreams["u0"]
        upstream.fail_share = 1.0
        world._work[JOB] = (30.0, 6800)
        Caller(world=world).submit(leaves_after_s=0.05)
        upstream.fail_share = 0.0
        world.run(0.1)
        for number in range(20):
            world.submit(f"{number:016x}", answered_at_end(2), work_ms=900)
        world.run(0.1)
        res = Caller(world=world).submit()
        assert (res.status, state_of(res)) == (200, "completed")
        assert world.violations == []

    def test_a_withdrawal_that_overtakes_its_submission_starts_nothing(
        self, world: FleetModel
    ) -> None:
        """Guards against a job for which nobody waits and that nobody stops."""
        fields = {"job": JOB, "attempt": "x"}
        world.send_request(Request(Operation.WITHDRAW, fields))
        submit = {
            **fields,
            "spec": answered_at_end(2).to_plain(),
            "zone": "z",
            "host": "h",
            "path": f"/q/{JOB}",
        }
        world.send_request(Request(Operation.SUBMIT, submit))
        world.run(0.5)
        assert world.starts == 0


class TestState:
    """Only states that callers know leave the frontend."""

    @pytest.mark.parametrize(
        ("method", "fields"),
        [
            ("POST", {}),
            ("POST", {"state": None}),
            ("POST", {"state": "cancelled"}),
            ("POST", {"state": "queued"}),
            ("POST", {"state": ["completed"]}),
            ("GET", {}),
            ("GET", {"state": "refused"}),
            ("GET", {"members": ["10.0.0.1:7000"]}),
            ("DELETE", {"state": "refused"}),
        ],
    )
    def test_another_state_is_answered_as_unknown(
        self,
        monkeypatch: pytest.MonkeyPatch,
        world: FleetModel,
        method: str,
        fields: dict[str, object],
    ) -> None:
        """Guards against a success whose state the caller cannot read."""
        reply = Reply(ResultCode.ACCEPTED, fields)
        monkeypatch.setattr(WorldClient, "call", lambda *_args, **_options: reply)
        assert Caller(world=world).request(method, BODY).status == 504
