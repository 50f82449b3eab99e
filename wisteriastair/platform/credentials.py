"""Digests of customers' API keys, from request headers and from the configuration.

A key is a secret.  It is replaced by its digest where it enters a process: in the
header of a request and in the operators' configuration.  No other code sees the key.
"""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.customers import digest_key
from ..decoding import DECODE_ERRORS
from ..http1.messages import Headers

AUTHORIZATION: Final = b"authorization"
AUTHORIZATION_SCHEME: Final = b"bearer"
# Longer values are rejected, so that a caller cannot make the process hash large input.
MAX_KEY_BYTES: Final = 512
# Field that replaces the keys of a tenant.
KEY_DIGESTS_FIELD: Final = "keyDigests"
_TENANTS_FIELD: Final = "tenants"
_KEYS_FIELD: Final = "apiKeys"


def key_digest(headers: Headers) -> str:
    """Return the digest of a request's key, or an empty string without a valid key.

    A request with two keys has none: they may belong to two customers, and a proxy in
    front of this process may have checked the other one.
    """
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != AUTHORIZATION_SCHEME or not key or len(key) > MAX_KEY_BYTES:
        return ""
    if not key.isascii() or b" " in key:
        return ""
    return digest_key(key)


def replace_keys_with_digests(document: bytes) -> bytes:
    """Return the operators' configuration with each key replaced by its digest.

    The configuration is sent between processes and stored on disks.  A document that
    does not decode is replaced by an empty one, since it may contain keys anywhere.  An
    empty document does not decode either, so the last valid one stays in force.
    """
    try:
        config = msgspec.json.decode(document)
    except DECODE_ERRORS:
        return b""
    if not isinstance(config, dict):
        return b""
    if _TENANTS_FIELD not in config:
        return document
    tenants = config[_TENANTS_FIELD]
    is_list = isinstance(tenants, list)
    config[_TENANTS_FIELD] = (
        [_replace_tenant_keys(tenant) for tenant in tenants] if is_list else None
    )
    return msgspec.json.encode(config)


def _replace_tenant_keys(tenant: object) -> dict[str, object] | None:
    if not isinstance(tenant, dict):
        return None
    result = {name: value for name, value in tenant.items() if name != _KEYS_FIELD}
    keys = tenant.get(_KEYS_FIELD, [])
    result[KEY_DIGESTS_FIELD] = (
        [_configured_key_digest(k) for k in keys] if isinstance(keys, list) else [""]
    )
    return result


def _configured_key_digest(key: object) -> str:
    """Return the digest of a configured key, or an empty string for an invalid key."""
    if not isinstance(key, str) or not key or not key.isascii():
        return ""
    return digest_key(key.encode())
