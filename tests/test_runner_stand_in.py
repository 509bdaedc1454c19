"""Tests the limits, faults and announcements of the runner stand-in."""

import http.client
import json
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from kumquatlift.upstreams.announcer import Announcer
from kumquatlift.upstreams.runner_mode import Fault, Mode
from kumquatlift.upstreams.runner_stand_in import RunnerIdentity, RunnerStandIn


def wait_for(condition: Callable[[], bool], bound_s: float = 5) -> None:
    until = time.monotonic() + bound_s
    while not condition():
        assert time.monotonic() < until, "the condition did not come true in time"
        time.sleep(0.005)


def start_runner() -> RunnerStandIn:
    identity = RunnerIdentity("r1", "s", "z", "w1", slots=2, connections=8)
    runner = RunnerStandIn(identity=identity, host="127.0.0.1", port=0, entries=())
    runner.start()
    return runner


@pytest.fixture
def stand_in() -> Iterator[RunnerStandIn]:
    runner = start_runner()
    yield runner
    runner.close()


def run(runner: RunnerStandIn, task: str, run_ms: int, lease_ms: int = 5000) -> tuple[int, Any]:
    tasks = [{"id": task, "body": {"run_ms": run_ms}}]
    order = {"job": "j", "attempt": 1, "kind": "k", "lease_ms": lease_ms, "tasks": tasks}
    conn = http.client.HTTPConnection(runner.address, timeout=5)
    try:
        conn.request("POST", "/run", json.dumps(order).encode())
        res = conn.getresponse()
        return res.status, json.loads(res.read())
    finally:
        conn.close()


class TestClose:
    """The stand-in closes its sockets in the thread of its server's loop."""

    def test_a_wake_up_by_another_thread_does_not_close_the_trigger_early(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a write to a file descriptor that is closed, or used by another file.

        A thread that had written an answer woke the loop between the two steps of the closing.
        """
        runner = start_runner()
        trigger: Any = runner._server.trigger
        pull = trigger._physical_pull

        def pull_late() -> None:
            pull()
            time.sleep(0.2)
            pull()

        monkeypatch.setattr(trigger, "_physical_pull", pull_late)
        runner.close()


class TestRunnerStandIn:
    """Guards against a stand-in that exceeds a limit but records that it kept it."""

    def test_refuses_more_than_its_slots_and_records_every_start(
        self, stand_in: RunnerStandIn
    ) -> None:
        with ThreadPoolExecutor(max_workers=2) as executor:
            futs = [executor.submit(run, stand_in, f"t{number}", 300) for number in range(2)]
            wait_for(lambda: stand_in.record.busy == 2)
            assert run(stand_in, "extra", 0)[0] == 503
            assert [fut.result()[0] for fut in futs] == [200, 200]
        record = stand_in.record.to_json()
        assert (record["peak_slots"], record["refused"], record["completed"]) == (2, 1, 2)
        assert record["peak_connections"] >= 3
        assert sorted(start["task"] for start in record["starts"]) == ["t0", "t1"]

    def test_stops_a_task_at_the_end_of_its_lease(self, stand_in: RunnerStandIn) -> None:
        status, answer = run(stand_in, "long", 60_000, lease_ms=50)
        assert (status, answer["ran"]) == (500, "yes")
        assert stand_in.record.busy == 0

    @pytest.mark.parametrize(
        ("fault", "error"),
        [(Fault.CLOSE, ConnectionError), (Fault.TRUNCATE, http.client.IncompleteRead)],
    )
    def test_start_is_recorded_before_a_broken_response(
        self, stand_in: RunnerStandIn, fault: Fault, error: type[Exception]
    ) -> None:
        stand_in.mode = Mode(fault=fault)
        with pytest.raises(error):
            run(stand_in, "broken", 0)
        assert len(stand_in.record.to_json()["starts"]) == 1


class TestAnnouncer:
    """Guards against a runner that keeps calling a dead entry process or forgets its owner."""

    def test_tries_the_next_entry_and_echoes_the_last_owner(self, stand_in: RunnerStandIn) -> None:
        # The stand-in answers 404 with a JSON object, which is an answer without an owner.
        announcer = Announcer(entries=("127.0.0.1:9", stand_in.address), announcement=dict)
        announcer.owner = "owner-1"
        with ThreadPoolExecutor(max_workers=1) as executor:
            executor.submit(announcer.run)
            try:
                wait_for(lambda: announcer.answers > 0)
            finally:
                announcer.stop()
        assert announcer.owner == "owner-1"
