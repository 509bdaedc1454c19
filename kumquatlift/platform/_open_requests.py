"""Requests of a server that have no answer yet."""

import time
from collections.abc import Callable

from kumquatlift.transport.wsgi import ApiRequest, ApiResponse

_POLL_S = 0.01
# Time in which a server writes an answer after its handler has returned it.
_WRITE_S = 0.05


class OpenRequests:
    """Passes requests to a handler and knows those that are open.

    Args:
        handler: The handler.
    """

    def __init__(self, *, handler: Callable[[ApiRequest], ApiResponse]) -> None:
        self._handler = handler
        # Adding to a set, removing from it and copying it are atomic.
        self._open: set[object] = set()

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Handle a request."""
        token = object()
        self._open.add(token)
        try:
            return self._handler(req)
        finally:
            self._open.discard(token)

    def wait_for_present(self, *, timeout_s: float) -> None:
        """Wait until the requests that are open now are answered; later ones don't count.

        Args:
            timeout_s: Limit for the wait in seconds.
        """
        deadline = time.monotonic() + timeout_s
        present = self._open.copy()
        if not present:
            return
        while present & self._open.copy() and time.monotonic() < deadline:
            time.sleep(_POLL_S)
        time.sleep(_WRITE_S)
