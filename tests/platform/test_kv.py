"""Timeouts of the key-value service's client."""

from __future__ import annotations

from wisteriastair.daemons.platform_link import WATCH_RETRY_S
from wisteriastair.platform.kv import CALL_TIMEOUT_S, CHANGE_DEADLINE_S, WATCH_TIMEOUT_S


def test_a_watch_without_a_response_delays_changes_within_the_deadline() -> None:
    """Guards against a watch, sent during an outage, that waits too long after it."""
    spread_s = 1.0
    assert (
        WATCH_TIMEOUT_S + CALL_TIMEOUT_S + WATCH_RETRY_S + spread_s <= CHANGE_DEADLINE_S
    )
