"""Times at which a stopping process accepts its last request and ends."""

from __future__ import annotations

import pytest

from tests.relay.harness import route
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable
from wisteriastair.core.stopping import KILL_MARGIN_S, REROUTE_S, Shutdown


@pytest.mark.parametrize("max_timeout_s", [0.5, 2.0, 3.0, 4.5])
def test_accepted_requests_have_their_full_timeout(max_timeout_s: float) -> None:
    shutdown = Shutdown(100.0, 8.0)
    assert shutdown.stop_accepting_at(max_timeout_s) + max_timeout_s <= shutdown.ends_at
    assert shutdown.ends_at == 108.0 - KILL_MARGIN_S


@pytest.mark.parametrize("max_timeout_s", [5.0, 30.0])
def test_requests_are_accepted_until_the_platform_reroutes(
    max_timeout_s: float,
) -> None:
    """The timeouts of requests may exceed the grace period.

    If the process rejected requests from the signal on, callers would be rejected by a
    process that the platform still considers ready.
    """
    assert Shutdown(100.0, 8.0).stop_accepting_at(max_timeout_s) == 100.0 + REROUTE_S


def test_a_very_short_grace_period_ends_at_once() -> None:
    shutdown = Shutdown(100.0, 0.5)
    assert (
        shutdown.ends_at
        == shutdown.rerouted_at
        == shutdown.stop_accepting_at(3.0)
        == 100.0
    )


def test_with_an_unlimited_route_requests_are_accepted_until_rerouted() -> None:
    """A caller's own timeout may exceed the default of such a route."""
    unlimited = route("unsafe", RequestKind.UNSAFE, timeout_s=0.0)
    table = RouteTable(1, (unlimited,), {}, CallerLimits())
    shutdown = Shutdown(0.0, 60.0)
    assert shutdown.stop_accepting_at(table.max_timeout_s) == REROUTE_S
