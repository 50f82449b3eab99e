"""Reachability of replicas: only a partitioned process reports them unreachable."""

from __future__ import annotations

from wisteriastair.scheduling.reach import Reachability


def test_a_failure_after_a_recent_success_is_ignored() -> None:
    replicas = Reachability()
    replicas.record_success(10.0)
    assert not replicas.record_failure(10.2)
    assert not replicas.unreachable


def test_a_partition_is_detected_once_and_ends_with_the_first_success() -> None:
    """All replicas are partitioned off while requests arrive at a steady rate.

    The first request that times out changes the state. Later requests are rejected at
    once and do not wait for their timeouts.
    """
    replicas = Reachability()
    replicas.record_success(10.0)
    assert replicas.record_failure(10.6)
    assert replicas.unreachable
    assert not replicas.record_failure(10.7)
    assert replicas.is_probe_due(10.8)
    assert replicas.record_success(12.0)
    assert not replicas.unreachable
    assert not replicas.is_probe_due(12.1)
