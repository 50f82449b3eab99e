"""Client of the platform's store.

The store maps keys to values, with one revision counter for all keys.  It offers
compare-and-swap over several keys, and watches by long poll.  A call without a response
may have taken effect, or may still do so.  A swap therefore has three outcomes.

A connection to the store can become half-open.  TCP keep-alive probes and a limit on
the time for which data stays unacknowledged close such a connection after about two
seconds.  Without them a watch would wait for its whole timeout on a connection that
cannot deliver a response.
"""

from __future__ import annotations

import binascii
from base64 import b64decode, b64encode
from typing import Final, NamedTuple, TypeVar

import httpx
import msgspec

from ..core.storetimes import StoreTimeouts
from ..decoding import DECODE_ERRORS
from ..http1.fetch import DEFAULT_HEADERS, Fetched, FetchError, fetch
from ..sockets import SOCKET_OPTIONS
from .credentials import replace_keys_with_digests
from .documents import CONFIG_KEY

CONNECT_TIMEOUT_S: Final = 0.7
# Maximum size of a response; a page of keys has about 1 MB.
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
# Time for the rest of a response after its first bytes, in seconds.
MAX_TRANSFER_S: Final = 4.0
MS_PER_S: Final = 1000
# Keys that one call may write and remove.
MAX_TXN_ENTRIES: Final = 32


class StoreItem(NamedTuple):
    """A key with its last revision and value; the value of a removed key is None."""

    key: str
    revision: int
    value: bytes | None


class Snapshot(NamedTuple):
    """All keys below a prefix, as of at least `revision`."""

    revision: int
    items: tuple[StoreItem, ...]


class Changes(NamedTuple):
    """Changes after the requested revision, up to `revision`."""

    revision: int
    items: tuple[StoreItem, ...]


class HistoryExpired(NamedTuple):
    """The store no longer has the requested changes; all keys must be read again."""


class Swapped(NamedTuple):
    """The write took effect."""

    revision: int


class SwapConflict(NamedTuple):
    """The key was not at the expected revision; nothing was written."""


class StoreError(NamedTuple):
    """No valid response; a write may have taken effect unless `had_no_effect`.

    Attributes
    ----------
    reason : str
        Cause, for the log.
    had_no_effect : bool
        True if the call certainly had no effect: the store was not reached, or it
        rejected the call.
    is_too_large : bool
        Whether the response is larger than allowed.
    """

    reason: str
    had_no_effect: bool
    is_too_large: bool = False


class _ItemData(msgspec.Struct):
    key: str
    # For a removed key, the revision of the removal.
    rev: int
    # Base64 text.  Any type is accepted, so that one invalid value does not make the
    # other items of the response unreadable.
    value: object = ""
    removed: bool = False


class _RangeResponse(msgspec.Struct, rename="camel"):
    items: list[_ItemData]
    truncated: bool
    # Revision of the store, not of the newest listed item.
    current_rev: int


class _WatchResponse(msgspec.Struct, rename="camel"):
    events: list[_ItemData]
    current_rev: int


class _WriteResponse(msgspec.Struct):
    rev: int


_T = TypeVar("_T")

_NO_EFFECT_STATUSES: Final = (429, 503)


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    times : StoreTimeouts
        Timeouts of the calls.
    """

    def __init__(self, address: str, times: StoreTimeouts) -> None:
        self.call_count = 0
        self.times = times
        # The store uses plain HTTP.  With `verify`, the client would load all
        # certificate authorities, which delays the start of the process by 0.1 s.
        transport = httpx.AsyncHTTPTransport(
            verify=False, socket_options=SOCKET_OPTIONS, retries=0
        )
        timeout = httpx.Timeout(times.call_timeout_s, connect=CONNECT_TIMEOUT_S)
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            transport=transport,
            timeout=timeout,
            headers=DEFAULT_HEADERS,
        )

    async def list_all(self, prefix: str) -> Snapshot | StoreError:
        """Read all keys below a prefix.

        The pages are not one consistent snapshot.  The revision of the first page is
        returned, so that a watch from there repeats all changes made while the pages
        were read.
        """
        items: list[StoreItem] = []
        revision = 0
        after = ""
        while True:
            params = {"prefix": prefix}
            if after:
                params["after"] = after
            response = await self._call("GET", "/v1/kv-range", params=params)
            if isinstance(response, StoreError):
                return response
            page = _decode_response(response, _RangeResponse)
            if isinstance(page, StoreError):
                return page
            revision = revision or page.current_rev
            items += [_decode_item(raw) for raw in page.items]
            if not page.truncated or not page.items:
                return Snapshot(revision, tuple(items))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryExpired | StoreError:
        """Wait at most `wait_s` seconds for changes below a prefix."""
        params = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * MS_PER_S)),
        }
        timeout = httpx.Timeout(
            wait_s + self.times.watch_grace_s, connect=CONNECT_TIMEOUT_S
        )
        response = await self._call(
            "GET", "/v1/kv-watch", params=params, timeout=timeout
        )
        if isinstance(response, StoreError):
            # Pages of all keys are smaller than that many changes.
            return HistoryExpired() if response.is_too_large else response
        if response.status == httpx.codes.GONE:
            return HistoryExpired()
        events = _decode_response(response, _WatchResponse)
        if isinstance(events, StoreError):
            return events
        return Changes(
            events.current_rev, tuple(_decode_item(raw) for raw in events.events)
        )

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> Swapped | SwapConflict | StoreError:
        """Write a key if it is still at `revision`; 0 means that it does not exist."""
        return await self._write([{"key": key, "rev": revision}], key, value)

    async def put(self, key: str, value: bytes) -> Swapped | SwapConflict | StoreError:
        """Write a key unconditionally; the call is idempotent."""
        return await self._write([], key, value)

    async def update(
        self, values: dict[str, bytes], removed: list[str]
    ) -> Swapped | SwapConflict | StoreError:
        """Write some keys and remove others; the call is idempotent.

        At most `MAX_TXN_ENTRIES` keys.
        """
        puts = [_encode_put(key, value) for key, value in values.items()]
        return await self._commit([], puts, removed)

    async def _write(
        self, precondition: list[dict[str, str | int]], key: str, value: bytes
    ) -> Swapped | SwapConflict | StoreError:
        return await self._commit(precondition, [_encode_put(key, value)], [])

    async def _commit(
        self,
        precondition: list[dict[str, str | int]],
        puts: list[dict[str, str]],
        removed: list[str],
    ) -> Swapped | SwapConflict | StoreError:
        body = {"precondition": precondition, "puts": puts, "remove": removed}
        response = await self._call("POST", "/v1/kv-txn", json=body)
        if isinstance(response, StoreError):
            return response
        if response.status == httpx.codes.PRECONDITION_FAILED:
            return SwapConflict()
        written = _decode_response(response, _WriteResponse)
        if isinstance(written, StoreError):
            return written
        return Swapped(written.rev)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        json: object = None,
        timeout: httpx.Timeout | None = None,
    ) -> Fetched | StoreError:
        self.call_count += 1
        timeout = timeout or self._client.timeout
        request = self._client.build_request(
            method,
            path,
            params=params,
            json=json,
            timeout=timeout,
        )
        response = await fetch(
            self._client,
            request,
            max_bytes=MAX_RESPONSE_BYTES,
            timeout_s=(timeout.read or 0.0) + MAX_TRANSFER_S,
        )
        if isinstance(response, FetchError):
            return StoreError(
                response.reason, not response.was_sent, response.is_too_large
            )
        if response.status in _NO_EFFECT_STATUSES:
            return StoreError(f"status {response.status}", True)
        return response


def _encode_put(key: str, value: bytes) -> dict[str, str]:
    return {"key": key, "value": b64encode(value).decode()}


def _decode_item(raw: _ItemData) -> StoreItem:
    if raw.removed:
        return StoreItem(raw.key, raw.rev, None)
    value = _decode_value(raw.value)
    return StoreItem(
        raw.key,
        raw.rev,
        replace_keys_with_digests(value) if raw.key == CONFIG_KEY else value,
    )


def _decode_value(value: object) -> bytes:
    """Decode a base64 value; return other text unchanged, as an invalid document."""
    text = str(value).encode()
    try:
        return b64decode(text, validate=True)
    except binascii.Error:
        return text


def _decode_response(response: Fetched, response_type: type[_T]) -> _T | StoreError:
    if response.status != httpx.codes.OK:
        return StoreError(f"status {response.status}", False)
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except DECODE_ERRORS as exc:
        return StoreError(f"response does not decode: {exc}", False)
