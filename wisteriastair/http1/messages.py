"""Requests and answers as the channels pass them on, and how they are written.

Header names and values stay bytes as received: what is passed on is not re-encoded.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers that concern only one channel, besides those that Connection names.
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
    """A whole request of a caller.

    Attributes
    ----------
    target : str
        Path and query as sent.
    received_at : float
        When its head was complete, on the loop's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


class BadRequest(NamedTuple):
    """A request that cannot be taken; the channel ends after its answer."""

    status: int
    reason: str


class ResponseHead(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    headers: Headers


def header(headers: Headers, name: bytes) -> str:
    """Return the first header of a lower-case name, or an empty string."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def end_to_end(headers: Headers) -> Headers:
    """Leave out the headers that concern only one channel."""
    dropped = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(part.strip() for part in value.lower().split(b","))
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Write a head."""
    lines = [first_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> bytes:
    """Write the first line of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}".encode()


def chunk(data: bytes) -> bytes:
    """Write one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK: Final = b"0\r\n\r\n"
