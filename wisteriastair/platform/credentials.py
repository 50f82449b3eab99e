"""Keys of customers: read from requests, and taken out of the configuration.

A key is a secret.  It becomes a digest at the two places where it enters a process, the
header of a request and the operators' document, and nothing behind them ever holds it.
"""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.customers import digest_key
from ..http1.messages import Headers

AUTHORIZATION: Final = b"authorization"
SCHEME: Final = b"bearer"
# Longer values are no keys; without a bound a caller would choose how much is hashed.
MOST_KEY_BYTES: Final = 512
# What the configuration holds in place of keys.
KEY_DIGESTS: Final = "keyDigests"
_TENANTS: Final = "tenants"
_KEYS: Final = "apiKeys"


def key_digest(headers: Headers) -> str:
    """Digest of the one key that a request carries; empty if it carries no usable one.

    Two of them may name two customers, and whoever is in front of this process may
    have checked the other one.
    """
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key or len(key) > MOST_KEY_BYTES:
        return ""
    if not key.isascii() or b" " in key:
        return ""
    return digest_key(key)


def without_keys(document: bytes) -> bytes:
    """Return the operators' configuration with digests in the place of keys.

    The configuration is passed on between processes and kept on disks.  What cannot be
    read is dropped whole, since keys may stand anywhere in it; an empty document does
    not decode, so the last good one stays in force.
    """
    try:
        whole = msgspec.json.decode(document)
    except msgspec.DecodeError:
        return b""
    if not isinstance(whole, dict):
        return b""
    if _TENANTS not in whole:
        return document
    tenants = whole[_TENANTS]
    listed = isinstance(tenants, list)
    whole[_TENANTS] = [_without_keys(one) for one in tenants] if listed else None
    return msgspec.json.encode(whole)


def _without_keys(tenant: object) -> dict[str, object] | None:
    if not isinstance(tenant, dict):
        return None
    kept = {name: value for name, value in tenant.items() if name != _KEYS}
    keys = tenant.get(_KEYS, [])
    kept[KEY_DIGESTS] = [_digest(k) for k in keys] if isinstance(keys, list) else [""]
    return kept


def _digest(key: object) -> str:
    """Digest of a key in the configuration; empty for what is no key."""
    if not isinstance(key, str) or not key or not key.isascii():
        return ""
    return digest_key(key.encode())
