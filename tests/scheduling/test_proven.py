"""Tests of requests that a server has answered and outlived."""

from __future__ import annotations

from wisteriastair.scheduling.crashes import RequestIdentity
from wisteriastair.scheduling.proven import PROOF_S, PROVEN_S, ProvenRequests

PAGE = RequestIdentity("", "GET", "h", "/page", "", "", "", b"", b"headers1")


def test_answer_alone_proves_nothing() -> None:
    """A server may answer and end at once; others at its time are no evidence."""
    proven = ProvenRequests()
    proven.add(PAGE, "s1.0", 10.0)
    proven.record_life("s1.0", 10.0 + PROOF_S / 2)
    proven.record_life("s2.0", 10.0 + 2 * PROOF_S)
    assert not proven.is_proven(PAGE, 10.0 + 2 * PROOF_S)


def test_page_that_servers_outlive_is_proven_with_its_headers_only() -> None:
    """A header that ends servers must not hide behind the answers of others."""
    proven = ProvenRequests()
    proven.add(PAGE, "s1.0", 10.0)
    proven.record_life("s1.0", 10.0 + PROOF_S)
    assert proven.is_proven(PAGE, 10.0 + PROOF_S)
    assert not proven.is_proven(PAGE._replace(variant=b"other"), 10.0 + PROOF_S)
    assert not proven.is_proven(PAGE, 10.0 + PROOF_S + PROVEN_S + 0.1)


def test_page_that_is_asked_for_all_the_time_stays_proven() -> None:
    proven = ProvenRequests()
    now = 10.0
    for _ in range(200):
        now += 0.1
        proven.record_life("s1.0", now)
        proven.add(PAGE, "s1.0", now)
        if now > 10.0 + 2 * PROOF_S:
            assert proven.is_proven(PAGE, now)


def test_failure_ends_the_proof() -> None:
    proven = ProvenRequests()
    proven.add(PAGE, "s1.0", 10.0)
    proven.record_life("s1.0", 10.0 + PROOF_S)
    proven.forget(PAGE)
    assert not proven.is_proven(PAGE, 10.0 + PROOF_S)


def test_requests_of_programs_are_never_proven() -> None:
    proven = ProvenRequests()
    call = PAGE._replace(program="p1")
    proven.add(call, "s1.0", 10.0)
    proven.record_life("s1.0", 20.0)
    assert not proven.is_proven(call, 20.0)
