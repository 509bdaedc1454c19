"""Tests of the writer of log lines, which never blocks its callers."""

import io
import threading
import time

from kumquatlift.log import MAX_WAITING_LINES, LineWriter


class BlockedStream(io.StringIO):
    """A stream whose writes block until ``is_resumed`` is set, for at most 10 s."""

    def __init__(self) -> None:
        super().__init__()
        self.is_resumed = threading.Event()

    def write(self, text: str) -> int:
        self.is_resumed.wait(10)
        return super().write(text)


class TestFinish:
    """Guards against lost lines and against a delay at the end of a process."""

    def test_the_last_lines_are_written(self) -> None:
        stream = io.StringIO()
        writer = LineWriter(stream=stream)
        writer.write("event='stopped'\n")
        assert writer.finish(timeout_s=5.0)
        assert stream.getvalue() == "event='stopped'\n"

    def test_a_blocked_stream_does_not_keep_the_process_from_ending(self) -> None:
        """Guards against a process that cannot end while nobody reads its log.

        This is the suspected cause of a failure in the soak test, seed 719: a core process was
        still running 10 s after it had written its last line.
        """
        stream = BlockedStream()
        writer = LineWriter(stream=stream)
        writer.write("event='stopped'\n")
        time.sleep(0.3)
        writer.write("event='later'\n")
        assert not writer.finish(timeout_s=0.1)
        stream.is_resumed.set()


class TestBound:
    """Guards against a queue without a limit and against lines that are dropped silently."""

    def test_lines_beyond_the_limit_are_counted(self) -> None:
        stream = BlockedStream()
        writer = LineWriter(stream=stream)
        for _ in range(2 * MAX_WAITING_LINES + 10):
            writer.write("event='x'\n")
        stream.is_resumed.set()
        assert writer.finish(timeout_s=5.0)
        assert "event='lines_dropped' count=" in stream.getvalue()
