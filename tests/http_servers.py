"""Scripted HTTP servers and raw answers for the tests of HTTP clients."""

import socket
import threading
from collections.abc import Callable


def answer_head(body: bytes, *, status: str = "200 OK", extra: bytes = b"") -> bytes:
    """Return the head of an answer with a Content-Length."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status.encode(), len(body), extra)


def whole(body: bytes, *, status: str = "200 OK", extra: bytes = b"") -> bytes:
    """Return an answer with a Content-Length."""
    return answer_head(body, status=status, extra=extra) + body


def chunked(body: bytes) -> bytes:
    """Return an answer in chunks of at most five bytes."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = [body[start : start + 5] for start in range(0, len(body), 5)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks) + b"0\r\n\r\n"


class ScriptedServer:
    """A server that passes each request, as its path, to a function with its connection.

    Args:
        serve: Writes the answer; returns whether the connection stays open.
    """

    def __init__(self, serve: Callable[[socket.socket, bytes], bool]) -> None:
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_conn, args=(sock,), daemon=True).start()

    def _serve_conn(self, sock: socket.socket) -> None:
        buffer = b""
        with sock:
            try:
                while data := sock.recv(65536):
                    buffer += data
                    while b"\r\n\r\n" in buffer:
                        head, _, buffer = buffer.partition(b"\r\n\r\n")
                        if not self._serve(sock, head.split(b" ")[1]):
                            return
            except OSError:
                return

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()


def serve_odd_answers(sock: socket.socket, path: bytes) -> bool:
    """Answer with the path, in one of eleven ways that the number at its end selects.

    The answers of the ways 0, 5 and 7 are late, cut and interim, and no others may fail.
    """
    number = int(path.rpartition(b"/")[2])
    body = path * (1 + number % 7)
    match number % 11:
        case 0:
            threading.Event().wait(0.03)
            sock.sendall(whole(body))
        case 1:
            sock.sendall(chunked(body))
        case 2:
            sock.sendall(whole(body, extra=b"Connection: close\r\n"))
            return False
        case 3:
            sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" + whole(body))
        case 4:
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        case 5:
            sock.sendall(whole(body)[:-1])
            return False
        case 6:
            sock.sendall(whole(body) + whole(b"surplus"))
        case 7:
            sock.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            threading.Event().wait(0.002)
            sock.sendall(whole(body))
        case 8:
            sock.sendall(whole(body)[:-1])
            threading.Event().wait(0.002)
            sock.sendall(body[-1:])
        case _:
            sock.sendall(whole(body))
    return True
