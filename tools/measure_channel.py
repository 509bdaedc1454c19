"""Measures calls per second and CPU time per call between two processes over loopback.

Run from the root of the repository: ``python -m tools.measure_channel --help``.
"""

import argparse
import multiprocessing
import threading
import time
from concurrent.futures import Future
from multiprocessing.connection import Connection

from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.transport.tcp_channel import TcpChannel


def serve(pipe: Connection) -> None:
    """Echo calls until False arrives on the pipe.

    Sends the channel's address first, and then, for each True, the CPU seconds used since the last
    report.
    """
    channel = TcpChannel(
        name="b", address=Address("127.0.0.1", 0), locate=lambda peer: None, workers=2
    )
    channel.handle("echo", lambda sender, body: body)
    pipe.send(channel.address)
    used = time.process_time()
    while pipe.recv():
        pipe.send(time.process_time() - used)
        used = time.process_time()
    channel.close()


def run(channel: TcpChannel, *, calls: int, window: int, body: bytes) -> tuple[float, int]:
    """Make calls, at most ``window`` of them open at a time; return seconds and failures."""
    permits = threading.Semaphore(window)
    failures: list[Failure] = []

    def done(fut: Future[bytes | Failure]) -> None:
        result = fut.result()
        if isinstance(result, Failure):
            failures.append(result)
        permits.release()

    start = time.perf_counter()
    for _ in range(calls):
        permits.acquire()
        channel.call("b", "echo", body, timeout_s=10.0).add_done_callback(done)
    for _ in range(window):
        permits.acquire()
    return time.perf_counter() - start, len(failures)


def main() -> None:
    """Print a table of results with one row per window."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--windows", default="1,4,16,64,256")
    parser.add_argument("--body-bytes", type=int, default=200)
    args = parser.parse_args()
    ours, theirs = multiprocessing.Pipe()
    # A forked child would inherit locks held by threads of this process.
    server = multiprocessing.get_context("spawn").Process(target=serve, args=(theirs,))
    server.start()
    address = ours.recv()
    channel = TcpChannel(
        name="a", address=Address("127.0.0.1", 0), locate=lambda peer: address, workers=1
    )
    run(channel, calls=100, window=1, body=b"")
    ours.send(True)
    ours.recv()
    print("| open calls | calls/s | caller CPU us/call | server CPU us/call | failures |")
    print("|---" * 5 + "|")
    for window in map(int, args.windows.split(",")):
        calls = args.calls if window > 1 else args.calls // 5
        used = time.process_time()
        seconds, failures = run(channel, calls=calls, window=window, body=bytes(args.body_bytes))
        here = (time.process_time() - used) / calls * 1e6
        ours.send(True)
        there = ours.recv() / calls * 1e6
        print(f"| {window} | {calls / seconds:.0f} | {here:.0f} | {there:.0f} | {failures} |")
    ours.send(False)
    server.join()
    channel.close()


if __name__ == "__main__":
    main()
