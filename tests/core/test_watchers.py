"""Choice of watchers, and when their updates suffice."""

from __future__ import annotations

from wisteriastair.core.ledgerwire import StoreUpdate, Subscribe
from wisteriastair.core.membership import Member, View
from wisteriastair.core.watchers import (
    CHANGE_GRACE_S,
    MEMBERS_STABLE_S,
    RENEWAL_INTERVAL_S,
    SUBSCRIPTION_LEASE_S,
    Subscribers,
    Subscription,
    make_subscription,
    make_watch_times,
    watchers_of,
)

BOUND_S = 2.0


def view_of(count: int, domains: int = 5) -> View:
    members = tuple(
        Member(f"k{n}", f"disk{n}", f"k{n}:1", f"domain{n % domains}")
        for n in range(count)
    )
    return View(1, members)


def make_test_subscription(
    view: View, me: str = "r1:1", domain: str = "domain0"
) -> Subscription:
    subscription = make_subscription(me, domain, 2, BOUND_S)
    subscription.set_view(view, 0.0)
    return subscription


def update_of(revision: int, *, store_reachable: bool = True) -> StoreUpdate:
    return StoreUpdate(revision, revision, store_reachable=store_reachable)


def test_watchers_exceed_tolerated_failures_and_are_in_different_domains() -> None:
    """All watchers must not be in one failure domain, which can fail as a whole."""
    for count in (3, 8, 24, 60):
        selected = watchers_of(view_of(count), max_failures=2)
        assert len(selected) == 3
        assert len({member.domain for member in selected}) == 3
    assert len(watchers_of(view_of(2), max_failures=2)) == 2


def test_a_removed_member_moves_only_its_own_watch() -> None:
    before = view_of(24)
    selected = watchers_of(before, max_failures=2)
    remaining = View(2, tuple(m for m in before.members if m != selected[0]))
    assert set(selected[1:]) <= set(watchers_of(remaining, max_failures=2))


def test_values_come_from_one_watcher_and_fail_over_to_another() -> None:
    """Configurations of 100 kB from each watcher would saturate a link of 15 Mbit/s."""
    view = view_of(24)
    selected = [member.address for member in watchers_of(view, max_failures=2)]
    own_subscription = make_test_subscription(view)
    own_subscription.set_revision(5, 0.0)

    def source(now: float) -> str:
        requests = dict(own_subscription.due_subscriptions(now))
        assert sorted(requests) == sorted(selected)
        (values_source,) = [a for a, request in requests.items() if request.with_values]
        return values_source

    first = source(0.0)
    other = next(a for a in selected if a != first)
    own_subscription.on_update(first, update_of(5), 0.1)
    own_subscription.on_update(other, update_of(5), 0.1)
    assert source(RENEWAL_INTERVAL_S) == first
    validity_s = make_watch_times(BOUND_S).validity_s
    own_subscription.on_update(other, update_of(5), 0.1 + validity_s)
    assert source(0.2 + validity_s) == other


def test_one_connected_watcher_suffices_for_half_of_the_bound() -> None:
    view = view_of(24)
    selected = [member.address for member in watchers_of(view, max_failures=2)]
    own_subscription = make_test_subscription(view)
    own_subscription.set_revision(5, 0.0)
    assert own_subscription.covered_until(0.0) < 0.0
    own_subscription.on_update(
        selected[0] + "#1", update_of(5, store_reachable=False), 1.0
    )
    assert own_subscription.covered_until(1.0) < 1.0 and own_subscription.is_store_down(
        1.0
    )
    own_subscription.on_update(selected[1] + "#1", update_of(5), 1.0)
    assert own_subscription.covered_until(1.0) == 1.0 + BOUND_S / 2
    assert not own_subscription.is_store_down(1.0)


def test_a_newer_revision_ends_the_coverage_after_the_grace_time() -> None:
    """A relay must not consider itself up to date with an old configuration.

    One watcher lags and confirms the relay's revision; another one is ahead.
    """
    view = view_of(24)
    selected = [member.address for member in watchers_of(view, max_failures=2)]
    own_subscription = make_test_subscription(view)
    own_subscription.set_revision(5, 0.0)
    own_subscription.on_update(selected[0], update_of(5), 0.0)
    own_subscription.on_update(selected[1], StoreUpdate(5, 6, None), 0.1)
    assert own_subscription.covered_until(0.2) == 0.1 + CHANGE_GRACE_S
    own_subscription.set_revision(6, 0.2)
    assert own_subscription.covered_until(0.2) > 0.1 + CHANGE_GRACE_S


def test_a_watcher_relies_on_no_updates_and_other_members_are_ignored() -> None:
    view = view_of(24)
    selected = [member.address for member in watchers_of(view, max_failures=2)]
    watcher = make_test_subscription(view, me=selected[0])
    watcher.set_revision(5, 0.0)
    watcher.on_update(selected[1], update_of(5), 0.0)
    assert watcher.is_watcher and watcher.covered_until(0.0) < 0.0
    other_member = next(m.address for m in view.members if m.address not in selected)
    own_subscription = make_test_subscription(view)
    own_subscription.set_revision(5, 0.0)
    own_subscription.on_update(other_member, update_of(5), 0.0)
    assert own_subscription.covered_until(0.0) < 0.0


def test_subscribers_get_what_they_requested_until_their_lease_expires() -> None:
    subscribers = Subscribers()
    subscribers.add("a:1#1", Subscribe(True), 0.0)
    subscribers.add("b:1#1", Subscribe(False), 1.0)
    store_update = StoreUpdate(1, 2, [])
    assert dict(subscribers.make_updates(store_update, 1.0)) == {
        "a:1#1": store_update,
        "b:1#1": store_update,
    }
    assert [
        to
        for to, _ in subscribers.make_updates(store_update, SUBSCRIPTION_LEASE_S + 0.5)
    ] == ["b:1#1"]
    assert subscribers.make_updates(store_update, SUBSCRIPTION_LEASE_S + 1.5) == []


def test_coverage_continues_while_watchers_change() -> None:
    """Keepers join one after another at startup, and the watchers change each time.

    Processes must not fall back to watches of their own, which costs two calls each.
    """
    first, last = view_of(8), view_of(24)
    own_subscription = make_test_subscription(first)
    before = {member.address for member in watchers_of(first, max_failures=2)}
    after = {member.address for member in watchers_of(last, max_failures=2)}
    assert before != after
    own_subscription.set_revision(5, 0.0)
    for count in range(9, 25):
        now = (count - 8) * 0.3
        own_subscription.set_view(view_of(count), now)
        assert {to for to, _ in own_subscription.due_subscriptions(now)} <= before
        for address in before:
            own_subscription.on_update(address, update_of(5), now)
        assert own_subscription.covered_until(now) > now
    own_subscription.set_view(last, now + MEMBERS_STABLE_S)
    assert {
        to for to, _ in own_subscription.due_subscriptions(now + MEMBERS_STABLE_S)
    } == after
