"""Assembles one HTTP response from the bytes that arrive on a connection."""

import httptools

# Longest response, head and body together. The largest that upstreams send, a list of 500 ends,
# takes about 60 kB.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_CONTINUE = 100
_FIRST_FINAL_STATUS = 200


class ResponseError(Exception):
    """The bytes are not one complete HTTP response."""


class ResponseReader:
    """Reads one response; the callbacks are those that ``httptools`` calls.

    Interim responses with status 100 are skipped. The response can be followed by another one only
    on a connection for which ``is_reusable`` is true.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._size = 0
        self._parts: list[bytes] = []
        self._has_head = False
        self._has_length = False
        self._has_surplus = False
        self.status = 0
        self.is_complete = False
        self.is_reusable = False

    @property
    def body(self) -> bytes:
        """The body as far as it has arrived."""
        return b"".join(self._parts)

    def feed(self, data: bytes) -> None:
        """Read the next bytes of the connection.

        Raises:
            ResponseError: The response is malformed, too large, or interim other than with 100.
        """
        self._size += len(data)
        if self._size > MAX_RESPONSE_BYTES:
            raise ResponseError(f"response of more than {MAX_RESPONSE_BYTES} bytes")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self.is_complete:
                raise ResponseError(f"malformed response: {exc}") from exc
            self._has_surplus = True
        if self._has_surplus:
            self.is_reusable = False

    def end(self) -> None:
        """Handle the end of the connection, which ends a response without a length.

        Raises:
            ResponseError: The response is cut.
        """
        if self._has_head and not self._has_length:
            self.is_complete = True
        if not self.is_complete:
            raise ResponseError("connection closed before the end of the response")
        self.is_reusable = False

    def on_message_begin(self) -> None:
        """Note bytes after the response."""
        self._has_surplus = self._has_surplus or self.is_complete

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Note whether the length of the body is known."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Read the status."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS and status != _CONTINUE:
            raise ResponseError(f"interim response {status}")
        self._has_head = status >= _FIRST_FINAL_STATUS
        self.status = status

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if not self.is_complete:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim one."""
        if self._has_head and not self.is_complete:
            self.is_complete = True
            self.is_reusable = self._parser.should_keep_alive()
