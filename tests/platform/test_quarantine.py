"""Records of quarantined requests: what is written, and what may be read."""

from __future__ import annotations

import time

import msgspec
import pytest

from wisteriastair.platform.quarantine import (
    QuarantineRecord,
    apply_record,
    make_record,
    quarantine_key,
)
from wisteriastair.scheduling.crashes import CrashLimits, CrashTable

KEY = bytes(range(16))


def test_record_quarantines_until_its_end() -> None:
    written = CrashTable()
    written.add(KEY, [1, 2, 3], 100.0, "POST h/x")
    record = make_record(written, KEY, 40.0)
    read = CrashTable()
    apply_record(read, quarantine_key(KEY), record, 5000.0)
    assert read.is_quarantined(KEY)
    assert read.description(KEY) == "POST h/x"
    read.expire(5000.0 + 59.0)
    assert read.is_quarantined(KEY)
    read.expire(5000.0 + 61.0)
    assert len(read) == 0


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (quarantine_key(KEY), b"not JSON"),
        (quarantine_key(KEY), b'{"request":"r","servers":["x"],"until":1}'),
        (quarantine_key(KEY), b'{"request":"r","servers":[],"until":9e99}'),
        (quarantine_key(KEY)[:-2], b'{"request":"r","servers":[1,2,3],"until":9e99}'),
        ("status/quarantine/odd", None),
    ],
)
def test_damaged_record_quarantines_nothing(key: str, value: bytes | None) -> None:
    table = CrashTable()
    apply_record(table, key, value, 0.0)
    assert len(table) == 0


def test_record_with_a_distant_end_is_limited() -> None:
    """A clock that is wrong by years must not quarantine a request for years."""
    table = CrashTable()
    record = QuarantineRecord("r", [1, 2, 3], time.time() + 1e9)
    apply_record(table, quarantine_key(KEY), msgspec.json.encode(record), 0.0)
    table.expire(CrashLimits().quarantine_s + 1.0)
    assert len(table) == 0
