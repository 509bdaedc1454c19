"""Tests the programs as real processes with stand-in upstreams."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from urllib.request import urlopen

import pytest

from tools.users_platform import CONFIG, Cluster, Program, call, try_call, wait_until

PORT = 17720


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    started = Cluster(folder=tmp_path, port=PORT)
    try:
        started.configure()
        wait_until(lambda: try_call(started.frontends[0].readiness, "GET", "/api/readyz")[0] == 200)
        wait_until(lambda: started.submit(1) == 200)
        yield started
    finally:
        started.close()


class TestPrograms:
    """Tests the whole path with real sockets, files and signals."""

    def test_jobs_complete_although_the_leader_is_killed(self, cluster: Cluster) -> None:
        wait_until(lambda: cluster.state(1) == "completed")
        accepted = [number for number in range(10, 20) if cluster.submit(number) == 200]
        leader = next(core for core in cluster.cores if "leadership_won" in core.log)
        leader.kill()
        wait_until(lambda: cluster.submit(20) == 200)
        accepted.append(20)
        wait_until(lambda: all(cluster.state(number) == "completed" for number in accepted))
        leader.start()
        wait_until(lambda: "leader_heard" in leader.log.split("stopping")[-1])
        assert cluster.history.violations == []

    def test_jobs_and_configuration_survive_a_kill_of_all_cores(self, cluster: Cluster) -> None:
        accepted = [number for number in range(10, 16) if cluster.submit(number) == 200]
        for program in cluster.cores:
            program.kill()
        for program in cluster.cores:
            program.start()
        wait_until(lambda: all(cluster.state(number) == "completed" for number in accepted))
        wait_until(lambda: cluster.call_any_core("GET", "/api/config/describe") == 200)
        assert cluster.history.violations == []

    def test_a_zone_stays_empty_after_a_kill_of_all_cores(self, cluster: Cluster) -> None:
        path = "/api/evacuations/z1/"
        wait_until(lambda: cluster.call_any_core("POST", path + "start") == 200)
        # All upstreams are in this zone, so there is no room for any job.
        assert cluster.submit(30) == 503
        for program in cluster.cores:
            program.kill()
        for program in cluster.cores:
            program.start()
        wait_until(lambda: cluster.call_any_core("GET", "/api/config/describe") == 200)
        time.sleep(1.5)
        assert cluster.submit(31) == 503
        wait_until(lambda: cluster.call_any_core("POST", path + "stop") == 200)
        wait_until(lambda: cluster.submit(32) == 200)
        wait_until(lambda: cluster.state(32) == "completed")
        control = cluster.cores[0].control
        assert call(control, "POST", "/api/evacuations/none/start")[0] == 404
        assert call(control, "POST", path + "start", {})[0] == 400
        assert call(control, "GET", path + "start")[0] == 405
        assert cluster.submit(33) == 200
        assert cluster.history.violations == []

    def test_statuses_follow_the_protocol(self, cluster: Cluster) -> None:
        frontend, control = cluster.frontends[0].callers, cluster.cores[0].control
        assert call(frontend, "POST", "/none/" + "a" * 16, {"steps": [{"count": 1}]})[0] == 404
        assert call(frontend, "POST", "/q/" + "a" * 16, {"steps": []})[0] == 400
        assert call(frontend, "GET", "/q/" + "b" * 16)[0] == 410
        assert call(frontend, "DELETE", "/q/" + "b" * 16)[0] == 410
        assert call(frontend, "GET", "/q/")[0] == 200
        assert call(frontend, "GET", "/none/")[0] == 404
        with urlopen(f"http://{cluster.frontends[0].metrics}/metrics", timeout=5) as answer:
            assert b"kumquatlift_submit_ms_bucket" in answer.read()
        with urlopen(f"http://{cluster.cores[0].metrics}/metrics", timeout=5) as answer:
            assert b"kumquatlift_jobs_accepted_total" in answer.read()
        bad = {**CONFIG, "version": 9, "services": []}
        assert call(control, "POST", "/api/config/replace", bad)[0] == 400
        assert call(control, "POST", "/api/config/replace", {**CONFIG, "version": 1})[0] == 200
        assert call(control, "GET", "/api/config/describe")[1]["version"] == 3
        path = "/api/instances/i-x/heartbeat"
        assert call(control, "POST", path, {"state": "ready"})[0] == 400

    def test_a_stopping_frontend_answers_every_request_that_it_reads(
        self, cluster: Cluster
    ) -> None:
        """Guards against a request that is read during the drain and never answered."""
        cluster.frontends[0].signal(signal.SIGTERM)
        deadline = time.monotonic() + 5.0
        statuses = []
        while time.monotonic() < deadline:
            try:
                step = {"count": 1, "cpu": 1000}
                body = {"spec": '{"ms": 5, "cpu": 1000}', "steps": [step]}
                number = 100 + len(statuses)
                statuses.append(
                    call(cluster.frontends[0].callers, "POST", f"/q/{number:016x}", body)[0]
                )
            except (ConnectionRefusedError, ConnectionResetError):
                # The process has exited; it never read what the kernel accepted after that.
                break
            time.sleep(0.02)
        assert set(statuses) <= {200, 503}
        # The frontend continues to serve for more than 3 s after SIGTERM, so the first requests are
        # accepted.
        assert statuses[:50].count(200) > 40
        assert cluster.frontends[0].wait() == 0

    def test_a_program_with_invalid_settings_exits_with_a_reason(self, tmp_path: Path) -> None:
        program = Program(
            role="core", host="not an address", folder=tmp_path, seeds=["x"], port=PORT
        )
        assert program.wait() == 2
        assert "settings:" in program.log
