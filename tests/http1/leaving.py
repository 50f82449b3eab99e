"""Ways in which a peer leaves a connection, and the steps of a request."""

from __future__ import annotations

import contextlib
import socket
import struct

HEAD = "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\n"


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def stop_reading(sock: socket.socket) -> None:
    """Leave the connection open."""


LEAVE = {f.__name__: f for f in (close, reset, half_close, stop_reading)}


def parts_of_request(
    path: str, request_id: str = "a", headers: str = ""
) -> dict[str, str]:
    """Return what a caller has sent when it leaves, by the step that it reached."""
    head = HEAD.format(method="GET", path=path, id=request_id) + headers
    post = HEAD.format(method="POST", path=path, id=request_id) + headers
    post += "Content-Length: 4\r\n"
    return {
        "connected": "",
        "in-head": head,
        "in-body": post + "\r\nab",
        "sent": head + "\r\n",
        "last-request": head + "Connection: close\r\n\r\n",
        "not-http": "?!\r\n\r\n",
        "pipelined": (head + "\r\n") * 12,
    }
