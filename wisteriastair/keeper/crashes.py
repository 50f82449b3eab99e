"""Sums of the crashes that relays find, on the keepers that watch the store.

Each relay reports to all of these keepers, so one of them is enough, and none holds the
truth: relays keep what they know and tell it to a keeper that is new.  A keeper sends
relays only requests that are one crash from quarantine or beyond, since all requests of
a failure domain that ends are counted once.
"""

from __future__ import annotations

import logging
from typing import Final

from ..core.ledgerwire import CrashReport, CrashUpdate
from ..scheduling.crashes import MAX_ENTRIES, CrashTable, add_entry, make_entry

# Interval in seconds at which relays are told the revision while there is anything to
# know, so that they notice a lost update.
ANNOUNCE_INTERVAL_S: Final = 1.0

log = logging.getLogger(__name__)


class CrashKeeper:
    """Sums the crashes of each request over all relays.

    Parameters
    ----------
    table : CrashTable
        The sums.
    """

    def __init__(self, table: CrashTable) -> None:
        self.table = table
        # Never 0, which stands for no knowledge.
        self._revision = 1
        self._shared: set[bytes] = set()
        self._changed: set[bytes] = set()
        self._forgotten: set[bytes] = set()
        self._announced_at = 0.0

    @property
    def _min_shared(self) -> int:
        return max(1, self.table.limits.max_crashes - 1)

    def receive(self, report: CrashReport, now: float) -> CrashUpdate | None:
        """Add a report; return the reply to the relay, if it needs one."""
        known = []
        for entry in report.crashes[:MAX_ENTRIES]:
            if add_entry(self.table, entry, now):
                self._on_added(entry.key)
            known.append(entry.key)
        for key in report.answered[:MAX_ENTRIES]:
            self.forget(key)
        if report.wants_all:
            return self.snapshot(now)
        if not report.op:
            return None
        # The sums of the reported requests: the relay may complete a quarantine.
        return CrashUpdate(
            self._revision,
            self._revision,
            [make_entry(self.table, key, now) for key in known if key in self.table],
            op=report.op,
        )

    def _on_added(self, key: bytes) -> None:
        if self.table.count(key) < self._min_shared:
            return
        self._shared.add(key)
        self._changed.add(key)
        self._forgotten.discard(key)
        if self.table.is_quarantined(key):
            log.warning(
                "request quarantined",
                extra={
                    "key": key.hex(),
                    "crashes": self.table.count(key),
                    "description": self.table.description(key),
                },
            )

    def forget(self, key: bytes) -> None:
        """Forget a request; relays are told if they were told of it."""
        self.table.forget(key)
        if key in self._shared:
            self._shared.discard(key)
            self._changed.discard(key)
            self._forgotten.add(key)

    def snapshot(self, now: float) -> CrashUpdate:
        """Return all that relays have to know."""
        shared = [key for key in self._shared if key in self.table]
        entries = [make_entry(self.table, key, now) for key in shared]
        return CrashUpdate(0, self._revision, entries)

    def next_update(self, now: float) -> CrashUpdate | None:
        """Return the update to send to all relays now, if any."""
        self.table.expire(now)
        for key in [key for key in self._shared if key not in self.table]:
            self.forget(key)
        base = self._revision
        if self._changed or self._forgotten:
            self._revision += 1
            entries = [make_entry(self.table, key, now) for key in self._changed]
            update = CrashUpdate(base, self._revision, entries, list(self._forgotten))
            self._changed.clear()
            self._forgotten.clear()
            self._announced_at = now
            return update
        if self._shared and now - self._announced_at >= ANNOUNCE_INTERVAL_S:
            self._announced_at = now
            return CrashUpdate(base, base)
        return None
