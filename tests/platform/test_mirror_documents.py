"""Documents and updates from keepers before the store has responded."""

from __future__ import annotations

import anyio

from tests.platform.test_mirror import CONTACT_S, ChangeRecorder
from wisteriastair.core.ledgerwire import Change, StoreUpdate
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.core.watchers import make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import Store, StoreItem

CONFIG = "op/config"
SERVER = "servers/1"


def make_unlisted_mirror() -> tuple[Mirror, ChangeRecorder]:
    recorder = ChangeRecorder()
    store = Store("127.0.0.1:1", make_store_timeouts(CONTACT_S))
    subscription = make_subscription("10.0.0.1:1", "z1", 1, 2.0)
    mirror = Mirror(
        store, recorder.on_change, recorder.on_full_read, subscription=subscription
    )
    return mirror, recorder


def test_an_update_newer_than_the_documents_requests_newer_ones() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.apply_documents(
            "k", 4, [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"s")]
        )
        assert not mirror.apply_update("k#1", StoreUpdate(4, 4))
        assert mirror.apply_update("k#1", StoreUpdate(6, 6))
        mirror.apply_documents("k", 6, [StoreItem(CONFIG, 5, b"new")])
        assert recorder.values == {CONFIG: b"new"}
        assert not mirror.apply_update("k#1", StoreUpdate(6, 6))

    anyio.run(scenario)


def test_an_update_that_follows_the_documents_is_sufficient() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.apply_documents(
            "k", 4, [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"s")]
        )
        changes = [Change(CONFIG, 5, b"new"), Change(SERVER, 6, None)]
        assert not mirror.apply_update("k#1", StoreUpdate(4, 6, changes))
        assert recorder.values == {CONFIG: b"new"}

    anyio.run(scenario)


def test_older_documents_are_ignored() -> None:
    async def scenario() -> None:
        mirror, recorder = make_unlisted_mirror()
        mirror.apply_documents("k", 6, [StoreItem(CONFIG, 5, b"new")])
        stale = [StoreItem(CONFIG, 2, b"old"), StoreItem(SERVER, 3, b"gone")]
        mirror.apply_documents("other", 4, stale)
        mirror.apply_documents("just started", 0, stale)
        assert recorder.values == {CONFIG: b"new"}

    anyio.run(scenario)
