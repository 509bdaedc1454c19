"""The loop that runs the controllers of a process and its sockets in one thread."""

import socket
import threading
import time
from collections.abc import Callable

from kumquatlift.clock import MonotonicClock
from kumquatlift.store import EventLoop

WAIT_S = 5.0


class TestEventLoop:
    """The loop that waits for sockets, timers and events of other threads at once."""

    def test_events_of_other_threads_wake_the_loop(self) -> None:
        loop = EventLoop(clock=MonotonicClock())
        received: list[int] = []
        runner = threading.Thread(target=loop.run)
        runner.start()

        def post(first: int) -> None:
            for number in range(first, first + 500):
                loop.post(received.append, number)
                if not number % 50:
                    time.sleep(0.002)

        threads = [threading.Thread(target=post, args=(500 * each,)) for each in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        started_at = time.monotonic()
        loop.stop()
        runner.join(WAIT_S)
        assert not runner.is_alive()
        assert time.monotonic() - started_at < 0.5
        assert sorted(received) == list(range(2000))

    def test_a_stale_event_does_not_reach_a_socket_with_the_same_number(self) -> None:
        """Guards against a closed connection whose event is handled by the next one."""
        loop = EventLoop(clock=MonotonicClock())
        pairs = [socket.socketpair() for _ in range(2)]
        replaced: list[socket.socket] = []
        events: list[str] = []

        def replace(number: int) -> Callable[[int], None]:
            def on_ready(_mask: int) -> None:
                other = pairs[1 - number][0]
                events.append("ready")
                if other.fileno() >= 0:
                    loop.unwatch(other)
                    other.close()
                    replaced.extend(socket.socketpair())
                    loop.watch(replaced[0], lambda _mask: events.append("stale"))

            return on_ready

        for number, (near, far) in enumerate(pairs):
            near.setblocking(False)
            loop.watch(near, replace(number))
            far.send(b"x")
        loop.run_pending()
        assert events == ["ready"]
        for sock in (*replaced, *(sock for pair in pairs for sock in pair)):
            sock.close()

    def test_a_failing_callback_of_a_socket_stops_no_other(self) -> None:
        loop = EventLoop(clock=MonotonicClock())
        near, far = socket.socketpair()
        near.setblocking(False)
        calls: list[int] = []

        def fail(_mask: int) -> None:
            near.recv(1)
            raise ZeroDivisionError

        loop.watch(near, fail)
        far.send(b"x")
        loop.post(calls.append, 1)
        loop.run_pending()
        assert calls == [1]
        loop.unwatch(near)
        near.close()
        far.close()
