"""Documents and updates from keepers before the store has responded."""

from __future__ import annotations

import anyio

from tests.platform.test_mirror import CONTACT_S, ChangeRecorder
from wisteriastair.core.ledgerwire import Change, StoreNews
from wisteriastair.core.storetimes import make_store_times
from wisteriastair.core.watchers import make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import Item, Store

CONFIG = "op/config"
SERVER = "servers/1"


def make_unlisted_mirror() -> tuple[Mirror, ChangeRecorder]:
    recorder = ChangeRecorder()
    store = Store("127.0.0.1:1", make_store_times(CONTACT_S))
    subscription = make_subscription("10.0.0.1:1", "z1", 1, 2.0)
    mirror = Mirror(
        store, recorder.on_change, recorder.on_full_read, subscription=subscription
    )
    return mirror, recorder


def test_an_update_newer_than_the_documents_requests_newer_ones() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.take_documents("k", 4, [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"s")])
        assert not mirror.take_news("k#1", StoreNews(4, 4))
        assert mirror.take_news("k#1", StoreNews(6, 6))
        mirror.take_documents("k", 6, [Item(CONFIG, 5, b"new")])
        assert recorder.values == {CONFIG: b"new"}
        assert not mirror.take_news("k#1", StoreNews(6, 6))

    anyio.run(scenario)


def test_an_update_that_follows_the_documents_is_sufficient() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.take_documents("k", 4, [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"s")])
        changes = [Change(CONFIG, 5, b"new"), Change(SERVER, 6, None)]
        assert not mirror.take_news("k#1", StoreNews(4, 6, changes))
        assert recorder.values == {CONFIG: b"new"}

    anyio.run(scenario)


def test_older_documents_are_ignored() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.take_documents("k", 6, [Item(CONFIG, 5, b"new")])
        stale = [Item(CONFIG, 2, b"old"), Item(SERVER, 3, b"gone")]
        mirror.take_documents("other", 4, stale)
        mirror.take_documents("just started", 0, stale)
        assert recorder.values == {CONFIG: b"new"}

    anyio.run(scenario)
