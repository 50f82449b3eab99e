"""What an outage of the store says of entries that are missing after it.

Load pattern: the leases of servers' entries expire while the store is down, and the
servers come back one by one within seconds. Without the missing ones, the first entry
to return would draw the requests of its whole service.

Another server's entry is missing because it has left, possibly before the outage, and
it soon stops serving. Both look alike, so missing entries are taken for expired only
after an outage that is long enough for that, and only until the platform counts
processes as in touch with the store again. That starts with the store's return, which
a process notices later: the start of its last failed call is the latest time at which
the store was certainly still away.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# Time allowed for entries to come back after an outage of the store, in seconds. They
# need about two seconds.
REREGISTRATION_S: Final = 2.6
# Shortest outage in seconds in which the lease of a living server can expire. A watch
# that is cut, or a single lost response, is shorter.
MIN_EXPIRY_S: Final = 1.5


class StoreOutage(NamedTuple):
    """The last time in which a process learned nothing from the store, in seconds.

    Attributes
    ----------
    since : float
        Time of the newest state of the store that was known before.
    failed_at : float
        Start of the last call that failed.
    until : float
        Time of the first response after it.
    """

    since: float
    failed_at: float
    until: float

    def may_expire_leases(self) -> bool:
        """Return whether entries that are missing after it may have expired."""
        return self.until - self.since >= MIN_EXPIRY_S

    def unstable_until(self, contact_s: float) -> float:
        """Return the time until which entries may still come back.

        Parameters
        ----------
        contact_s : float
            Seconds after the store's return until all promises hold again.
        """
        return min(self.until + REREGISTRATION_S, self.failed_at + contact_s)
