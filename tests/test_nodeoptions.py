"""Limits that operators set with flags."""

from __future__ import annotations

import math

import pytest

from wisteriastair.nodeoptions import check_crash_limits
from wisteriastair.scheduling.crashes import CrashLimits


@pytest.mark.parametrize(
    ("limits", "flag"),
    [
        (CrashLimits(0), "--max-crashes"),
        (CrashLimits(101), "--max-crashes"),
        (CrashLimits(3, 0.0), "--quarantine-s"),
        (CrashLimits(3, math.nan), "--quarantine-s"),
        (CrashLimits(3, math.inf), "--quarantine-s"),
    ],
)
def test_limit_out_of_range_is_named(limits: CrashLimits, flag: str) -> None:
    bad = check_crash_limits(limits)
    assert bad is not None
    assert str(bad).startswith(flag)


def test_defaults_are_in_range() -> None:
    assert check_crash_limits(CrashLimits()) is None
