"""Text forms of job and ledger identities."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.identity import JobId, LedgerId, new_incarnation

NAMES = st.from_regex(r"[a-z0-9][a-z0-9-]{0,20}", fullmatch=True)


class TestJobId:
    """Guards against an id that is routed to the wrong writer or backup."""

    @given(
        NAMES, NAMES, st.integers(0, 999_999), st.from_regex(r"[A-Za-z0-9_-]{1,64}", fullmatch=True)
    )
    def test_text_form_round_trips(self, writer: str, backup: str, number: int, key: str) -> None:
        job_id = JobId(LedgerId(writer, new_incarnation(), number, backup), key)
        assert JobId.parse(str(job_id)) == job_id

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "key",
            "a~0123456789ab-0~.",
            "a~0123-0~.k",
            "a~0123456789ab-0.k",
            "A~0123456789ab-0~.k",
        ],
    )
    def test_malformed_texts_are_refused_as_not_run(self, text: str) -> None:
        parsed = JobId.parse(text)
        assert isinstance(parsed, Failure)
        assert parsed.code is ResultCode.BAD_JOB_ID
        assert parsed.ran.value == "no"
