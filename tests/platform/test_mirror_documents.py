"""What a process takes from keepers before the store has answered it."""

from __future__ import annotations

import anyio

from tests.platform.test_mirror import CONTACT_S, Copy
from wisteriastair.core.ledgerwire import Change, StoreNews
from wisteriastair.core.storetimes import make_store_times
from wisteriastair.core.watchers import make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import Item, Store

CONFIG = "op/config"
SERVER = "servers/1"


def unlisted() -> tuple[Mirror, Copy]:
    copy = Copy()
    store = Store("127.0.0.1:1", make_store_times(CONTACT_S))
    subscription = make_subscription("10.0.0.1:1", "z1", 1, 2.0)
    mirror = Mirror(store, copy.change, copy.listed, subscription=subscription)
    return mirror, copy


def test_news_beyond_the_documents_call_for_newer_ones() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.take_documents("k", 4, [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"s")])
        assert not mirror.take_news("k#1", StoreNews(4, 4))
        assert mirror.take_news("k#1", StoreNews(6, 6))
        mirror.take_documents("k", 6, [Item(CONFIG, 5, b"new")])
        assert copy.values == {CONFIG: b"new"}
        assert not mirror.take_news("k#1", StoreNews(6, 6))

    anyio.run(story)


def test_news_that_follow_the_documents_are_enough() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.take_documents("k", 4, [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"s")])
        changes = [Change(CONFIG, 5, b"new"), Change(SERVER, 6, None)]
        assert not mirror.take_news("k#1", StoreNews(4, 6, changes))
        assert copy.values == {CONFIG: b"new"}

    anyio.run(story)


def test_documents_older_than_what_is_known_change_nothing() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.take_documents("k", 6, [Item(CONFIG, 5, b"new")])
        stale = [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"gone")]
        mirror.take_documents("other", 4, stale)
        mirror.take_documents("just started", 0, stale)
        assert copy.values == {CONFIG: b"new"}

    anyio.run(story)
