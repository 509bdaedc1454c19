"""Tests the signals that stop a program or report a change of its settings."""

import os
import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any
from urllib.request import urlopen

import pytest
import structlog

from kumquatlift.platform._open_requests import OpenRequests
from kumquatlift.platform._programs import StopSignal, _stop_core
from kumquatlift.settings import Address
from kumquatlift.transport.server import HttpServer
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, application


@pytest.fixture
def stop() -> Iterator[StopSignal]:
    previous = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    yield StopSignal()
    for number, handler in previous.items():
        signal.signal(number, handler)


class TestStop:
    """Guards against signal handlers that need a lock which the main thread holds.

    A frontend that received SIGTERM just as it began to wait for it deadlocked, and its requests
    were lost when it was killed. This occurs when a stop follows a start at once.
    """

    def test_signals_are_processed_by_the_waiting_thread(self, stop: StopSignal) -> None:
        with structlog.testing.capture_logs() as lines:
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)
            assert lines == []
            stop.wait()
        assert [line["event"] for line in lines] == ["settings_file_changed"]

    def test_every_wait_after_sigterm_returns_at_once(self, stop: StopSignal) -> None:
        assert not stop.wait_for_stop(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        assert stop.wait_for_stop(5.0)
        assert stop.wait_for_stop(0.0)
        stop.wait()


class TestStopOfACore:
    """Guards against an operator's request that is read and gets no answer."""

    def test_a_request_that_waits_for_the_next_leader_is_answered(
        self, stop: StopSignal, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("kumquatlift.platform._programs.HAND_OVER_S", 0.05)
        is_read, has_leader, is_ended = threading.Event(), threading.Event(), threading.Event()

        def handle(_req: ApiRequest) -> ApiResponse:
            is_read.set()
            has_leader.wait(5.0)
            return ApiResponse.from_json(200, {})

        requests = OpenRequests(handler=handle)
        control = HttpServer(
            app=application(requests.handle),
            address=Address("127.0.0.1", 0),
            threads=1,
            name="control",
        )
        control.start()
        loop: Any = SimpleNamespace(post=lambda function: function(), stop=is_ended.set)
        replica: Any = SimpleNamespace(raft=SimpleNamespace(transfer_leadership=lambda: None))
        with ThreadPoolExecutor(2) as pool:
            answer = pool.submit(urlopen, f"http://{control.address}/", timeout=5.0)
            assert is_read.wait(5.0)
            os.kill(os.getpid(), signal.SIGTERM)
            pool.submit(_stop_core, stop, loop, replica, requests)
            assert not is_ended.wait(0.3)
            has_leader.set()
            assert is_ended.wait(5.0)
            with answer.result(5.0) as found:
                assert found.status == 200
        control.close()
