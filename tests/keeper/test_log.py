"""Tests of the log on disk: torn ends, damage, rewriting, and disk ids."""

from __future__ import annotations

import os
from pathlib import Path

from wisteriastair.core.ledger import Attempt, Entry, Turn
from wisteriastair.core.membership import Member, View
from wisteriastair.keeper.log import Log


def entry(program: str, attempt: str = "a1") -> Entry:
    turns = [Turn("t1", "", b"hello\n")]
    return Entry(program, 60.0, {attempt: Attempt(10, False)}, turns)


def write_log(folder: Path, *entries: Entry) -> Log:
    log = Log(str(folder))
    log.load(0.0)
    log.append(list(entries), None, 0.0)
    log.close()
    return log


def newest_segment(folder: Path) -> Path:
    """Return the newest segment that is not empty."""
    segments = [p for p in folder.iterdir() if p.name.startswith("ledger-")]
    return max(p for p in segments if p.stat().st_size > 0)


def test_records_and_view_are_reloaded(tmp_path: Path) -> None:
    log = Log(str(tmp_path))
    log.load(0.0)
    view = View(3, (Member("k1", log.disk_id, "10.0.0.1:1", "d1"),))
    log.append([entry("p1"), entry("p2")], view, 0.0)
    log.close()

    again = Log(str(tmp_path))
    loaded = again.load(0.0)

    assert [e.program for e in loaded.entries] == ["p1", "p2"]
    assert loaded.entries[0] == entry("p1")
    assert loaded.view == view
    assert again.disk_id == log.disk_id
    assert not loaded.damaged


def test_torn_end_is_truncated_permanently(tmp_path: Path) -> None:
    """Power is lost while a record is written, and the process restarts twice.

    The torn record was not acknowledged.  The first restart truncates the file; the
    second must neither lose the record before it nor report the torn end as damage.
    """
    disk = write_log(tmp_path, entry("p1"), entry("p2")).disk_id
    path = newest_segment(tmp_path)
    os.truncate(path, path.stat().st_size - 3)

    first = Log(str(tmp_path))
    loaded = first.load(0.0)
    first.close()
    assert [e.program for e in loaded.entries] == ["p1"]
    assert loaded.cut_bytes > 0 and not loaded.damaged

    second = Log(str(tmp_path))
    again = second.load(0.0)
    second.close()
    assert [e.program for e in again.entries] == ["p1"]
    assert not again.damaged
    assert second.disk_id == disk


def test_damage_to_synced_records_changes_the_disk_id(tmp_path: Path) -> None:
    """A bit flips in a segment that was closed long ago.

    The damaged record was acknowledged, so this instance must not count as its replica.
    With a new disk id it is treated as empty and copies from the other members.
    """
    disk = write_log(tmp_path, entry("p1")).disk_id
    damaged = newest_segment(tmp_path)
    write_log(tmp_path, entry("p2"))
    data = bytearray(damaged.read_bytes())
    data[-1] ^= 1
    damaged.write_bytes(bytes(data))

    log = Log(str(tmp_path))
    loaded = log.load(0.0)

    assert loaded.damaged
    assert log.disk_id != disk
    assert [e.program for e in loaded.entries] == ["p2"]


def test_empty_disk_gets_a_new_id(tmp_path: Path) -> None:
    first = write_log(tmp_path / "a").disk_id
    second = write_log(tmp_path / "b").disk_id
    assert first and second and first != second


def test_oldest_segment_is_removed_to_reclaim_space(tmp_path: Path) -> None:
    log = Log(str(tmp_path))
    log.load(0.0)
    log.append([entry("p1")], None, 0.0)
    log.close()
    log = Log(str(tmp_path))
    log.load(0.0)
    oldest_segment = log.oldest_segment()
    assert oldest_segment is not None and oldest_segment.programs == {"p1"}
    log.append([entry("p1")], None, 0.0)
    log.remove_oldest()
    log.close()

    loaded = Log(str(tmp_path)).load(0.0)
    assert [e.program for e in loaded.entries] == ["p1"]
