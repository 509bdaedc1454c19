"""Tests of the writer of log lines, which never blocks its callers."""

import io
import os
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator

import pytest
import structlog

from kumquatlift.blackboard import Blackboard
from kumquatlift.log import MAX_WAITING_LINES, LineWriter, configure_logs, get_logger

PIPE_BUF = 4096
# What the reader of the incident took of each write.
READER_BYTES = 8192
REPORT = re.compile(r"event='lines_dropped' count=(\d+)\n")


class BlockedStream(io.StringIO):
    """A stream whose writes block until ``is_resumed`` is set, for at most 10 s."""

    def __init__(self) -> None:
        super().__init__()
        self.is_resumed = threading.Event()

    def write(self, text: str) -> int:
        self.is_resumed.wait(10)
        return super().write(text)


class FakePipe(io.RawIOBase):
    """The raw end of a stream.

    Args:
        write: Called with the number of the call and its bytes; returns what the reader receives
            and how many bytes the call says were taken. It may raise ``OSError``.
    """

    def __init__(self, write: Callable[[int, bytes], tuple[bytes, int | None]]) -> None:
        super().__init__()
        self._write = write
        self.calls: list[bytes] = []
        self.received = b""

    def writable(self) -> bool:
        return True

    def write(self, data: bytes) -> int | None:  # type: ignore[override]
        self.calls.append(bytes(data))
        received, taken = self._write(len(self.calls), bytes(data))
        self.received += received
        return taken

    def stream(self) -> io.TextIOWrapper:
        """Return a text stream above this end, as standard output is one."""
        return io.TextIOWrapper(io.BufferedWriter(self), encoding="utf-8")

    @property
    def lines(self) -> list[str]:
        return self.received.decode().splitlines()


def take_all(_call: int, data: bytes) -> tuple[bytes, int]:
    return data, len(data)


def take_at_most(limit: int) -> Callable[[int, bytes], tuple[bytes, int]]:
    return lambda _call, data: (data[:limit], len(data[:limit]))


def fail_at(*calls: int) -> Callable[[int, bytes], tuple[bytes, int]]:
    def write(call: int, data: bytes) -> tuple[bytes, int]:
        if call in calls:
            raise OSError(5, "Input/output error")
        return take_all(call, data)

    return write


def numbered(count: int, *, size: int = 230) -> list[str]:
    return [f"event='job_accepted' number={i:06d} ".ljust(size - 1, "x") for i in range(count)]


def write_all(writer: LineWriter, lines: list[str]) -> None:
    for line in lines:
        writer.write(line + "\n")


def write_together(writer: LineWriter, lines: list[str]) -> None:
    """Write lines of which the writer's thread cannot find only the first ones."""
    writer.write("\n".join(lines) + "\n")


def reported(text: str) -> int:
    return sum(int(count) for count in REPORT.findall(text))


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

    def test_lines_that_a_full_stream_has_not_taken_are_waited_for(self) -> None:
        """Guards against an end that is called complete while a piece is held back."""
        pipe = FakePipe(lambda call, data: (b"", None) if call < 4 else (data, len(data)))
        writer = LineWriter(stream=pipe.stream())
        writer.write("event='stopped'\n")
        assert writer.finish(timeout_s=5.0)
        assert pipe.received == b"event='stopped'\n"

    def test_a_stream_that_stays_full_does_not_keep_the_process_from_ending(self) -> None:
        """Guards against a writer that asks a full stream again until it takes the piece."""
        pipe = FakePipe(lambda _call, _data: (b"", None))
        writer = LineWriter(stream=pipe.stream())
        writer.write("event='stopped'\n")
        begun_at = time.monotonic()
        assert not writer.finish(timeout_s=0.5)
        assert time.monotonic() - begun_at < 2.0
        assert len(pipe.calls) <= 6

    def test_a_stream_that_always_fails_does_not_keep_the_process_from_ending(self) -> None:
        """Guards against an endless attempt to report drops to a reader that has ended."""
        section = Blackboard().section("log")
        pipe = FakePipe(fail_at(*range(1, 1000)))
        writer = LineWriter(stream=pipe.stream(), section=section)
        write_all(writer, [*numbered(100), "x" * 2 * PIPE_BUF])
        assert writer.finish(timeout_s=5.0)
        assert section.get("lines_dropped") == 101


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


class TestPieces:
    """Guards against writes that a reader cuts, and against more writes than needed."""

    def test_a_reader_that_drops_the_end_of_a_long_write_gets_every_line(self) -> None:
        """Guards against the incident: the reader took 8,192 bytes of each write."""
        pipe = FakePipe(lambda _call, data: (data[:READER_BYTES], len(data)))
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(2000)
        write_all(writer, lines)
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines == lines

    def test_each_write_holds_whole_lines_within_the_limit(self) -> None:
        pipe = FakePipe(take_all)
        writer = LineWriter(stream=pipe.stream())
        write_all(writer, numbered(2000, size=231))
        assert writer.finish(timeout_s=5.0)
        assert max(map(len, pipe.calls)) <= PIPE_BUF
        assert all(call.endswith(b"\n") for call in pipe.calls)

    def test_writes_are_filled(self) -> None:
        """Guards against a system call a line; the platform charges for calls."""
        pipe = FakePipe(take_all)
        writer = LineWriter(stream=pipe.stream())
        write_all(writer, numbered(4000, size=256))
        assert writer.finish(timeout_s=5.0)
        # A piece holds 16 lines. Each interval may end with a piece that is not full.
        assert 4000 / 16 <= len(pipe.calls) <= 4000 / 16 + 10

    def test_nothing_is_written_while_no_line_waits(self) -> None:
        pipe = FakePipe(take_all)
        LineWriter(stream=pipe.stream())
        time.sleep(0.3)
        assert pipe.calls == []


class TestLongLine:
    """Guards against a line that is longer than a write may be."""

    @pytest.mark.parametrize("extra", [0, 1, 5000])
    def test_it_is_cut_to_the_limit_and_marked(self, extra: int) -> None:
        pipe = FakePipe(take_all)
        writer = LineWriter(stream=pipe.stream())
        line = "x" * (PIPE_BUF - 1 + extra)
        write_all(writer, ["before", line, "after"])
        assert writer.finish(timeout_s=5.0)
        shown = line if not extra else "x" * (PIPE_BUF - 4) + "..."
        assert pipe.lines == ["before", shown, "after"]
        assert max(map(len, pipe.calls)) <= PIPE_BUF

    def test_no_character_is_cut(self) -> None:
        """Guards against a reader that cannot decode the line."""
        for start in range(4):
            pipe = FakePipe(take_all)
            writer = LineWriter(stream=pipe.stream())
            writer.write("x" * start + "\N{TANGERINE}" * PIPE_BUF + "\n")
            assert writer.finish(timeout_s=5.0)
            assert PIPE_BUF - 4 < len(pipe.received) <= PIPE_BUF
            assert pipe.received.decode().endswith("\N{TANGERINE}...\n")

    def test_a_text_of_several_lines_is_not_one_long_line(self) -> None:
        """Guards against a traceback that is cut although each of its lines is short."""
        pipe = FakePipe(take_all)
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(40)
        writer.write("\n".join(lines) + "\n")
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines == lines

    def test_text_that_the_stream_cannot_encode_is_escaped(self) -> None:
        """Guards against one character for which all waiting lines are dropped."""
        pipe = FakePipe(take_all)
        writer = LineWriter(stream=pipe.stream())
        write_all(writer, ["before", "name='\udc80'", "after"])
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines == ["before", "name='\\udc80'", "after"]


class TestShortWrites:
    """Guards against lines that are cut where a stream takes less than it was given."""

    @pytest.mark.parametrize("limit", [1, 100, 1000, 4095])
    def test_the_rest_is_written_next(self, limit: int) -> None:
        pipe = FakePipe(take_at_most(limit))
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(100)
        write_all(writer, lines)
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines == lines

    def test_the_rest_waits_while_the_stream_is_full(self) -> None:
        """Guards against a queue that is thrown away because a stream does not block."""
        sizes = {1: 1000, 2: None, 3: 1, 4: None, 5: 0}

        def write(call: int, data: bytes) -> tuple[bytes, int | None]:
            taken = sizes.get(call, len(data))
            return data[: taken or 0], taken

        pipe = FakePipe(write)
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(100)
        write_all(writer, lines)
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines == lines

    def test_a_text_stream_that_takes_less_gets_the_rest(self) -> None:
        """Guards against a count of characters that is taken for one of bytes."""

        class ShortText(io.StringIO):
            def write(self, text: str) -> int:
                return super().write(text[:100])

        stream = ShortText()
        writer = LineWriter(stream=stream)
        lines = [f"{i} " + "\N{TANGERINE}" * 30 for i in range(50)]
        write_all(writer, lines)
        assert writer.finish(timeout_s=5.0)
        assert stream.getvalue().splitlines() == lines


class TestFailedWrites:
    """Guards against lines that are lost by a failed write without being counted."""

    def test_the_lines_of_the_write_are_counted_and_the_others_written(self) -> None:
        pipe = FakePipe(fail_at(2))
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(100, size=256)
        write_all(writer, lines)
        assert writer.finish(timeout_s=5.0)
        text = pipe.received.decode()
        written = REPORT.sub("", text).splitlines()
        assert reported(text) == 100 - len(written) == pipe.calls[1].count(b"\n")
        assert written == [line for line in lines if line in written]

    def test_a_report_that_fails_is_made_again(self) -> None:
        """Guards against a count that is lost with the write that should have told it."""
        pipe = FakePipe(fail_at(2, 3, 4))
        writer = LineWriter(stream=pipe.stream())
        write_all(writer, numbered(160, size=256))
        assert writer.finish(timeout_s=5.0)
        text = pipe.received.decode()
        assert len(REPORT.findall(text)) == 1
        assert reported(text) + len(REPORT.sub("", text).splitlines()) == 160

    def test_a_line_that_was_cut_is_counted_and_ended(self) -> None:
        """Guards against a line that is joined to half of an earlier one."""

        def write(call: int, data: bytes) -> tuple[bytes, int]:
            if call == 2:
                raise OSError(5, "Input/output error")
            return take_at_most(300 if call == 1 else PIPE_BUF)(call, data)

        pipe = FakePipe(write)
        writer = LineWriter(stream=pipe.stream())
        lines = numbered(40, size=256)
        write_together(writer, lines)
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines[:3] == [lines[0], lines[1][:44], "event='lines_dropped' count=15"]
        assert pipe.lines[3:] == lines[16:]

    def test_a_line_as_long_as_a_write_has_room_beside_a_report(self) -> None:
        pipe = FakePipe(fail_at(1))
        writer = LineWriter(stream=pipe.stream())
        write_together(writer, ["lost", "x" * (PIPE_BUF - 1), "after"])
        assert writer.finish(timeout_s=5.0)
        assert pipe.lines[0] == "event='lines_dropped' count=1"
        assert pipe.lines[1].endswith("xxx...")
        assert pipe.lines[2:] == ["after"]
        assert max(map(len, pipe.calls)) <= PIPE_BUF

    def test_a_closed_stream_is_counted(self) -> None:
        section = Blackboard().section("log")
        stream = io.StringIO()
        stream.close()
        writer = LineWriter(stream=stream, section=section)
        write_all(writer, numbered(100))
        assert writer.finish(timeout_s=5.0)
        assert section.get("lines_dropped") == 100


class TestPipe:
    """Guards against lines that a real pipe with a slow reader cuts or loses."""

    @pytest.mark.parametrize("is_blocking", [True, False])
    def test_a_slow_reader_gets_every_line_in_order(self, is_blocking: bool) -> None:
        reading, writing = os.pipe()
        os.set_blocking(writing, is_blocking)
        received: list[bytes] = []

        def read() -> None:
            while data := os.read(reading, 10_000):
                received.append(data)
                time.sleep(0.002)

        reader = threading.Thread(target=read)
        reader.start()
        lines = numbered(3000)
        with os.fdopen(writing, "w", encoding="utf-8") as stream:
            writer = LineWriter(stream=stream)
            write_all(writer, lines)
            assert writer.finish(timeout_s=20.0)
        reader.join(10)
        os.close(reading)
        assert b"".join(received).decode().splitlines() == lines

    @pytest.mark.parametrize("is_blocking", [True, False])
    def test_callers_do_not_wait_for_a_reader_that_reads_nothing(self, is_blocking: bool) -> None:
        """Guards against a program that stops working when its log is not read."""
        reading, writing = os.pipe()
        os.set_blocking(writing, is_blocking)
        stream = os.fdopen(writing, "w", encoding="utf-8")
        section = Blackboard().section("log")
        writer = LineWriter(stream=stream, section=section)
        longest_s = 0.0
        for line in numbered(3 * MAX_WAITING_LINES):
            begun_at = time.monotonic()
            writer.write(line + "\n")
            longest_s = max(longest_s, time.monotonic() - begun_at)
        assert longest_s < 1.0
        assert section.get("lines_dropped") > MAX_WAITING_LINES
        begun_at = time.monotonic()
        assert not writer.finish(timeout_s=0.2)
        assert time.monotonic() - begun_at < 1.0
        # Ends the wait of the writer's thread in a write.
        os.close(reading)
        assert writer.finish(timeout_s=5.0)


class TestCount:
    """Guards against drops that are not counted, or counted twice."""

    @pytest.fixture(autouse=True)
    def _switch_often(self) -> Iterator[None]:
        interval_s = sys.getswitchinterval()
        sys.setswitchinterval(1e-5)
        yield
        sys.setswitchinterval(interval_s)

    def test_it_is_exact_while_several_threads_write(self) -> None:
        """Guards against lost increments of a counter that several threads share."""
        section = Blackboard().section("log")

        def write(call: int, data: bytes) -> tuple[bytes, int]:
            time.sleep(0.001)
            # The last write succeeds; a report of its own drop would come with the next one.
            is_last = data.endswith(b"last\n")
            return take_all(call, data) if is_last else fail_at(*range(7, 5000, 20))(call, data)

        pipe = FakePipe(write)
        writer = LineWriter(stream=pipe.stream(), section=section)
        lines = [[f"thread={n} {line}" for line in numbered(10_000)] for n in range(4)]
        threads = [threading.Thread(target=write_all, args=(writer, each)) for each in lines]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert writer.finish(timeout_s=20.0)
        writer.write("last\n")
        assert writer.finish(timeout_s=5.0)
        text = pipe.received.decode()
        written = REPORT.sub("", text).splitlines()
        dropped = section.get("lines_dropped")
        assert written[-1] == "last"
        assert dropped > 0
        assert len(written) - 1 + dropped == 40_000
        assert reported(text) == dropped
        for n, each in enumerate(lines):
            own = [line for line in written if line.startswith(f"thread={n} ")]
            known = set(own)
            assert own == [line for line in each if line in known]


class TestEvents:
    """Guards against events that reach the writer in parts."""

    def test_an_event_is_one_write(self) -> None:
        """Guards against a line that is dropped without its end, or the other way round."""

        class Parts(io.StringIO):
            def __init__(self) -> None:
                super().__init__()
                self.parts: list[str] = []

            def write(self, text: str) -> int:
                self.parts.append(text)
                return len(text)

        config = structlog.get_config() if structlog.is_configured() else None
        parts = Parts()
        try:
            configure_logs(process="p", file=parts)
            get_logger().info("started")
        finally:
            structlog.reset_defaults()
            if config:
                structlog.configure(**config)
        assert len(parts.parts) == 1
        assert parts.parts[0].endswith("event='started' process='p'\n")
