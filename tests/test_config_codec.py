"""Encoding of the register's messages."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.configuration.acceptor import (
    Accept,
    Prepare,
    Promise,
    Refusal,
    VoterState,
    VoterStatus,
)
from kumquatlift.configuration.codec import CodecError, Message, Read, ReadAnswer, decode, encode
from kumquatlift.configuration.value import Ballot, Change, Value

_BALLOT = Ballot(4, "a~0123")
_VALUE = Value(3, '{"a": "ä"}', (Change("x", 3, 6000, "d1", "op", 5),))


class TestConfigCodec:
    """Guards against a stored state or a vote that decodes to a different one."""

    @pytest.mark.parametrize(
        "message",
        [
            Prepare("r", _BALLOT),
            Promise(_BALLOT, Ballot(), None),
            Accept("r", _BALLOT, _VALUE),
            Refusal("", _BALLOT),
            Read(3, (("a", "n1"), ("b", "n2"))),
            ReadAnswer(None, _VALUE),
            ReadAnswer(VoterStatus("r", _BALLOT, 3, "", ""), None),
            VoterState("r", _BALLOT, _BALLOT, _VALUE),
            VoterState(),
        ],
    )
    def test_round_trips(self, message: Message) -> None:
        assert decode(encode(message), type(message)) == message

    @given(st.integers(0, 200), st.binary(max_size=24))
    def test_corrupt_bytes_raise_codec_error(self, keep: int, tail: bytes) -> None:
        data = encode(_VALUE)[:keep] + tail
        with suppress(CodecError):
            assert isinstance(decode(data, Value), Value)
