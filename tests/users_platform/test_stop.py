"""Signals that end a program or report a change of its settings."""

import os
import signal
from collections.abc import Iterator

import pytest
import structlog

from kumquatlift.platform._programs import Stop


@pytest.fixture
def stop() -> Iterator[Stop]:
    former = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    yield Stop()
    for number, handler in former.items():
        signal.signal(number, handler)


class TestStop:
    """Guards against handlers that need a lock which the main thread holds.

    A frontend that got SIGTERM while it began to wait for it never stopped, and its requests were
    cut when it was killed. Found by the soak with stops that follow each start at once.
    """

    def test_handlers_leave_the_work_to_the_thread_that_waits(self, stop: Stop) -> None:
        with structlog.testing.capture_logs() as lines:
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)
            assert lines == []
            stop.wait()
        assert [line["event"] for line in lines] == ["settings_file_changed"]

    def test_a_stop_is_remembered(self, stop: Stop) -> None:
        assert not stop.wait_for_stop(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        assert stop.wait_for_stop(5.0)
        assert stop.wait_for_stop(0.0)
        stop.wait()
