"""Settings shared by all tests."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

# Derandomized, so that every run of CI uses the same examples and has the same result.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture
def no_callback_errors(caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    """Fail a test in which a callback of a future raised; ``concurrent.futures`` only logs that."""
    yield
    records = caplog.get_records("call")
    assert [r.getMessage() for r in records if r.name == "concurrent.futures"] == []
