"""Whether replicas can be reached: a cut process must say so in time, and only then."""

from __future__ import annotations

from wisteriastair.core.reach import Reach


def test_a_failure_beside_successes_says_nothing() -> None:
    reach = Reach()
    reach.succeeded(10.0)
    assert not reach.failed(10.2)
    assert not reach.away


def test_a_cut_is_noticed_once_and_ends_with_the_first_success() -> None:
    """All replicas are cut off while requests come at a steady rate.

    The first that runs out of time turns the judgement; those after it are refused at
    once instead of waiting for their limit each.
    """
    reach = Reach()
    reach.succeeded(10.0)
    assert reach.failed(10.6)
    assert reach.away
    assert not reach.failed(10.7)
    assert reach.wants_probe(10.8)
    assert reach.succeeded(12.0)
    assert not reach.away
    assert not reach.wants_probe(12.1)
