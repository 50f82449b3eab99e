"""Calls with httpx whose responses are limited in size and time.

A server may send a body without end, or a few bytes of it now and then: the timeouts of
httpx apply to each read, and it reads bodies of any size.  A response may also name a
content coding or a charset that expands, that takes very long, or that is none, for
which httpx raises exceptions that are not HTTP errors.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final, NamedTuple

import anyio
import anyio.lowlevel
import httpx

# Servers are asked for no content coding, and none is decoded.
DEFAULT_HEADERS: Final = {"Accept-Encoding": "identity"}
# Parts of a body after which other tasks run; a chunk may have a single byte.
PARTS_PER_CHECKPOINT: Final = 64
DEFAULT_CHARSET: Final = "utf-8"
CHARSETS: Final = frozenset(
    (
        "utf-8",
        "us-ascii",
        "iso-8859-1",
        "iso-8859-2",
        "iso-8859-15",
        "windows-1251",
        "windows-1252",
        "utf-16",
        "shift_jis",
        "euc-jp",
        "gb18030",
    )
)


class Fetched(NamedTuple):
    """A complete response.

    Attributes
    ----------
    charset : str
        Charset of the body, one of `CHARSETS`.
    """

    status: int
    body: bytes
    charset: str

    @property
    def text(self) -> str:
        """The body as text; bytes that are invalid in its charset are replaced."""
        return self.body.decode(self.charset, "replace")


class FetchError(NamedTuple):
    """No complete response.

    Attributes
    ----------
    was_sent : bool
        Whether the request may have been sent.
    is_too_large : bool
        Whether the response is larger than allowed.
    """

    reason: str
    was_sent: bool
    is_too_large: bool = False


class TooLarge(NamedTuple):
    """More was received than is allowed."""

    max_bytes: int


async def fetch(
    client: httpx.AsyncClient,
    request: httpx.Request,
    *,
    max_bytes: int,
    timeout_s: float,
) -> Fetched | FetchError:
    """Send a request and read its response.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the body.
    timeout_s : float
        Seconds until the response must be complete.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await _fetch(client, request, max_bytes)
    except httpx.ConnectError as exc:
        return FetchError(f"no connection: {exc!r}", was_sent=False)
    except httpx.ConnectTimeout:
        return FetchError("no connection in time", was_sent=False)
    except httpx.HTTPError as exc:
        return FetchError(repr(exc), was_sent=True)
    except TimeoutError:
        return FetchError(f"no complete response in {timeout_s} s", was_sent=True)


async def _fetch(
    client: httpx.AsyncClient, request: httpx.Request, max_bytes: int
) -> Fetched | FetchError:
    response = await client.send(request, stream=True)
    try:
        coding = response.headers.get("content-encoding", "identity")
        if coding != "identity":
            return FetchError(f"content coding {coding}", was_sent=True)
        body = bytearray()
        async for part in read_parts(response):
            body += part
            if len(body) > max_bytes:
                reason = f"response over {max_bytes} bytes"
                return FetchError(reason, was_sent=True, is_too_large=True)
        return Fetched(response.status_code, bytes(body), _charset(response))
    finally:
        await response.aclose()


async def read_parts(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive, and let other tasks run."""
    count = 0
    async for part in response.aiter_raw():
        yield part
        count += 1
        if count % PARTS_PER_CHECKPOINT == 0:
            await anyio.lowlevel.checkpoint()


async def read_lines(
    response: httpx.Response, *, max_line_bytes: int, max_bytes: int
) -> AsyncIterator[bytes | TooLarge]:
    """Yield the lines of a body as they arrive; the last item may be `TooLarge`.

    Parameters
    ----------
    max_line_bytes, max_bytes : int
        Maximum size of a line and of the body.
    """
    incomplete = bytearray()
    size = 0
    async for part in read_parts(response):
        size += len(part)
        if size > max_bytes:
            yield TooLarge(max_bytes)
            return
        *lines, rest = part.split(b"\n")
        for line in lines:
            incomplete += line
            yield bytes(incomplete).removesuffix(b"\r")
            incomplete.clear()
        incomplete += rest
        if len(incomplete) > max_line_bytes:
            yield TooLarge(max_line_bytes)
            return
    if incomplete:
        yield bytes(incomplete)


def _charset(response: httpx.Response) -> str:
    """Return the charset of a response, or UTF-8 if it names none that is known."""
    content_type: str = response.headers.get("content-type", "")
    for parameter in content_type.split(";")[1:]:
        name, _, value = parameter.strip().partition("=")
        charset = value.strip('"').lower()
        if name.lower() == "charset" and charset in CHARSETS:
            return charset
    return DEFAULT_CHARSET
