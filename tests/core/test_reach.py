"""Whether replicas can be reached: a cut process must say so in time, and only then."""

from __future__ import annotations

from wisteriastair.core.reach import Reachability


def test_a_failure_beside_successes_says_nothing() -> None:
    reachability = Reachability()
    reachability.record_success(10.0)
    assert not reachability.record_failure(10.2)
    assert not reachability.unreachable


def test_a_cut_is_noticed_once_and_ends_with_the_first_success() -> None:
    """All replicas are cut off while requests come at a steady rate.

    The first that runs out of time turns the judgement; those after it are refused at
    once instead of waiting for their limit each.
    """
    reachability = Reachability()
    reachability.record_success(10.0)
    assert reachability.record_failure(10.6)
    assert reachability.unreachable
    assert not reachability.record_failure(10.7)
    assert reachability.is_probe_due(10.8)
    assert reachability.record_success(12.0)
    assert not reachability.unreachable
    assert not reachability.is_probe_due(12.1)
