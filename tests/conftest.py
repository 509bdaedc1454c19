"""Settings shared by all tests."""

import socket
from collections.abc import Callable, Iterator

import pytest
from hypothesis import settings

from tests.http_servers import ScriptedServer

# Derandomized, so that every run of CI uses the same examples and has the same result.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture
def no_callback_errors(caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    """Fail a test in which a callback of a future raised; ``concurrent.futures`` only logs that."""
    yield
    records = caplog.get_records("call")
    assert [r.getMessage() for r in records if r.name == "concurrent.futures"] == []


@pytest.fixture(name="start_server")
def fixture_start_server() -> Iterator[Callable[..., ScriptedServer]]:
    """Return a function that starts a server, which ends with the test."""
    servers: list[ScriptedServer] = []

    def start(serve: Callable[[socket.socket, bytes], bool]) -> ScriptedServer:
        servers.append(ScriptedServer(serve))
        return servers[-1]

    yield start
    for server in servers:
        server.close()
