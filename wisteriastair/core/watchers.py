"""Watching the platform's store on behalf of all processes.

The store counts every call and every waiting watch. If each process watched by itself,
one change would cost as many calls as there are processes. Therefore only a few
keepers watch. All processes choose the same
ones from the member list: one more than the number of failures to tolerate, in
different failure domains. The watchers send the changes to all subscribers.

A watcher can be down, frozen, partitioned, or partitioned from the store alone, and
then sends nothing or outdated data. Its updates are therefore valid for a short time
only. A process that no watcher has confirmed as up to date watches by itself until one
does. Each update states the revision after which its changes start. A process that has
missed a change, or learns of a newer revision, notices this and watches by itself too.

An update may wait at the watcher, in a queue or on a link. Its validity therefore
starts when the store was in that state, not when the update arrives. A subscriber
stamps its subscriptions with its own clock, and an update returns the last stamp, how
long ago the watcher received it, and the age of what it says. This gives a bound of the
age that depends on no other clock and includes every delay on the way.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

import msgspec

from .hashing import address_of, rendezvous_order
from .ledgerwire import StoreUpdate, Subscribe
from .membership import Member, View, sort_local_first, spread_over_domains

# A change must take effect everywhere within a bound that the operators set. A watch
# waits for at most a quarter of the bound, so that an idle store is confirmed four
# times within it. An update from a watcher is valid for half of the bound. The other
# half is left for the process's own call after that, and for delays of the connection
# (at most 0.8 s).
WAITS_PER_BOUND: Final = 4.0
VALIDITY_DIVISOR: Final = 2.0
# Minimum bound in seconds. A shorter one cannot be met while a slow store needs some
# hundred milliseconds per call, and would make watches end at once.
MIN_BOUND_S: Final = 1.0
# Seconds for which a process that learns of a newer revision waits for the change
# itself. Watchers collect changes for 0.2 s, so one may be that far behind another.
CHANGE_GRACE_S: Final = 0.3
# Watchers are chosen again after the member list has been unchanged for this long, in
# seconds. It is longer than the pauses between members that join one after another.
MEMBERS_STABLE_S: Final = 2.0
# Interval at which subscriptions are renewed and their lease, in seconds. The lease
# covers several renewals, so that one lost message has no effect.
RENEWAL_INTERVAL_S: Final = 1.0
SUBSCRIPTION_LEASE_S: Final = 4.0
# Keepers of its own domain to which a relay may report.
MAX_LOCAL_RECEIVERS: Final = 2
NEVER: Final = -math.inf
MS_PER_S: Final = 1000.0


class WatchTimes(NamedTuple):
    """Wait of a watch of the store, and validity of its result, in seconds."""

    wait_s: float
    validity_s: float


def make_watch_times(bound_s: float) -> WatchTimes:
    """Derive the times from the bound within which a change must take effect."""
    bound_s = max(MIN_BOUND_S, bound_s)
    return WatchTimes(bound_s / WAITS_PER_BOUND, bound_s / VALIDITY_DIVISOR)


def watchers_of(view: View, max_failures: int) -> tuple[Member, ...]:
    """Choose the watchers: one more than `max_failures`, in different failure domains.

    Parameters
    ----------
    max_failures : int
        Number of members that may fail at once.
    """
    by_name = {member.name: member for member in view.members}
    order = [by_name[name] for name in rendezvous_order("store watch", by_name)]
    return spread_over_domains(order, max_failures + 1)


def crash_keepers(view: View, max_failures: int) -> list[str]:
    """Return the addresses of the keepers that sum crashes under requests.

    There is one more than there are watchers, since relays adopt a view at different
    times.  The first one in the list records quarantined requests in the store.
    """
    return [m.address for m in watchers_of(view, max_failures + 1)]


def digest_keepers(view: View, max_failures: int) -> tuple[Member, ...]:
    """Choose the keepers that merge what relays report of servers.

    There is one in each failure domain, as bytes between domains are expensive, and at
    least as many as there are watchers.  The first ones are the watchers.
    """
    domains = {member.domain for member in view.members}
    return watchers_of(view, max(max_failures, len(domains) - 1))


def digest_receivers(view: View, domain: str, max_failures: int) -> list[str]:
    """Return the addresses to which a relay may report, the preferred one first.

    The second one is in the relay's own domain as well, if there are two keepers.

    Parameters
    ----------
    domain : str
        Failure domain of the relay.
    """
    by_name = {m.name: m for m in view.members if m.domain == domain}
    local = [by_name[name] for name in rendezvous_order("store watch", by_name)]
    local = local[:MAX_LOCAL_RECEIVERS]
    chosen = digest_keepers(view, max_failures)
    others = sort_local_first(chosen, domain)
    return [m.address for m in (*local, *(m for m in others if m not in local))]


class _LastUpdate(NamedTuple):
    """Last update from a watcher.

    Attributes
    ----------
    at : float
        Time at which the store was in this state, or later.
    """

    at: float
    revision: int
    store_reachable: bool


class Subscription:
    """Updates that a process gets from the watchers, and whether they suffice.

    Parameters
    ----------
    me : str
        Address of this process.
    domain : str
        Its failure domain. Values come from a watcher in it if there is one.
    max_failures : int
        Number of members that may fail at once.
    times : WatchTimes
        Validity of an update from a watcher.
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
        self._watchers_chosen_from: tuple[Member, ...] = ()
        self._watchers: list[str] = []
        self._last_updates: dict[str, _LastUpdate] = {}
        self._revision = 0
        self._behind_since: float | None = None
        self._source = ""
        self._renew_at = NEVER

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the store for the others."""
        return self._me in self._watchers

    def set_view(self, view: View, now: float) -> None:
        """Apply the member list from which the watchers are chosen.

        At startup 24 keepers join one after another. If the watchers were chosen again
        each time, every process would fall back to its own watch each time. Updates of
        former watchers remain valid for their usual time.
        """
        if view.members != self._members:
            self._members = view.members
            self._members_since = now
        is_stable = now - self._members_since >= MEMBERS_STABLE_S
        if self._members == self._watchers_chosen_from or not (
            is_stable or not self._watchers
        ):
            return
        self._watchers_chosen_from = self._members
        chosen = watchers_of(view, self._max_failures)
        self._watchers = [m.address for m in sort_local_first(chosen, self._domain)]
        self._renew_at = NEVER

    def due_subscriptions(
        self, now: float, stamp_ms: int = 0
    ) -> list[tuple[str, Subscribe]]:
        """Return the subscriptions to send now.

        Values are requested from one watcher only. A large configuration from each of
        three watchers would saturate a slow link.

        Parameters
        ----------
        stamp_ms : int
            Time that updates return, see `StoreUpdate`.
        """
        source = self._choose_source(now)
        if source == self._source and now < self._renew_at:
            return []
        self._source = source
        self._renew_at = now + RENEWAL_INTERVAL_S
        others = [address for address in self._watchers if address != self._me]
        return [(a, Subscribe(a == source, stamp_ms)) for a in others]

    def _choose_source(self, now: float) -> str:
        fresh = [a for a in self._watchers if self._is_fresh(a, now)]
        return next(iter(fresh or self._watchers), "")

    def on_update(
        self,
        sender: str,
        store_update: StoreUpdate,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Record an update from a watcher.

        Parameters
        ----------
        age_s : float
            Seconds since the store was in this state, at most.
        """
        address = address_of(sender)
        if address not in self._watchers:
            return
        at, revision = now - age_s, store_update.revision
        last = self._last_updates.get(address)
        if last is not None and last.store_reachable and store_update.store_reachable:
            # A stamp may have been delayed, and an update overtaken by the next one.
            at, revision = max(at, last.at), max(revision, last.revision)
        self._last_updates[address] = _LastUpdate(
            at, revision, store_update.store_reachable
        )
        oldest = now - self.times.validity_s
        self._last_updates = {
            a: u
            for a, u in self._last_updates.items()
            if a in self._watchers or u.at > oldest
        }
        self._track_lag(now)

    def set_revision(self, revision: int, now: float) -> None:
        """Set the revision up to which this process has applied all changes."""
        self._revision = revision
        self._track_lag(now)

    def _track_lag(self, now: float) -> None:
        newest = max((u.revision for u in self._last_updates.values()), default=0)
        if newest <= self._revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _is_fresh(self, address: str, now: float) -> bool:
        last = self._last_updates.get(address)
        if last is None or not last.store_reachable:
            return False
        return now - last.at <= self.times.validity_s

    def covered_until(self, now: float) -> float:
        """Return the time until which this process need not watch by itself.

        It lies in the past if the process must watch now. One watcher that is connected
        to the store is enough, since its update confirms a revision only after it has
        seen all changes up to it. A newer revision from another watcher overrides it.
        """
        if self.is_watcher:
            return NEVER
        fresh = [u.at for a, u in self._last_updates.items() if self._is_fresh(a, now)]
        until = max(fresh, default=NEVER) + self.times.validity_s
        if self._behind_since is not None:
            until = min(until, self._behind_since + CHANGE_GRACE_S)
        return until

    def is_store_down(self, now: float) -> bool:
        """Return whether there are recent updates and all report a store outage."""
        recent = [
            u
            for u in self._last_updates.values()
            if now - u.at <= self.times.validity_s
        ]
        return bool(recent) and not any(u.store_reachable for u in recent)


def make_subscription(
    me: str, domain: str, max_failures: int, bound_s: float
) -> Subscription:
    """Create the subscription of a process to the watchers.

    Parameters
    ----------
    bound_s : float
        Seconds within which a change of the store must take effect.
    """
    return Subscription(me, domain, max_failures, make_watch_times(bound_s))


class Subscribers:
    """Processes that this process notifies of changes of the store."""

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self._wants_values: dict[str, bool] = {}
        # Last stamp of each subscriber, and when it arrived.
        self._stamps: dict[str, tuple[int, float]] = {}

    def add(self, sender: str, request: Subscribe, now: float) -> bool:
        """Add or renew a subscription; return whether it is new.

        Parameters
        ----------
        now : float
            Seconds on a clock that also counts the time in suspend.
        """
        is_new = sender not in self._expires_at
        self._expires_at[sender] = now + SUBSCRIPTION_LEASE_S
        self._wants_values[sender] = request.with_values
        self._stamps[sender] = (request.stamp_ms, now)
        return is_new

    def has_active(self, now: float) -> bool:
        """Return whether there are subscribers."""
        self._expire(now)
        return bool(self._expires_at)

    def make_updates(
        self, store_update: StoreUpdate, now: float
    ) -> list[tuple[str, StoreUpdate]]:
        """Return an update addressed to each subscriber."""
        self._expire(now)
        without_values = (
            msgspec.structs.replace(store_update, changes=None)
            if store_update.changes
            else store_update
        )
        return [
            (
                member,
                self.stamp(
                    member,
                    store_update if self._wants_values[member] else without_values,
                    now,
                ),
            )
            for member in self._expires_at
        ]

    def stamp(self, member: str, store_update: StoreUpdate, now: float) -> StoreUpdate:
        """Return an update with the last stamp of a subscriber."""
        stamp_ms, received_at = self._stamps[member]
        if not stamp_ms:
            return store_update
        held_ms = int((now - received_at) * MS_PER_S)
        return msgspec.structs.replace(store_update, stamp_ms=stamp_ms, held_ms=held_ms)

    def _expire(self, now: float) -> None:
        for member in [m for m, until in self._expires_at.items() if until < now]:
            del self._expires_at[member]
            del self._wants_values[member]
            del self._stamps[member]
