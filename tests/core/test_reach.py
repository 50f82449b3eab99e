"""Reachability of replicas: only a partitioned process reports them unreachable."""

from __future__ import annotations

from wisteriastair.core.reach import Reach


def test_a_failure_after_a_recent_success_is_ignored() -> None:
    replicas = Reach()
    replicas.succeeded(10.0)
    assert not replicas.failed(10.2)
    assert not replicas.away


def test_a_partition_is_detected_once_and_ends_with_the_first_success() -> None:
    """All replicas are partitioned off while requests arrive at a steady rate.

    The first request that times out changes the state. Later requests are rejected at
    once and do not wait for their timeouts.
    """
    replicas = Reach()
    replicas.succeeded(10.0)
    assert replicas.failed(10.6)
    assert replicas.away
    assert not replicas.failed(10.7)
    assert replicas.wants_probe(10.8)
    assert replicas.succeeded(12.0)
    assert not replicas.away
    assert not replicas.wants_probe(12.1)
