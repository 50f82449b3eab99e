"""Tests of the documents cached for relays that start while the store is down."""

from __future__ import annotations

from pathlib import Path

from wisteriastair.core.ledgerwire import Document
from wisteriastair.keeper.documents import Documents


def test_newest_revision_is_cached_and_reloaded(tmp_path: Path) -> None:
    """A watch reports an older change late; a restart reads the file.

    If the older document won, relays that start during an outage would use a
    configuration that the operators have replaced.
    """
    documents = Documents(str(tmp_path))
    documents.put(Document("op/config", 7, b"new"))
    documents.put(Document("op/config", 5, b"old"))
    documents.put(Document("servers/a", 6, b"a"))
    documents.put(Document("servers/b", 6, b"b"))
    documents.retain_only({"op/config", "servers/a"})
    documents.save(documents.encode())
    assert not documents.changed

    reloaded = Documents(str(tmp_path))
    reloaded.load()
    assert sorted(reloaded.all(), key=lambda d: d.key) == [
        Document("op/config", 7, b"new"),
        Document("servers/a", 6, b"a"),
    ]


def test_damaged_file_is_ignored(tmp_path: Path) -> None:
    documents = Documents(str(tmp_path))
    documents.put(Document("op/config", 7, b"new"))
    data = bytearray(documents.encode())
    data[-1] ^= 1
    documents.save(bytes(data))

    reloaded = Documents(str(tmp_path))
    reloaded.load()
    assert reloaded.all() == []
