"""Records of quarantined requests in the platform's store.

The records outlive all processes of the system, and operators read them.  Processes
read them like any other document; removing one ends the quarantine.  The decision does
not wait for the store: without it, the quarantine is in force and not recorded.
"""

from __future__ import annotations

import logging
from typing import Final

from ..platform.quarantine import (
    apply_record,
    make_record,
    quarantine_key,
    quarantined_request,
)
from ..platform.store import MAX_TXN_ENTRIES, Store, StoreError
from .crashes import CrashKeeper

# Seconds that a keeper leaves to each one before it to write a record.
TAKEOVER_S: Final = 2.0
# Longest pause after a failed call, in seconds; the first one is a second, and each
# is twice as long as the last.
MAX_RETRY_S: Final = 30.0

log = logging.getLogger(__name__)


class QuarantineRecords:
    """Writes the records, and applies what the store reports of them.

    Parameters
    ----------
    crashes : CrashKeeper
        The quarantined requests.
    store : Store
        The platform's store.
    """

    def __init__(self, crashes: CrashKeeper, store: Store) -> None:
        self._crashes = crashes
        self._store = store
        self._recorded: set[bytes] = set()
        # Requests whose record is to be written or removed, and since when.
        self._due_since: dict[bytes, float] = {}
        self._retry_s = 1.0
        self._retry_at = 0.0

    def apply(self, key: str, value: bytes | None, now: float) -> None:
        """Apply a record, or its removal."""
        request = quarantined_request(key)
        if request is None:
            return
        if value is not None:
            self._recorded.add(request)
            apply_record(self._crashes.table, key, value, now)
        else:
            # Also if the record was removed before this process knew of it.
            self._recorded.discard(request)
            self._crashes.forget(request)

    async def sync(self, rank: int, now: float) -> None:
        """Write missing records and remove those of ended quarantines, in one call.

        Parameters
        ----------
        rank : int
            Number of keepers that should do so before this one.
        """
        table = self._crashes.table
        quarantined = set(table.quarantined_keys())
        due = quarantined ^ self._recorded
        self._due_since = {key: self._due_since.get(key, now) for key in due}
        waited = [k for k in due if now - self._due_since[k] >= rank * TAKEOVER_S]
        if not waited or now < self._retry_at:
            return
        batch = waited[:MAX_TXN_ENTRIES]
        values = {
            quarantine_key(key): make_record(table, key, now)
            for key in batch
            if key in quarantined
        }
        removed = [quarantine_key(key) for key in batch if key not in quarantined]
        outcome = await self._store.update(values, removed)
        if isinstance(outcome, StoreError):
            log.info("quarantine not recorded", extra={"reason": outcome.reason})
            self._retry_at = now + self._retry_s
            self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
            return
        self._retry_s = 1.0
        # The watch may have reported the change before the response arrived.
        self._recorded.update(key for key in batch if key in quarantined)
        self._recorded.difference_update(key for key in batch if key not in quarantined)
