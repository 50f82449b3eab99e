"""When a process that was told to stop takes its last request."""

from __future__ import annotations

import pytest

from tests.relay.harness import route
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable
from wisteriastair.core.stopping import MARGIN_S, REROUTE_S, Shutdown


@pytest.mark.parametrize("max_timeout_s", [0.5, 2.0, 3.0, 4.5])
def test_whatever_is_taken_can_use_all_of_its_time(max_timeout_s: float) -> None:
    shutdown = Shutdown(100.0, 8.0)
    assert shutdown.stop_accepting_at(max_timeout_s) + max_timeout_s <= shutdown.ends_at
    assert shutdown.ends_at == 108.0 - MARGIN_S


@pytest.mark.parametrize("max_timeout_s", [5.0, 30.0])
def test_the_platform_gets_the_time_that_it_needs_to_notice(
    max_timeout_s: float,
) -> None:
    """Requests may take longer than the grace period leaves.

    Refused from the signal on, callers would be sent away by a process that the
    platform still counts as ready.
    """
    assert Shutdown(100.0, 8.0).stop_accepting_at(max_timeout_s) == 100.0 + REROUTE_S


def test_a_grace_period_that_is_hardly_one_ends_at_once() -> None:
    shutdown = Shutdown(100.0, 0.5)
    assert (
        shutdown.ends_at
        == shutdown.rerouted_at
        == shutdown.stop_accepting_at(3.0)
        == 100.0
    )


def test_a_route_without_a_limit_has_the_last_call_as_soon_as_it_is_noticed() -> None:
    """A caller may say that it waits for longer than one that says nothing."""
    endless = route("unsafe", RequestKind.UNSAFE, timeout_s=0.0)
    table = RouteTable(1, (endless,), {}, CallerLimits())
    shutdown = Shutdown(0.0, 60.0)
    assert shutdown.stop_accepting_at(table.max_timeout_s) == REROUTE_S
