"""The writer of log lines, which never blocks its callers."""

import io
import threading
import time

from kumquatlift.log import MAX_WAITING_LINES, LineWriter


class BlockedStream(io.StringIO):
    """A stream whose reader has stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.is_resumed = threading.Event()

    def write(self, text: str) -> int:
        self.is_resumed.wait(10)
        return super().write(text)


class TestFinish:
    """The end of a process with lines that wait."""

    def test_the_last_lines_are_written(self) -> None:
        stream = io.StringIO()
        writer = LineWriter(stream=stream)
        writer.write("event='stopped'\n")
        assert writer.finish(timeout_s=5.0)
        assert stream.getvalue() == "event='stopped'\n"

    def test_a_stream_that_takes_nothing_does_not_keep_the_process(self) -> None:
        """Guards against a process that cannot end while nobody reads its log.

        Suspected in the soak, seed 719: a core had written its last line and was there 10 s on.
        """
        stream = BlockedStream()
        writer = LineWriter(stream=stream)
        writer.write("event='stopped'\n")
        time.sleep(0.3)
        writer.write("event='later'\n")
        assert not writer.finish(timeout_s=0.1)
        stream.is_resumed.set()


class TestBound:
    """Lines that a slow stream leaves waiting."""

    def test_further_lines_are_counted(self) -> None:
        stream = BlockedStream()
        writer = LineWriter(stream=stream)
        for _ in range(2 * MAX_WAITING_LINES + 10):
            writer.write("event='x'\n")
        stream.is_resumed.set()
        assert writer.finish(timeout_s=5.0)
        assert "event='lines_dropped' count=" in stream.getvalue()
