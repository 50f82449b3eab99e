"""HTTP requests and response heads, and their encoding.

Header names and values stay bytes as received, so that forwarded headers are not
re-encoded.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection only, besides those listed in Connection.
HOP_BY_HOP: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Request(NamedTuple):
    """A complete request of a caller.

    Attributes
    ----------
    target : str
        Path and query as sent.
    received_at : float
        Time at which the head was complete, on the event loop's clock.
    held_bytes : int
        Memory that the request takes, in bytes.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    held_bytes: int = 0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class BadRequest(NamedTuple):
    """A rejected request; the connection is closed after the response.

    Attributes
    ----------
    retry_after_s : float
        Seconds to wait before a retry; 0 if a retry is of no use.
    request_id : str
        Id that the caller sent, if it is known by then.
    method : str
        Method of the request, if it is known by then.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0
    request_id: str = ""
    method: str = ""


class ResponseHead(NamedTuple):
    """Status code and headers of a response."""

    status: int
    headers: Headers


def header(headers: Headers, name: bytes) -> str:
    """Return the first header of the given lower-case name, or an empty string."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection only."""
    dropped = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(part.strip() for part in value.lower().split(b","))
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode the first line and the headers of a message."""
    lines = [first_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_status_line(status: int) -> bytes:
    """Encode the first line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}".encode()


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK: Final = b"0\r\n\r\n"
