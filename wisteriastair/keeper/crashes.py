"""Sums of the crashes that relays find, on some keepers.

Each relay reports to all of these keepers, so one of them is enough, and none holds the
truth: relays keep what they know and tell it to a keeper that is new.  A keeper sends
relays the requests that are one server from the bound or beyond, counting those that
may have crashed.  It sends others only while they are few: all requests of a failure
domain that ends are counted once.
"""

from __future__ import annotations

import logging
from typing import Final

from ..core.crashwire import (
    CrashReport,
    CrashUpdate,
    RequestCrashes,
    ServerClaim,
    SettledServers,
)
from ..scheduling.claims import CLAIM_KEY_BYTES, ClaimTable
from ..scheduling.crashes import (
    KEY_BYTES,
    MAX_ENTRIES,
    CrashTable,
    add_entry,
    make_entry,
    settle_entry,
)

# Interval in seconds at which relays are told the revision while there is anything to
# know, so that they notice a lost update.
ANNOUNCE_INTERVAL_S: Final = 1.0
# Seconds after its last report for which a relay gets updates: several of its reports.
SUBSCRIPTION_S: Final = 4.0
# Requests that relays are told of, above which those of one server are left out.
MAX_SHARED_EARLY: Final = 16

log = logging.getLogger(__name__)


class CrashKeeper:
    """Sums the crashes of each request over all relays.

    Parameters
    ----------
    table : CrashTable
        The sums.
    claims : ClaimTable or None
        Servers that requests have claimed; None for a process that has none to forget.

    Attributes
    ----------
    has_unsaved_sums : bool
        Whether the sums have changed since `entries` returned them.
    """

    def __init__(self, table: CrashTable, claims: ClaimTable | None = None) -> None:
        self.table = table
        self.claims = ClaimTable() if claims is None else claims
        self.has_unsaved_sums = False
        # Never 0, which stands for no knowledge.
        self._revision = 1
        self._shared: set[bytes] = set()
        self._changed: set[bytes] = set()
        # Digests of their headers, empty if these do not matter.
        self._forgotten: dict[bytes, bytes] = {}
        self._settled: list[SettledServers] = []
        self._announced_at = 0.0
        # Subscribed relays, by member id.
        self._expires_at: dict[str, float] = {}

    @property
    def has_unsaved(self) -> bool:
        """Whether a reply must wait until sums or claims are saved."""
        return self.has_unsaved_sums or self.claims.has_unsaved

    @property
    def _min_shared(self) -> int:
        return max(1, self.table.limits.max_crashes - 1)

    def receive(
        self, sender: str, report: CrashReport, now: float
    ) -> list[tuple[str, CrashUpdate]]:
        """Add the report of a relay; return the messages to send, in order."""
        is_new = sender not in self._expires_at
        self._expires_at[sender] = now + SUBSCRIPTION_S
        known = []
        for entry in report.crashes[:MAX_ENTRIES]:
            if add_entry(self.table, entry, now):
                self._on_added(entry.key)
                self.has_unsaved_sums = True
            known.append(entry.key)
        for settled in report.settled[:MAX_ENTRIES]:
            if settle_entry(self.table, settled, now):
                self.has_unsaved_sums = True
                if settled.key in self._shared:
                    self._settled.append(settled)
        for answered in report.answered[:MAX_ENTRIES]:
            self.forget(answered[:KEY_BYTES], answered[KEY_BYTES:])
        # Other relays first: the reply releases the answer to the caller.
        messages = self.next_updates(now)
        if is_new or report.wants_all:
            messages.append((sender, self._snapshot(now)))
        if report.op:
            # The sums of the reported requests: the relay may complete a quarantine.
            entries = [make_entry(self.table, k, now) for k in known if k in self.table]
            reply = CrashUpdate(
                self._revision,
                self._revision,
                entries,
                op=report.op,
                claims=self._grant(report.claims, now),
            )
            messages.append((sender, reply))
        return messages

    def _grant(self, claims: list[ServerClaim], now: float) -> list[ServerClaim]:
        return [
            ServerClaim(c.key, self.claims.claim(c.key, c.server, now))
            for c in claims[:MAX_ENTRIES]
            if len(c.key) == CLAIM_KEY_BYTES
        ]

    def restore(self, entries: list[RequestCrashes], now: float) -> None:
        """Add what was known before a restart."""
        for entry in entries:
            if add_entry(self.table, entry, now):
                self._on_added(entry.key)

    def entries(self, now: float) -> list[RequestCrashes]:
        """Return all sums, to be saved."""
        self.has_unsaved_sums = False
        keys = self.table.keys()
        return [make_entry(self.table, key, now) for key in keys]

    def _on_added(self, key: bytes) -> None:
        is_early = self.table.at_risk(key) < self._min_shared
        if is_early and self.table.has_survivors_only(key):
            # Relays that were told of it hear of its survival, and no others.
            self._changed |= self._shared & {key}
            self._shared.discard(key)
            return
        if is_early and len(self._shared) >= MAX_SHARED_EARLY:
            return
        self._shared.add(key)
        self._changed.add(key)
        self._forgotten.pop(key, None)
        if self.table.is_quarantined(key):
            log.warning(
                "request quarantined",
                extra={
                    "key": key.hex(),
                    "crashes": self.table.count(key),
                    "description": self.table.description(key),
                },
            )

    def forget(self, key: bytes, variant: bytes = b"") -> None:
        """Forget a request; relays are told if they were told of it.

        Parameters
        ----------
        variant : bytes
            Digest of its headers. A request that was at risk with other ones stays.
        """
        self.has_unsaved_sums |= self.table.forget(key, variant)
        if key in self.table:
            return
        if key in self._shared:
            self._shared.discard(key)
            self._changed.discard(key)
            self._forgotten[key] = variant

    def _snapshot(self, now: float) -> CrashUpdate:
        shared = [key for key in self._shared if key in self.table]
        entries = [make_entry(self.table, key, now) for key in shared]
        return CrashUpdate(0, self._revision, entries)

    def next_updates(self, now: float) -> list[tuple[str, CrashUpdate]]:
        """Return the updates to send to relays now."""
        self._expires_at = {m: t for m, t in self._expires_at.items() if t >= now}
        update = self._next_update(now)
        return [(member, update) for member in self._expires_at if update is not None]

    def _next_update(self, now: float) -> CrashUpdate | None:
        self.table.expire(now)
        # Relays forget these by themselves, unless they have found more meanwhile.
        expired = {key for key in self._shared if key not in self.table}
        self._shared -= expired
        self._changed -= expired
        base = self._revision
        if self._changed or self._forgotten or self._settled:
            self._revision += 1
            entries = [make_entry(self.table, key, now) for key in self._changed]
            update = CrashUpdate(
                base,
                self._revision,
                entries,
                [key + variant for key, variant in self._forgotten.items()],
                settled=self._settled,
            )
            self._changed.clear()
            self._forgotten.clear()
            self._settled = []
            self._announced_at = now
            return update
        if self._shared and now - self._announced_at >= ANNOUNCE_INTERVAL_S:
            self._announced_at = now
            return CrashUpdate(base, base)
        return None
