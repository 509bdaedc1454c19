"""Diagnosis of peers from evidence."""

import pytest

from kumquatlift.transport.peer_diagnosis import ConnectOutcome, Diagnosis, Evidence, diagnose

REFUSED, NO_ANSWER, TIMED_OUT, ANSWERED = (
    ConnectOutcome.REFUSED,
    ConnectOutcome.NO_ANSWER,
    ConnectOutcome.TIMED_OUT,
    ConnectOutcome.ANSWERED,
)


class TestDiagnose:
    """One case for each rule of ``diagnose``, and combinations of rules."""

    @pytest.mark.parametrize(
        ("evidence", "expected"),
        [
            (Evidence(0.3), Diagnosis.LIVE),
            (Evidence(0.3, ANSWERED, 1.0, last_contact_age_s=0.1), Diagnosis.LIVE),
            (Evidence(0.3, is_leaving=True), Diagnosis.LEAVING),
            (Evidence(0.3, call_timed_out_age_s=1.0, is_leaving=True), Diagnosis.LEAVING),
            (Evidence(0.3, ANSWERED, 9.0, 1.0, 2.0), Diagnosis.SILENT_CONNECTION),
            (Evidence(0.3, TIMED_OUT, 1.0), Diagnosis.SILENT_CONNECTION),
            (Evidence(0.3, NO_ANSWER, 1.0), Diagnosis.SILENT_CONNECTION),
            (Evidence(0.3, ANSWERED, 0.5, 1.0, 0.1), Diagnosis.LIVE),
            (Evidence(0.3, ANSWERED, 90.0, 60.0, 70.0), Diagnosis.LIVE),
            (Evidence(5.0, NO_ANSWER, 1.0), Diagnosis.FROZEN),
            (Evidence(5.0, NO_ANSWER, 1.0, others_unreachable=2), Diagnosis.FROZEN),
            (Evidence(5.0, REFUSED, 1.0), Diagnosis.DEAD),
            (Evidence(5.0, REFUSED, 1.0, others_unreachable=2), Diagnosis.DEAD),
            (Evidence(5.0, REFUSED, 1.0, is_leaving=True), Diagnosis.DEAD),
            (Evidence(5.0, TIMED_OUT, 1.0, others_live=1, others_unreachable=1), Diagnosis.DEAD),
            (Evidence(5.0, TIMED_OUT, 1.0, others_unreachable=2), Diagnosis.CUT_OFF),
            (Evidence(5.0, TIMED_OUT, 1.0), Diagnosis.DEAD),
            (Evidence(5.0, others_unreachable=2), Diagnosis.CUT_OFF),
            (Evidence(300.0, REFUSED, 200.0, others_unreachable=1), Diagnosis.CUT_OFF),
            (Evidence(), Diagnosis.DEAD),
        ],
    )
    def test_cases(self, evidence: Evidence, expected: Diagnosis) -> None:
        """Guards against a diagnosis that makes an operator look at the wrong machine."""
        assert diagnose(evidence) is expected
        assert expected.help
