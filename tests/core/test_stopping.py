"""Times at which a stopping process accepts its last request and ends."""

from __future__ import annotations

import pytest

from tests.relay.stand import route
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable
from wisteriastair.core.stopping import KILL_MARGIN_S, NOTICE_S, Stop


@pytest.mark.parametrize("longest_s", [0.5, 2.0, 3.0, 4.5])
def test_accepted_requests_have_their_full_timeout(longest_s: float) -> None:
    stop = Stop(100.0, 8.0)
    assert stop.last_call_at(longest_s) + longest_s <= stop.ends_at
    assert stop.ends_at == 108.0 - KILL_MARGIN_S


@pytest.mark.parametrize("longest_s", [5.0, 30.0])
def test_requests_are_accepted_until_the_platform_reroutes(longest_s: float) -> None:
    """The timeouts of requests may exceed the grace period.

    If the process rejected requests from the signal on, callers would be rejected by a
    process that the platform still considers ready.
    """
    assert Stop(100.0, 8.0).last_call_at(longest_s) == 100.0 + NOTICE_S


def test_a_very_short_grace_period_ends_at_once() -> None:
    stop = Stop(100.0, 0.5)
    assert stop.ends_at == stop.noticed_at == stop.last_call_at(3.0) == 100.0


def test_with_an_unlimited_route_requests_are_accepted_until_rerouted() -> None:
    """A caller's own timeout may exceed the default of such a route."""
    unlimited = route("unsafe", RequestKind.UNSAFE, timeout_s=0.0)
    table = RouteTable(1, (unlimited,), {}, CallerLimits())
    stop = Stop(0.0, 60.0)
    assert stop.last_call_at(table.longest_s) == NOTICE_S
