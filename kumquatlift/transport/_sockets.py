"""Opening of TCP sockets for the channel."""

import socket

from kumquatlift.settings import Address
from kumquatlift.transport._connection import Connection, Phase
from kumquatlift.transport.peer_diagnosis import ConnectOutcome

BACKLOG = 128
WILDCARDS = ("0.0.0.0", "::")


def listen(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.create_server((address.host, address.port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    return sock


def new_socket(address: Address, source: str) -> socket.socket:
    """Return a non-blocking TCP socket of an address's family.

    Args:
        address: Where the socket will connect to.
        source: IP number to connect from, so that a machine with several shows peers the one of
            its settings; a wildcard leaves the choice to the system.
    """
    is_v6 = ":" in address.host
    sock = socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if source not in WILDCARDS and (":" in source) == is_v6:
        sock.bind((source, 0))
    return sock


def start_connect(sock: socket.socket, address: Address) -> None:
    """Begin to connect; raise ``OSError`` when that fails at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        return


def connect_outcome_of(conn: Connection, error: Exception) -> ConnectOutcome:
    """Return how an attempt to connect ended that failed with an error."""
    if not isinstance(error, TimeoutError):
        return ConnectOutcome.REFUSED
    return ConnectOutcome.NO_ANSWER if conn.phase is Phase.GREETING else ConnectOutcome.TIMED_OUT
