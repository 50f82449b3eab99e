"""Eligibility of servers by their store entries and their responses."""

from __future__ import annotations

from wisteriastair.scheduling.fleet import (
    EJECTION_FAILURES,
    MIN_SERVERS_FAST_EJECTION,
    OTHER_REQUEST_WEIGHT,
    OWN_REQUEST_WEIGHT,
    Fleet,
    Load,
    Server,
)
from wisteriastair.scheduling.reuse import PromptSegment


def server(server_id: str, *, draining: bool = False) -> Server:
    return Server(server_id, "svc", "10.0.0.1:1", "d", 8, draining, 0.0)


def fleet(*ids: str) -> Fleet:
    new_fleet = Fleet(drain_s=2.0)
    for server_id in ids:
        new_fleet.put(server(server_id))
    return new_fleet


def eligible_servers(under_test: Fleet, now: float) -> set[str]:
    return {state.server.id for state in under_test.eligible_servers("svc", now)}


def test_a_leaving_server_gets_no_new_requests() -> None:
    under_test = fleet("a", "b", "c")
    under_test.put(server("a", draining=True))
    under_test.remove("b", 10.0)
    assert eligible_servers(under_test, 10.1) == {"c"}


def test_a_restarted_server_loses_its_state() -> None:
    """A loaded server crashes and comes back under the same id.

    It is idle and has an empty cache. With its old state, requests would avoid it for
    its load and failures, or go to it for a prompt that it no longer has cached.
    """
    under_test = Fleet(drain_s=2.0)
    first = server("a")._replace(born=100)
    under_test.put(first)
    before = under_test.get("a")
    assert before is not None
    before.in_flight = 3
    before.record_load(Load(8, 8, 8), 10.0)
    before.cached_segments.add([PromptSegment("prompt", 100)])
    before.overloaded_until = 12.0
    for _ in range(EJECTION_FAILURES):
        before.record_failure(10.0)
    assert under_test.put(first._replace(draining=True)) is None
    assert under_test.put(first._replace(born=200)) == first._replace(draining=True)
    after = under_test.get("a")
    assert after is not None and after is not before
    assert (after.load(10.1), after.in_flight, after.ejected_until) == (0.0, 0, 0.0)
    assert "prompt" not in after.cached_segments and after.overloaded_until == 0.0
    assert eligible_servers(under_test, 10.1) == {"a"}


def test_the_last_server_is_used_only_while_it_still_serves_after_removal() -> None:
    """The only server's entry is removed in normal operation.

    Its lease may have expired, so it stays in use for a short time. A server that has
    left exits after two seconds. Requests sent later reach no process, or the wrong
    one.
    """
    under_test = fleet("a")
    under_test.remove("a", 10.0)
    assert eligible_servers(under_test, 11.0) == {"a"}
    assert eligible_servers(under_test, 11.9) == set()


def test_servers_with_entries_expired_in_an_outage_stay_in_use() -> None:
    """All entries expired in an outage of the store and come back one by one.

    If only the returned servers were used, the first would get the load of all.
    """
    under_test = fleet("a", "b", "c")
    under_test.store_unstable = True
    for server_id in ("a", "b", "c"):
        under_test.remove(server_id, 10.0, is_lease_expired=True)
    under_test.put(server("a"))
    assert eligible_servers(under_test, 11.0) == {"a", "b", "c"}
    assert eligible_servers(under_test, 12.7) == {"a"}
    assert [removed.id for removed in under_test.remove_expired(12.7)] == ["b", "c"]


def test_a_server_that_leaves_just_after_an_outage_is_not_used() -> None:
    """A server's entry is removed shortly after the store has come back.

    The entry was present in the first listing after the outage, so the server is
    leaving and exits after two seconds. If it stayed in use beside the others, a
    request that waited for its connection could be sent after the exit.
    """
    under_test = fleet("a", "b")
    under_test.store_unstable = True
    under_test.remove("a", 10.0)
    assert eligible_servers(under_test, 10.1) == {"b"}
    assert eligible_servers(under_test, 11.5) == {"b"}


def test_servers_stay_in_use_if_most_entries_are_removed_after_an_outage() -> None:
    """Entries are removed after an outage because their heartbeats were missed.

    If only the remaining servers were used, they would get the load of all. The removed
    ones must not stay in use for longer than leaving servers serve.
    """
    under_test = fleet("a", "b", "c")
    under_test.store_unstable = True
    for server_id in ("a", "b"):
        under_test.remove(server_id, 10.0)
    assert eligible_servers(under_test, 10.9) == {"a", "b", "c"}
    assert eligible_servers(under_test, 11.1) == {"c"}


def test_consecutive_failures_eject_a_server_but_never_all_servers() -> None:
    under_test = fleet("a", "b")
    for server_id in ("a", "b"):
        state = under_test.get(server_id)
        assert state is not None
        ejections = [state.record_failure(10.0) for _ in range(EJECTION_FAILURES)]
        assert ejections == [False, False, True]
        if server_id == "a":
            assert eligible_servers(under_test, 10.1) == {"b"}
    assert eligible_servers(under_test, 10.1) == {"a", "b"}
    assert eligible_servers(under_test, 11.1) == {"a", "b"}


def test_one_failure_ejects_a_server_of_a_large_service() -> None:
    """One of 30 servers fails at once; 60 relays send requests to it in turn.

    If each relay waited for three consecutive failures of its own, ejecting the server
    would take seconds.
    """
    many = fleet(*(f"s{n}" for n in range(MIN_SERVERS_FAST_EJECTION)))
    few = fleet("s0", "s1")
    for under_test in (many, few):
        state = under_test.get("s0")
        assert state is not None
        under_test.record_failure(state, 10.0)
    assert "s0" not in eligible_servers(many, 10.1) and "s0" in eligible_servers(
        many, 11.1
    )
    assert "s0" in eligible_servers(few, 10.1)


def test_own_requests_weigh_more_than_reported_ones() -> None:
    """Reports are some responses old; own requests are known exactly."""
    under_test = fleet("a")
    state = under_test.get("a")
    assert state is not None
    state.in_flight = 2
    state.record_load(Load(5, 1, 8), 10.0)
    others = OTHER_REQUEST_WEIGHT * 4
    assert state.load(10.1) == 2 * OWN_REQUEST_WEIGHT + others
    state.in_flight = 5
    assert state.load(10.1) == 5 * OWN_REQUEST_WEIGHT + others
    assert state.load(12.0) == 5 * OWN_REQUEST_WEIGHT


def test_the_list_of_servers_is_the_same_object_while_one_is_ejected() -> None:
    """Callers would compute for each request what they derive from the list."""
    under_test = fleet("a", "b", "c")
    ejected = under_test.get("b")
    assert ejected is not None
    ejected.ejected_until = 20.0
    listed = under_test.eligible_servers("svc", 10.0)
    assert [state.server.id for state in listed] == ["a", "c"]
    assert under_test.eligible_servers("svc", 10.1) is listed
    assert eligible_servers(under_test, 20.0) == {"a", "b", "c"}
    ejected.ejected_until = 30.0
    under_test.put(server("a")._replace(slots=4))
    assert under_test.eligible_servers("svc", 21.0) is not listed
