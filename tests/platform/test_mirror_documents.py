"""What a process takes from keepers before the store has answered it."""

from __future__ import annotations

import anyio

from tests.platform.test_mirror import CONTACT_S, Copy
from wisteriastair.core.ledgerwire import Change, StoreUpdate
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.core.watchers import make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import Store, StoreItem

CONFIG = "op/config"
SERVER = "servers/1"


def unlisted() -> tuple[Mirror, Copy]:
    copy = Copy()
    store = Store("127.0.0.1:1", make_store_timeouts(CONTACT_S))
    subscription = make_subscription("10.0.0.1:1", "z1", 1, 2.0)
    mirror = Mirror(store, copy.change, copy.listed, subscription=subscription)
    return mirror, copy


def test_news_beyond_the_documents_call_for_newer_ones() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.apply_documents(
            "k", 4, [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"s")]
        )
        assert not mirror.apply_update("k#1", StoreUpdate(4, 4))
        assert mirror.apply_update("k#1", StoreUpdate(6, 6))
        mirror.apply_documents("k", 6, [StoreItem(CONFIG, 5, b"new")])
        assert copy.values == {CONFIG: b"new"}
        assert not mirror.apply_update("k#1", StoreUpdate(6, 6))

    anyio.run(story)


def test_news_that_follow_the_documents_are_enough() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.apply_documents(
            "k", 4, [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"s")]
        )
        changes = [Change(CONFIG, 5, b"new"), Change(SERVER, 6, None)]
        assert not mirror.apply_update("k#1", StoreUpdate(4, 6, changes))
        assert copy.values == {CONFIG: b"new"}

    anyio.run(story)


def test_documents_older_than_what_is_known_change_nothing() -> None:
    async def story() -> None:
        mirror, copy = unlisted()
        mirror.apply_documents("k", 6, [StoreItem(CONFIG, 5, b"new")])
        stale = [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"gone")]
        mirror.apply_documents("other", 4, stale)
        mirror.apply_documents("just started", 0, stale)
        assert copy.values == {CONFIG: b"new"}

    anyio.run(story)
