"""Timeouts of store calls, derived from the time to read the store again."""

from __future__ import annotations

import pytest

from wisteriastair.core.storetimes import READ_MARGIN_S, make_store_timeouts


@pytest.mark.parametrize("contact_s", [2.5, 3.0, 4.0, 6.0])
def test_an_unanswered_call_and_its_backoff_leave_time_to_read_again(
    contact_s: float,
) -> None:
    times = make_store_timeouts(contact_s)
    limit_s = contact_s - READ_MARGIN_S + 1e-9
    assert times.call_timeout_s + times.max_backoff_s <= limit_s
    assert times.watch_wait_s + times.watch_grace_s + times.backoff_s <= limit_s
    assert (
        times.retry_watch_wait_s + times.watch_grace_s + times.max_backoff_s <= limit_s
    )


def test_a_very_short_bound_still_leaves_time_for_a_response() -> None:
    times = make_store_timeouts(0.1)
    assert times.call_timeout_s == 1.0
    assert times.watch_wait_s == 0.2
    assert times.max_backoff_s >= 0.0
