"""Tests of the sums of crashes on the disk of a keeper."""

from __future__ import annotations

from pathlib import Path

import pytest

from wisteriastair.core.crashwire import ExposedServer, RequestCrashes
from wisteriastair.keeper.checkedfile import add_checksum
from wisteriastair.keeper.crashes import CrashKeeper
from wisteriastair.keeper.crashfile import FILE_NAME, CrashFile
from wisteriastair.scheduling.crashes import CrashTable

KEY = bytes(range(16))
ENTRIES = [RequestCrashes(KEY, [1], 9_000, "POST h/x", [ExposedServer(2, 5_000)])]


def test_saved_sums_are_restored(tmp_path: Path) -> None:
    file = CrashFile(str(tmp_path / "store"))
    file.save(ENTRIES)
    keeper = CrashKeeper(CrashTable())
    keeper.restore(file.load(), 100.0)
    assert keeper.table.servers(KEY) == {1}
    assert keeper.table.exposures.servers(KEY).keys() == {2}
    assert keeper.entries(100.0) == ENTRIES


@pytest.mark.parametrize("data", [b"", b"abc", add_checksum(b"x"), add_checksum(b"")])
def test_file_that_cannot_be_read_is_ignored(tmp_path: Path, data: bytes) -> None:
    """A keeper that could not start would be lost as a replica, too."""
    (tmp_path / FILE_NAME).write_bytes(data)
    assert CrashFile(str(tmp_path)).load() == []
