"""Apply a configuration change so that an accepted change is a confirmed one.

A change is a compare-and-swap of the whole configuration document.  It is reported as
accepted only after the key-value service has confirmed the write, or after the id of
the change was read back from it.  If a response is lost, the write may still be in
flight.  The same write is then sent again from the same base revision: at most one of
the two can take effect, and reading the document shows whether one did.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from ..core.config import (
    CONFIG_KEY,
    MAX_CONFIG_BYTES,
    Change,
    Config,
    apply_change,
    decode_config,
    encode_config,
)
from ..core.events import KvConflict, KvUnknown, KvValue, KvWritten
from ..core.hashing import hash64
from ..errors import Code, Failure
from ..platform.kv import KeyValueStore

MAX_ATTEMPTS: Final = 12
RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 1.0
NO_UNCONFIRMED_WRITE: Final = -1

ChangeBuilder = Callable[[Config], Change]


class ConfirmedChange:
    """A confirmed change.

    Parameters
    ----------
    revision : int
        Revision of the document that contains the change.
    value : bytes
        The document.
    """

    def __init__(self, revision: int, value: bytes) -> None:
        self.revision = revision
        self.value = value


async def make_change(
    key_value: KeyValueStore, change_id: str, build_change: ChangeBuilder, expected: int
) -> ConfirmedChange | Failure:
    """Apply one change.

    Parameters
    ----------
    key_value : KeyValueStore
        The key-value service of the platform.
    change_id : str
        Unique id that identifies the change when the document is read back.
    build_change : callable
        Function that builds the change for the configuration it is applied to.
    expected : int
        Revision that the document must have, or 0 for any.

    Returns
    -------
    Accepted or Failure
        ``ran`` of a failure is ``no`` if the change did not and will not take effect,
        and ``unknown`` if this cannot be determined.
    """
    unconfirmed_base = NO_UNCONFIRMED_WRITE
    for attempt in range(MAX_ATTEMPTS):
        await anyio.sleep(_retry_delay_s(change_id, attempt))
        current = await key_value.read(CONFIG_KEY)
        if isinstance(current, KvUnknown):
            continue
        if current.revision != unconfirmed_base and change_id not in _change_ids(
            current
        ):
            # The unconfirmed write had no effect and can have none later, since its
            # base revision has been replaced.
            unconfirmed_base = NO_UNCONFIRMED_WRITE
        outcome = await _attempt_change(
            key_value, current, change_id, build_change, expected
        )
        if isinstance(outcome, ConfirmedChange | Failure):
            return outcome
        if isinstance(outcome, KvUnknown):
            unconfirmed_base = current.revision
    if unconfirmed_base != NO_UNCONFIRMED_WRITE:
        detail = f"the platform did not confirm change {change_id}; look again"
        return Failure(Code.OUTCOME_UNKNOWN, detail, "unknown", MAX_RETRY_DELAY_S)
    detail = "the platform's key-value service does not answer"
    return Failure(Code.PLATFORM_DOWN, detail, "no", 5.0)


def _change_ids(document: KvValue) -> tuple[str, ...]:
    return decode_config(document.value).changes


async def _attempt_change(
    key_value: KeyValueStore,
    current: KvValue,
    change_id: str,
    build_change: ChangeBuilder,
    expected: int,
) -> ConfirmedChange | Failure | KvConflict | KvUnknown:
    config = decode_config(current.value)
    if change_id in config.changes:
        return ConfirmedChange(current.revision, current.value)
    if expected and expected != current.revision:
        detail = f"the configuration is at revision {current.revision}, not {expected}"
        return Failure(Code.CONFLICT, detail)
    changed = apply_change(config, build_change(config))
    if isinstance(changed, Failure):
        return changed
    value = encode_config(changed)
    if len(value) > MAX_CONFIG_BYTES:
        detail = f"the configuration would be over {MAX_CONFIG_BYTES} bytes"
        return Failure(Code.TOO_LARGE, detail)
    swap_result = await key_value.swap(CONFIG_KEY, current.revision, value)
    if isinstance(swap_result, KvWritten):
        return ConfirmedChange(swap_result.revision, value)
    return swap_result


def _retry_delay_s(change_id: str, attempt: int) -> float:
    """Return an exponential backoff with jitter, to separate concurrent operators."""
    if attempt == 0:
        return 0.0
    delay_s: float = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**attempt)
    return delay_s * (0.5 + hash64(change_id, str(attempt)) % 1000 / 1000)
