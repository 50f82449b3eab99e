"""Records of quarantined requests, one key of the store for each.

The store keeps them when all processes of the system have ended.  Operators read them,
and remove one to end the quarantine.
"""

from __future__ import annotations

import logging
import time

import msgspec

from ..decoding import DECODE_ERRORS
from ..scheduling.crashes import KEY_BYTES, CrashTable
from .documents import QUARANTINE_KEY_PREFIX

log = logging.getLogger(__name__)


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A quarantined request.

    Attributes
    ----------
    request : str
        Description for operators.
    servers : list of int
        Keys of the servers that crashed under it.
    until : float
        End of the quarantine, in seconds since 1970.
    """

    request: str
    servers: list[int]
    until: float


def quarantine_key(request_key: bytes) -> str:
    """Return the key in the store for the record of a request."""
    return QUARANTINE_KEY_PREFIX + request_key.hex()


def quarantined_request(key: str) -> bytes | None:
    """Return the key of the request of a record; None if it is not valid."""
    try:
        request_key = bytes.fromhex(key.removeprefix(QUARANTINE_KEY_PREFIX))
    except ValueError:
        return None
    return request_key if len(request_key) == KEY_BYTES else None


def make_record(table: CrashTable, request_key: bytes, now: float) -> bytes:
    """Return the record of a quarantined request."""
    record = QuarantineRecord(
        table.description(request_key),
        sorted(table.servers(request_key)),
        round(time.time() + table.remaining_s(request_key, now), 3),
    )
    return msgspec.json.encode(record)


def apply_record(table: CrashTable, key: str, value: bytes | None, now: float) -> None:
    """Apply a record to a table; None stands for its removal."""
    request_key = quarantined_request(key)
    if request_key is None:
        _log_invalid(key, "the key is not that of a request")
    elif value is None:
        table.pardon(request_key)
    else:
        try:
            record = msgspec.json.decode(value, type=QuarantineRecord)
        except DECODE_ERRORS as exc:
            _log_invalid(key, str(exc))
            return
        remaining_s = min(table.limits.quarantine_s, record.until - time.time())
        if remaining_s > 0:
            expires_at = now + remaining_s
            table.add(request_key, record.servers, expires_at, record.request)


def _log_invalid(key: str, reason: str) -> None:
    log.error(
        "value in the store does not decode", extra={"key": key, "reason": reason}
    )
