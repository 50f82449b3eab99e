"""When a process that was told to stop takes its last request."""

from __future__ import annotations

import pytest

from tests.relay.stand import route
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable
from wisteriastair.core.stopping import KILL_MARGIN_S, NOTICE_S, Stop


@pytest.mark.parametrize("longest_s", [0.5, 2.0, 3.0, 4.5])
def test_whatever_is_taken_can_use_all_of_its_time(longest_s: float) -> None:
    stop = Stop(100.0, 8.0)
    assert stop.last_call_at(longest_s) + longest_s <= stop.ends_at
    assert stop.ends_at == 108.0 - KILL_MARGIN_S


@pytest.mark.parametrize("longest_s", [5.0, 30.0])
def test_the_platform_gets_the_time_that_it_needs_to_notice(longest_s: float) -> None:
    """Requests may take longer than the grace period leaves.

    Refused from the signal on, callers would be sent away by a process that the
    platform still counts as ready.
    """
    assert Stop(100.0, 8.0).last_call_at(longest_s) == 100.0 + NOTICE_S


def test_a_grace_period_that_is_hardly_one_ends_at_once() -> None:
    stop = Stop(100.0, 0.5)
    assert stop.ends_at == stop.noticed_at == stop.last_call_at(3.0) == 100.0


def test_a_route_without_a_limit_has_the_last_call_as_soon_as_it_is_noticed() -> None:
    """A caller may say that it waits for longer than one that says nothing."""
    endless = route("unsafe", RequestKind.UNSAFE, timeout_s=0.0)
    table = RouteTable(1, (endless,), {}, CallerLimits())
    stop = Stop(0.0, 60.0)
    assert stop.last_call_at(table.longest_s) == NOTICE_S
