"""Functions that open TCP sockets for the channel."""

import socket

from kumquatlift.settings import Address
from kumquatlift.transport._connection import Connection, Phase
from kumquatlift.transport.peer_diagnosis import ConnectOutcome

BACKLOG = 128
WILDCARDS = ("0.0.0.0", "::")


def listen(address: Address) -> socket.socket:
    """Return a non-blocking listening socket."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.create_server((address.host, address.port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    return sock


def new_socket(address: Address, source: str) -> socket.socket:
    """Return a non-blocking TCP socket of the address family of ``address``.

    Args:
        address: Address that the socket will be connected to.
        source: Local IP address to bind, so that a machine with several addresses connects from
            the one in its settings; with a wildcard or another family the system chooses.
    """
    is_v6 = ":" in address.host
    sock = socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if source not in WILDCARDS and (":" in source) == is_v6:
        sock.bind((source, 0))
    return sock


def start_connect(sock: socket.socket, address: Address) -> None:
    """Start a non-blocking connect.

    Raises:
        OSError: The attempt failed immediately.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        return


def connect_outcome_of(conn: Connection, error: Exception) -> ConnectOutcome:
    """Classify a failed attempt to connect by its error and the phase that it reached."""
    if not isinstance(error, TimeoutError):
        return ConnectOutcome.REFUSED
    return ConnectOutcome.NO_ANSWER if conn.phase is Phase.GREETING else ConnectOutcome.TIMED_OUT
