"""Making a change of configuration: accepted means confirmed.

A change is a compare-and-swap of the whole configuration document.  The answer
"accepted" is given only after the key-value service has confirmed the write, or after
this change's id was read back from it.  When an answer is lost, the write may still be
on its way, so the same write is sent again from the same base revision: at most one
of the two can take effect, and reading the document tells whether one has.
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

TRIES: Final = 12
RETRY_S: Final = 0.05
RETRY_MAX_S: Final = 1.0
NO_DOUBT: Final = -1

MakeChange = Callable[[Config], Change]


class Accepted:
    """A change that is confirmed, with the document that carries it."""

    def __init__(self, revision: int, value: bytes) -> None:
        self.revision = revision
        self.value = value


async def make_change(
    key_value: KeyValueStore, change_id: str, make: MakeChange, expected: int
) -> Accepted | Failure:
    """Make one change.

    Parameters
    ----------
    key_value : KeyValueStore
        The platform's service.
    change_id : str
        Unique id, by which the change is recognised when read back.
    make : callable
        Builds the change for the configuration it is applied to.
    expected : int
        Revision that the operator has seen, or 0 for any.

    Returns
    -------
    Accepted or Failure
        A failure's ``ran`` is ``no`` if the change certainly is not in force and
        never will be, ``unknown`` if that cannot be told.
    """
    doubted = NO_DOUBT
    for attempt in range(TRIES):
        await anyio.sleep(_delay(change_id, attempt))
        read = await key_value.read(CONFIG_KEY)
        if isinstance(read, KvUnknown):
            continue
        if read.revision != doubted and change_id not in _changes_in(read):
            # The doubted write's base is gone and it is not there, so it never will be.
            doubted = NO_DOUBT
        outcome = await _try_once(key_value, read, change_id, make, expected)
        if isinstance(outcome, Accepted | Failure):
            return outcome
        if isinstance(outcome, KvUnknown):
            doubted = read.revision
    if doubted != NO_DOUBT:
        detail = f"the platform did not confirm change {change_id}; look again"
        return Failure(Code.OUTCOME_UNKNOWN, detail, "unknown", RETRY_MAX_S)
    detail = "the platform's key-value service does not answer"
    return Failure(Code.PLATFORM_DOWN, detail, "no", 5.0)


def _changes_in(read: KvValue) -> tuple[str, ...]:
    return decode_config(read.value).changes


async def _try_once(
    key_value: KeyValueStore,
    read: KvValue,
    change_id: str,
    make: MakeChange,
    expected: int,
) -> Accepted | Failure | KvConflict | KvUnknown:
    config = decode_config(read.value)
    if change_id in config.changes:
        return Accepted(read.revision, read.value)
    if expected and expected != read.revision:
        detail = f"the configuration is at revision {read.revision}, not {expected}"
        return Failure(Code.CONFLICT, detail)
    changed = apply_change(config, make(config))
    if isinstance(changed, Failure):
        return changed
    value = encode_config(changed)
    if len(value) > MAX_CONFIG_BYTES:
        detail = f"the configuration would be over {MAX_CONFIG_BYTES} bytes"
        return Failure(Code.TOO_LARGE, detail)
    written = await key_value.swap(CONFIG_KEY, read.revision, value)
    if isinstance(written, KvWritten):
        return Accepted(written.revision, value)
    return written


def _delay(change_id: str, attempt: int) -> float:
    """Grow the wait with each attempt, with jitter against racing operators."""
    if attempt == 0:
        return 0.0
    delay: float = min(RETRY_MAX_S, RETRY_S * 2**attempt)
    return delay * (0.5 + hash64(change_id, str(attempt)) % 1000 / 1000)
