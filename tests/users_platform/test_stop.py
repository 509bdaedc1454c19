"""Tests the signals that stop a program or report a change of its settings."""

import os
import signal
from collections.abc import Iterator

import pytest
import structlog

from kumquatlift.platform._programs import StopSignal


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
