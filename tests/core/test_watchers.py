"""Who watches the store for all, and when the word of watchers is enough."""

from __future__ import annotations

from wisteriastair.core.ledgerwire import StoreUpdate, Subscribe
from wisteriastair.core.membership import Member, View
from wisteriastair.core.watchers import (
    GRACE_S,
    LEASE_S,
    RENEW_S,
    SETTLE_S,
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


def subscription(view: View, me: str = "r1:1", domain: str = "domain0") -> Subscription:
    found = make_subscription(me, domain, 2, BOUND_S)
    found.set_view(view, 0.0)
    return found


def store_update(revision: int, *, store_reachable: bool = True) -> StoreUpdate:
    return StoreUpdate(revision, revision, store_reachable=store_reachable)


def test_one_more_than_may_be_lost_watch_in_different_domains() -> None:
    """All watchers lie in one failure domain, and it goes."""
    for count in (3, 8, 24, 60):
        chosen = watchers_of(view_of(count), max_failures=2)
        assert len(chosen) == 3
        assert len({member.domain for member in chosen}) == 3
    assert len(watchers_of(view_of(2), max_failures=2)) == 2


def test_a_member_that_goes_moves_only_its_own_watch() -> None:
    before = view_of(24)
    chosen = watchers_of(before, max_failures=2)
    left = View(2, tuple(m for m in before.members if m != chosen[0]))
    assert set(chosen[1:]) <= set(watchers_of(left, max_failures=2))


def test_values_come_from_one_watcher_and_from_another_when_it_is_silent() -> None:
    """A configuration of 100 kB from each watcher would fill a link of 15 Mbit/s."""
    view = view_of(24)
    chosen = [member.address for member in watchers_of(view, max_failures=2)]
    mine = subscription(view)
    mine.set_revision(5, 0.0)

    def source(now: float) -> str:
        wishes = dict(mine.due_subscriptions(now))
        assert sorted(wishes) == sorted(chosen)
        (found,) = [a for a, wish in wishes.items() if wish.with_values]
        return found

    first = source(0.0)
    other = next(a for a in chosen if a != first)
    mine.on_update(first, store_update(5), 0.1)
    mine.on_update(other, store_update(5), 0.1)
    assert source(RENEW_S) == first
    validity_s = make_watch_times(BOUND_S).validity_s
    mine.on_update(other, store_update(5), 0.1 + validity_s)
    assert source(0.2 + validity_s) == other


def test_one_watcher_in_touch_is_enough_and_counts_for_half_of_the_bound() -> None:
    view = view_of(24)
    chosen = [member.address for member in watchers_of(view, max_failures=2)]
    mine = subscription(view)
    mine.set_revision(5, 0.0)
    assert mine.covered_until(0.0) < 0.0
    mine.on_update(chosen[0] + "#1", store_update(5, store_reachable=False), 1.0)
    assert mine.covered_until(1.0) < 1.0 and mine.is_store_down(1.0)
    mine.on_update(chosen[1] + "#1", store_update(5), 1.0)
    assert mine.covered_until(1.0) == 1.0 + BOUND_S / 2
    assert not mine.is_store_down(1.0)


def test_who_is_told_of_something_newer_is_covered_for_a_moment_only() -> None:
    """A relay claims to be in touch and serves by an older configuration.

    One watcher lags and confirms what the relay holds; another one is ahead.
    """
    view = view_of(24)
    chosen = [member.address for member in watchers_of(view, max_failures=2)]
    mine = subscription(view)
    mine.set_revision(5, 0.0)
    mine.on_update(chosen[0], store_update(5), 0.0)
    mine.on_update(chosen[1], StoreUpdate(5, 6, None), 0.1)
    assert mine.covered_until(0.2) == 0.1 + GRACE_S
    mine.set_revision(6, 0.2)
    assert mine.covered_until(0.2) > 0.1 + GRACE_S


def test_a_watcher_relies_on_nobody_and_strangers_do_not_count() -> None:
    view = view_of(24)
    chosen = [member.address for member in watchers_of(view, max_failures=2)]
    watcher = subscription(view, me=chosen[0])
    watcher.set_revision(5, 0.0)
    watcher.on_update(chosen[1], store_update(5), 0.0)
    assert watcher.is_watcher and watcher.covered_until(0.0) < 0.0
    stranger = next(m.address for m in view.members if m.address not in chosen)
    mine = subscription(view)
    mine.set_revision(5, 0.0)
    mine.on_update(stranger, store_update(5), 0.0)
    assert mine.covered_until(0.0) < 0.0


def test_subscribers_get_what_they_want_until_they_are_gone() -> None:
    subscribers = Subscribers()
    subscribers.add("a:1#1", Subscribe(True), 0.0)
    subscribers.add("b:1#1", Subscribe(False), 1.0)
    told = StoreUpdate(1, 2, [])
    assert dict(subscribers.make_updates(told, 1.0)) == {"a:1#1": told, "b:1#1": told}
    assert [to for to, _ in subscribers.make_updates(told, LEASE_S + 0.5)] == ["b:1#1"]
    assert subscribers.make_updates(told, LEASE_S + 1.5) == []


def test_watchers_that_change_leave_nobody_without_word() -> None:
    """Keepers join one after another at a start, and other members watch each time.

    Every process went back to its own watch with each of them: two calls each.
    """
    first, last = view_of(8), view_of(24)
    mine = subscription(first)
    before = {member.address for member in watchers_of(first, max_failures=2)}
    after = {member.address for member in watchers_of(last, max_failures=2)}
    assert before != after
    mine.set_revision(5, 0.0)
    for count in range(9, 25):
        now = (count - 8) * 0.3
        mine.set_view(view_of(count), now)
        assert {to for to, _ in mine.due_subscriptions(now)} <= before
        for address in before:
            mine.on_update(address, store_update(5), now)
        assert mine.covered_until(now) > now
    mine.set_view(last, now + SETTLE_S)
    assert {to for to, _ in mine.due_subscriptions(now + SETTLE_S)} == after
