"""Tests answers to odd requests and on odd connections, through the real server and frontend."""

import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import cast

import pytest

from kumquatlift.authority import LeaderClient, Operation, Reply, Request
from kumquatlift.blackboard import Blackboard
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.platform._frontend import Frontend
from kumquatlift.platform._programs import RELEASE_IDLE_S, _release_callers
from kumquatlift.settings import Address
from kumquatlift.transport.server import HttpServer
from kumquatlift.transport.wsgi import application
from tests.test_kept_connections import RawCaller
from tests.test_whole_answers import read_to_end

STEP = {"count": 1, "estimatedMs": 9000}
JOB = "00000000000003e8"
QUERIED = ("queued", "running", "completed", "failed", "cancelled")
# End of a header.
END_OF_HEADER = b"\r\n\r\n"
CALLERS = 8
ROUNDS = 12


def number_of(job_id: str) -> int:
    """Return the number that a job's identity writes."""
    return int(job_id, 16)


def result_of(job_id: str) -> str:
    """Return the state that the submission of a job is answered with."""
    return ("completed", "failed")[number_of(job_id) % 2]


def state_of(job_id: str) -> str:
    """Return the state that a query for a job is answered with."""
    return QUERIED[number_of(job_id) % 5]


class EchoLeader:
    """A ``LeaderClient`` whose replies depend on the job only, after a random time.

    A job answered at its end waits for ``released`` if ``holds`` is set.
    """

    leader = "10.0.0.1:7000"

    def __init__(self) -> None:
        self.holds = False
        self.released = threading.Event()
        self.asked: list[tuple[Operation, str]] = []
        self._rng = random.Random(7)

    def call(
        self,
        request: Request,
        *,
        is_abandoned: Callable[[], bool] = lambda: False,
        **_options: float,
    ) -> Reply | Failure:
        """Return the reply for a job."""
        if request.operation is Operation.PENDING:
            return Reply(ResultCode.ACCEPTED, {"pending": 7})
        job_id = request.fields["job"]
        self.asked.append((request.operation, job_id))
        time.sleep(self._rng.choice((0, 0, 0.001, 0.004)))
        if request.operation is Operation.STATUS:
            return Reply(ResultCode.ACCEPTED, {"state": state_of(job_id)})
        if request.operation is Operation.CANCEL:
            return Reply(ResultCode.ACCEPTED, {"state": "cancelled"})
        if request.operation is Operation.WITHDRAW:
            return Reply(ResultCode.ACCEPTED)
        if "wait_ms" not in request.fields:
            return Reply(ResultCode.ACCEPTED)
        while self.holds and not self.released.wait(0.01):
            if is_abandoned():
                return Failure(ResultCode.TIMED_OUT, "no answer of a leader")
        return Reply(ResultCode.ACCEPTED, {"state": result_of(job_id)})


class Process:
    """A frontend and its server, without the leader."""

    def __init__(self) -> None:
        self.leader = EchoLeader()
        self.frontend = Frontend(
            client=self.leader,  # type: ignore[arg-type]
            zone="z",
            section=Blackboard().section("frontend"),
        )
        self.http = HttpServer(
            app=application(self.frontend.handle),
            address=Address("127.0.0.1", 0),
            threads=32,
            name="callers",
            lookahead=1,
            allows_keep_alive=lambda: self.frontend.is_ready,
        )
        self.http.start()
        self._is_closed = False

    def connect(self) -> RawCaller:
        """Return a caller with a new connection."""
        return RawCaller(self.http.address.port)

    def close(self) -> None:
        """Close the server, once."""
        if not self._is_closed:
            self._is_closed = True
            self.http.close()


@pytest.fixture(name="process")
def fixture_process() -> Iterator[Process]:
    process = Process()
    yield process
    process.leader.released.set()
    process.close()


def body_of(**fields: object) -> bytes:
    """Return the body of a submission."""
    return json.dumps({"spec": "x", "steps": [STEP], **fields}).encode()


AT_END = body_of(bestEffort=True)
STORED = body_of()


def request(method: str, target: str, body: bytes = b"", *, headers: tuple[str, ...] = ()) -> bytes:
    """Return a request; its body is chunked if the headers say so."""
    if "Transfer-Encoding: chunked" in headers:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        headers = (*headers, f"Content-Length: {len(body)}")
    lines = [f"{method} {target} HTTP/1.1", "Host: h", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def told(caller: RawCaller, method: str = "POST") -> tuple[int, object]:
    """Return the status of the next answer, and the state or the fields of a success."""
    answer = caller.read(method)
    assert answer is not None
    if method == "HEAD" or answer.status != 200:
        return answer.status, ""
    fields = json.loads(answer.body)
    return 200, fields.get("state", fields)


PATH = f"/q/{JOB}"
ODD_REQUESTS = [
    ("HEAD", PATH, b"", 405, ""),
    ("PUT", PATH, AT_END, 405, ""),
    ("OPTIONS", PATH, b"", 405, ""),
    ("PATCH", PATH, AT_END, 405, ""),
    ("POST", "/q/", AT_END, 404, ""),
    ("DELETE", "/q/", b"", 404, ""),
    ("GET", "/q/", b"", 200, {"pending": 7}),
    ("GET", "/q", b"", 404, ""),
    ("GET", f"/q/{JOB.upper()}", b"", 404, ""),
    ("GET", f"/q/{JOB}0", b"", 404, ""),
    ("GET", f"/q/{JOB}%0a", b"", 404, ""),
    ("GET", f"/q/{JOB[:-1]}%38", b"", 200, state_of(JOB)),
    ("GET", f"/%71/{JOB}", b"", 200, state_of(JOB)),
    ("GET", f"/q%2f{JOB}", b"", 200, state_of(JOB)),
    ("GET", f"/%ff%00/{JOB}", b"", 200, state_of(JOB)),
    ("GET", f"{PATH}?state=x&a=%ff#f", b"", 200, state_of(JOB)),
    ("GET", PATH, b"a body that is not read", 200, state_of(JOB)),
    ("DELETE", PATH, STORED, 200, "cancelled"),
    ("POST", PATH, b"", 400, ""),
    ("POST", PATH, AT_END[:-1], 400, ""),
    ("POST", PATH, AT_END + AT_END, 400, ""),
    ("POST", PATH, b"\xff" + AT_END, 400, ""),
    ("POST", PATH, b"[]", 400, ""),
    ("POST", PATH, b"[" * 9000, 400, ""),
    ("POST", PATH, AT_END.replace(b"9000", b"NaN"), 400, ""),
    ("POST", PATH, AT_END.replace(b"9000", b"1e999"), 400, ""),
    ("POST", PATH, body_of(spec="\ud800"), 400, ""),
    ("POST", PATH, body_of(spec="\u00e9" * 2001, bestEffort=True), 400, ""),
    ("POST", PATH, body_of(spec="\u00e9" * 2000, bestEffort=True), 200, result_of(JOB)),
    ("POST", PATH, b" \n" + AT_END + b"\n ", 200, result_of(JOB)),
    ("POST", PATH, AT_END.decode().encode("utf-16"), 200, result_of(JOB)),
    ("POST", PATH, body_of(bestEffort=False), 200, {}),
    ("POST", PATH, body_of(bestEffort=None), 200, {}),
    ("POST", PATH, body_of(bestEffort=0), 200, {}),
    ("POST", PATH, body_of(bestEffort=""), 200, {}),
    ("POST", PATH, body_of(bestEffort=1), 200, result_of(JOB)),
    ("POST", PATH, body_of(bestEffort="true"), 200, result_of(JOB)),
    ("POST", PATH, body_of(bestEffort=True, extra={"state": "queued"}), 200, result_of(JOB)),
]


class TestOddRequests:
    """Requests that callers rarely send, on one kept connection."""

    def test_each_answer_is_that_of_its_request(self, process: Process) -> None:
        """Guards against an answer, or bytes of a request, that go to the next request."""
        caller = process.connect()
        for method, target, body, status, content in ODD_REQUESTS:
            caller.send(request(method, target, body), request("GET", "/q/00000000000003eb"))
            assert (method, target, body[:80], told(caller, method)) == (
                method,
                target,
                body[:80],
                (status, content),
            )
            assert told(caller) == (200, state_of("00000000000003eb"))

    @pytest.mark.parametrize(
        "sent",
        [
            b"GET\r\n\r\n",
            b"NONSENSE " + PATH.encode() + b" FTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"GET / HTTP/1.1\r\nHo st: h\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"x" * 300_000 + b"\r\n\r\n",
        ],
        ids=["short", "method", "length", "encoding", "chunk", "header", "large"],
    )
    def test_nothing_follows_the_answer_to_a_request_that_cannot_be_read(
        self, process: Process, sent: bytes
    ) -> None:
        """Guards against a request whose bounds are unknown, and the answer to its body."""
        caller = process.connect()
        caller.send(sent, request("POST", PATH, AT_END))
        received = read_to_end(caller.sock)
        # The version of a request line that can't be read is unknown.
        assert received[:9] in (b"HTTP/1.0 ", b"HTTP/1.1 ")
        assert 400 <= int(received[9:12]) < 600
        assert received.count(b"HTTP/1.") == 1
        assert (
            f"content-length: {len(received.partition(END_OF_HEADER)[2])}".encode()
            in received.lower()
        )
        assert process.leader.asked == []

    @pytest.mark.parametrize("missing", [1, 10, len(AT_END)])
    def test_a_cut_body_submits_nothing(self, process: Process, missing: int) -> None:
        """Guards against a job of which half was read, and an answer to it."""
        caller = process.connect()
        caller.send(request("GET", PATH), request("POST", PATH, AT_END)[:-missing])
        assert told(caller) == (200, state_of(JOB))
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.read() is None
        assert process.leader.asked == [(Operation.STATUS, JOB)]


class TestManyRequests:
    """Many requests on many kept connections."""

    def test_answers_are_those_of_their_jobs(self, process: Process) -> None:
        """Guards against an answer that belongs to another request or connection."""
        counts = {"whole": 0}

        def call(number: int) -> None:
            rng = random.Random(number)
            caller = process.connect()
            for _ in range(ROUNDS):
                expected: list[tuple[str, tuple[int, object]]] = []
                data = b""
                for _ in range(rng.choice((1, 2, 3, 9))):
                    job_id = f"{rng.getrandbits(64):016x}"
                    target = f"/q/{job_id}{rng.choice(('', '?a=b'))}"
                    chunked = ("Transfer-Encoding: chunked",) * rng.choice((0, 0, 1))
                    kind = rng.choice(("at-end", "stored", "GET", "DELETE", "HEAD", "bad"))
                    if kind == "at-end":
                        data += request("POST", target, AT_END, headers=chunked)
                        expected.append(("POST", (200, result_of(job_id))))
                    elif kind == "stored":
                        data += request("POST", target, STORED, headers=chunked)
                        expected.append(("POST", (200, {})))
                    elif kind == "bad":
                        data += request("POST", target, AT_END[:-2])
                        expected.append(("POST", (400, "")))
                    elif kind == "HEAD":
                        data += request("HEAD", target)
                        expected.append(("HEAD", (405, "")))
                    else:
                        state = "cancelled" if kind == "DELETE" else state_of(job_id)
                        data += request(kind, target)
                        expected.append((kind, (200, state)))
                cut = rng.randrange(len(data))
                caller.send(data[:cut])
                time.sleep(rng.choice((0, 0.002)))
                caller.send(data[cut:])
                for method, answer in expected:
                    assert told(caller, method) == answer
                    counts["whole"] += 1
            caller.sock.close()

        with ThreadPoolExecutor(CALLERS) as executor:
            list(executor.map(call, range(CALLERS)))
        print(counts)
        assert counts["whole"] > 200

    def test_a_slow_reader_gets_all_answers_in_order(self, process: Process) -> None:
        """Guards against answers that are lost or repeated while the socket is full."""
        caller = process.connect()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        jobs = [f"{number:016x}" for number in range(400)]
        with ThreadPoolExecutor(1) as executor:
            sending = executor.submit(caller.send, *(request("GET", f"/q/{each}") for each in jobs))
            time.sleep(0.3)
            for job_id in jobs:
                assert told(caller) == (200, state_of(job_id))
            sending.result(5)


class TestCutOff:
    """A frontend that no leader reaches, in an availability zone that is cut off."""

    def test_idle_callers_are_sent_elsewhere_while_it_is_cut_off(self, process: Process) -> None:
        """Replays callers that each keep an idle connection, and use it during the cut."""
        callers = [process.connect() for _ in range(CALLERS)]
        for caller in callers:
            caller.send(request("POST", PATH, AT_END))
            assert told(caller) == (200, result_of(JOB))
        time.sleep(RELEASE_IDLE_S + 0.1)
        client = cast(LeaderClient, SimpleNamespace(is_cut_off=False))
        _release_callers(client, process.http)
        for caller in callers[1:]:
            caller.send(request("GET", PATH))
            assert told(caller) == (200, state_of(JOB))
        client = cast(LeaderClient, SimpleNamespace(is_cut_off=True))
        _release_callers(client, process.http)
        assert callers[0].read() is None
        time.sleep(RELEASE_IDLE_S + 0.1)
        _release_callers(client, process.http)
        assert [caller.read() for caller in callers[1:]] == [None] * (CALLERS - 1)


class TestStop:
    """A frontend that stops while answers wait."""

    @pytest.mark.parametrize("released", [True, False], ids=["in-time", "given-up"])
    def test_waiting_callers_get_whole_answers(self, process: Process, released: bool) -> None:
        """Guards against an answer that the end of the process cuts, and a false one."""
        process.leader.holds = True
        jobs = [f"{number:016x}" for number in range(CALLERS)]
        callers = [process.connect() for _ in jobs]
        for caller, job_id in zip(callers, jobs, strict=True):
            caller.send(request("POST", f"/q/{job_id}", AT_END), request("GET", f"/q/{job_id}"))
        while len(process.leader.asked) < CALLERS:
            time.sleep(0.005)
        # The steps of a stop, as in ``run_frontend``.
        process.frontend.leave()
        process.http.disable_keep_alive()
        process.frontend.close()
        if released:
            process.leader.released.set()
        else:
            assert not process.http.drain(timeout_s=0.2)
            process.frontend.abandon_requests()
        assert process.http.drain(timeout_s=5)
        process.close()
        for caller, job_id in zip(callers, jobs, strict=True):
            assert told(caller) == ((200, result_of(job_id)) if released else (504, ""))
            # The request that was read ahead may get an answer, but no success.
            answer = caller.read()
            assert answer is None or answer.status == 503
