"""Tests of the result codes and of their table in the documentation."""

import re
from pathlib import Path

from kumquatlift.codes import Ran, ResultCode

PAGE = Path(__file__).parent.parent / "docs" / "result-codes.md"
ROW = re.compile(r"\| (\d{4}) \| ([a-z-]+) \| (\w+) \| ([a-z-]+) \| (\d{3}) \| (.+) \|")


class TestResultCode:
    """Guards against documentation that gives a code another meaning than the program does."""

    def test_page_and_code_agree(self) -> None:
        rows = [
            match.groups() for match in map(ROW.fullmatch, PAGE.read_text().splitlines()) if match
        ]
        codes = [
            (
                str(int(code)),
                code.label,
                code.ran.value,
                code.resubmit.value,
                str(code.http_status),
                code.help,
            )
            for code in ResultCode
        ]
        assert rows == codes

    def test_refusals_say_not_run(self) -> None:
        assert all(code.ran is Ran.NO for code in ResultCode if 2000 <= code < 4000)
