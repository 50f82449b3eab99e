"""Who watches the platform's store for everybody, and what the others hear of it.

The store counts every call and every waiting watch.  If each process watched by
itself, one change would cost as many calls as there are processes: 7,093 calls on a
calm day of 84 processes.  So only a few keepers watch, chosen alike by all from the
list of members, one more than may be lost at once and in different failure domains.
They send what they hear to all who have subscribed.

A watcher can be dead, frozen, cut off, or cut off from the store alone, and then says
nothing or something old.  What it says therefore counts for a short time only, and a
process that no watcher has confirmed to be up to date watches by itself, as long as
that lasts.  Each message says after which revision its changes begin: whoever has
missed one, or is told of a newer revision than it holds, sees that and does the same.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

import msgspec

from .hashing import address_of, rendezvous_order
from .ledgerwire import StoreUpdate, Subscribe
from .membership import Member, View, sort_local_first, spread_over_domains

# A change has to be in force everywhere within a bound that the operators set.  A watch
# waits a quarter of it at most, so that a calm store confirms itself four times within
# the bound; what a watcher said counts for half of it; the other half is left for the
# process's own call after that, and for what the connection held up (0.8 s at most).
WAITS_IN_BOUND: Final = 4.0
LIMIT_IN_BOUND: Final = 2.0
# A bound under this cannot be kept with calls that take some hundred milliseconds when
# the store is slow, in seconds; taken at its word it would have watches end at once.
LEAST_BOUND_S: Final = 1.0
# A process that is told of a newer revision waits this long for the change itself, in
# seconds.  Watchers gather changes for 0.2 s, so one may be that much after another.
GRACE_S: Final = 0.3
# Watchers are chosen anew once the list of members has not changed for so long, in
# seconds: longer than the pauses between members that join one after another.
SETTLE_S: Final = 2.0
# Subscriptions are renewed this often and end after several missed renewals, in
# seconds, so that one lost message costs nothing.
RENEW_S: Final = 1.0
LEASE_S: Final = 4.0
NEVER: Final = -math.inf


class WatchTimes(NamedTuple):
    """How long a watch of the store waits, and how long its word counts, in seconds."""

    wait_s: float
    validity_s: float


def make_watch_times(bound_s: float) -> WatchTimes:
    """Derive the times from the bound within which a change has to be in force."""
    bound_s = max(LEAST_BOUND_S, bound_s)
    return WatchTimes(bound_s / WAITS_IN_BOUND, bound_s / LIMIT_IN_BOUND)


def watchers_of(view: View, max_failures: int) -> tuple[Member, ...]:
    """Choose the members that watch: one more than may be lost, in different domains.

    Parameters
    ----------
    max_failures : int
        Members that may be lost at once.
    """
    by_name = {member.name: member for member in view.members}
    order = [by_name[name] for name in rendezvous_order("store watch", by_name)]
    return spread_over_domains(order, max_failures + 1)


class _Heard(NamedTuple):
    """What a watcher said last."""

    at: float
    revision: int
    store_reachable: bool


class Subscription:
    """What a process hears from the watchers, and whether that is enough.

    Parameters
    ----------
    me : str
        Address of this process.
    domain : str
        Its failure domain; values come from a watcher there if there is one.
    max_failures : int
        Members that may be lost at once.
    times : WatchTimes
        How long the word of a watcher counts.
    """

    def __init__(
        self, me: str, domain: str, max_failures: int, times: WatchTimes
    ) -> None:
        self.times = times
        self._me = me
        self._domain = domain
        self._max_failures = max_failures
        self._members: tuple[Member, ...] = ()
        self._members_since = NEVER
        self._chosen_from: tuple[Member, ...] = ()
        self._watchers: list[str] = []
        self._heard: dict[str, _Heard] = {}
        self._revision = 0
        self._behind_since: float | None = None
        self._source = ""
        self._renew_at = NEVER

    @property
    def is_watcher(self) -> bool:
        """Whether this process is one that watches for the others."""
        return self._me in self._watchers

    def set_view(self, view: View, now: float) -> None:
        """Take the list of members that watchers are chosen from.

        At a start 24 keepers join one after another.  With watchers chosen anew each
        time, every process went back to its own watch with each of them.  The word of
        those that no longer watch counts for as long as it would have.
        """
        if view.members != self._members:
            self._members = view.members
            self._members_since = now
        settled = now - self._members_since >= SETTLE_S
        if self._members == self._chosen_from or not (settled or not self._watchers):
            return
        self._chosen_from = self._members
        chosen = watchers_of(view, self._max_failures)
        self._watchers = [m.address for m in sort_local_first(chosen, self._domain)]
        self._renew_at = NEVER

    def due_subscriptions(self, now: float) -> list[tuple[str, Subscribe]]:
        """Return the subscriptions to send now.

        Values are wanted from one watcher only: a large configuration from each of
        three would fill a slow link.
        """
        source = self._wanted_source(now)
        if source == self._source and now < self._renew_at:
            return []
        self._source = source
        self._renew_at = now + RENEW_S
        others = [address for address in self._watchers if address != self._me]
        return [(address, Subscribe(address == source)) for address in others]

    def _wanted_source(self, now: float) -> str:
        fresh = [a for a in self._watchers if self._is_fresh(a, now)]
        return next(iter(fresh or self._watchers), "")

    def on_update(self, sender: str, store_update: StoreUpdate, now: float) -> None:
        """Note what a watcher says."""
        address = address_of(sender)
        if address not in self._watchers:
            return
        self._heard[address] = _Heard(
            now, store_update.revision, store_update.store_reachable
        )
        oldest = now - self.times.validity_s
        self._heard = {
            a: h for a, h in self._heard.items() if a in self._watchers or h.at > oldest
        }
        self._note_behind(now)

    def set_revision(self, revision: int, now: float) -> None:
        """Note the revision up to which this process knows all changes."""
        self._revision = revision
        self._note_behind(now)

    def _note_behind(self, now: float) -> None:
        newest = max((h.revision for h in self._heard.values()), default=0)
        if newest <= self._revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _is_fresh(self, address: str, now: float) -> bool:
        heard = self._heard.get(address)
        if heard is None or not heard.store_reachable:
            return False
        return now - heard.at <= self.times.validity_s

    def covered_until(self, now: float) -> float:
        """Return until when this process need not watch; in the past if it must now.

        Any watcher that is in touch is enough, since none can say that it has heard
        all without having done so.  One that lags is overruled by one that is ahead.
        """
        if self.is_watcher:
            return NEVER
        fresh = [h.at for a, h in self._heard.items() if self._is_fresh(a, now)]
        until = max(fresh, default=NEVER) + self.times.validity_s
        if self._behind_since is not None:
            until = min(until, self._behind_since + GRACE_S)
        return until

    def is_store_down(self, now: float) -> bool:
        """Whether watchers were heard a while ago, and all say that it is away."""
        recent = [
            h for h in self._heard.values() if now - h.at <= self.times.validity_s
        ]
        return bool(recent) and not any(h.store_reachable for h in recent)


def make_subscription(
    me: str, domain: str, max_failures: int, bound_s: float
) -> Subscription:
    """Make what a process needs to hear from the watchers.

    Parameters
    ----------
    bound_s : float
        Seconds within which a change of the store has to be in force.
    """
    return Subscription(me, domain, max_failures, make_watch_times(bound_s))


class Subscribers:
    """Who is told of the store's changes by this process."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._wants_values: dict[str, bool] = {}

    def add(self, sender: str, wish: Subscribe, now: float) -> bool:
        """Take or renew a subscription; True if it is new."""
        new = sender not in self._until
        self._until[sender] = now + LEASE_S
        self._wants_values[sender] = wish.with_values
        return new

    def has_active(self, now: float) -> bool:
        """Whether anybody relies on this process."""
        self._expire(now)
        return bool(self._until)

    def make_updates(
        self, store_update: StoreUpdate, now: float
    ) -> list[tuple[str, StoreUpdate]]:
        """Return the messages that carry some news to all subscribers."""
        self._expire(now)
        bare = (
            msgspec.structs.replace(store_update, changes=None)
            if store_update.changes
            else store_update
        )
        return [
            (member, store_update if self._wants_values[member] else bare)
            for member in self._until
        ]

    def _expire(self, now: float) -> None:
        for member in [m for m, until in self._until.items() if until < now]:
            del self._until[member]
            del self._wants_values[member]
