"""Which servers may get work, by their entries and their answers."""

from __future__ import annotations

from wisteriastair.core.fleet import (
    EJECTION_FAILURES,
    OTHERS_WEIGHT,
    OWN_WEIGHT,
    SERVERS_TO_SUSPECT,
    Fleet,
    Load,
    Server,
)
from wisteriastair.core.reuse import PromptSegment


def server(server_id: str, *, draining: bool = False) -> Server:
    return Server(server_id, "svc", "10.0.0.1:1", "d", 8, draining, 0.0)


def fleet(*ids: str) -> Fleet:
    made = Fleet(drain_s=2.0)
    for server_id in ids:
        made.put(server(server_id))
    return made


def eligible_servers(under_test: Fleet, now: float) -> set[str]:
    return {state.server.id for state in under_test.eligible_servers("svc", now)}


def test_a_server_that_leaves_gets_nothing_new() -> None:
    under_test = fleet("a", "b", "c")
    under_test.put(server("a", draining=True))
    under_test.remove("b", 10.0)
    assert eligible_servers(under_test, 10.1) == {"c"}


def test_a_server_that_starts_again_under_its_id_begins_with_nothing() -> None:
    """A full server crashes and comes back under the id that it had.

    It is empty and has read nothing.  Callers would go round it for its old load and
    failures, or be led to it for a prompt that it no longer holds.
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
    assert (after.load(10.1), after.in_flight, after.rests_until) == (0.0, 0, 0.0)
    assert "prompt" not in after.cached_segments and after.overloaded_until == 0.0
    assert eligible_servers(under_test, 10.1) == {"a"}


def test_the_last_server_is_used_only_while_it_still_serves() -> None:
    """The only server's entry vanishes in ordinary times.

    It may be a lapse, so it is used a little longer; but a server that has left exits
    two seconds later, and what is sent to it then reaches nobody, or somebody else.
    """
    under_test = fleet("a")
    under_test.remove("a", 10.0)
    assert eligible_servers(under_test, 11.0) == {"a"}
    assert eligible_servers(under_test, 11.9) == set()


def test_entries_that_lapsed_with_the_store_go_on_being_used() -> None:
    """The store was away and all entries lapsed; they come back one by one.

    If only those that are back were used, the first would get the load of all.
    """
    under_test = fleet("a", "b", "c")
    under_test.store_unstable = True
    for server_id in ("a", "b", "c"):
        under_test.remove(server_id, 10.0, is_lease_expired=True)
    under_test.put(server("a"))
    assert eligible_servers(under_test, 11.0) == {"a", "b", "c"}
    assert eligible_servers(under_test, 12.7) == {"a"}
    assert [gone.id for gone in under_test.remove_expired(12.7)] == ["b", "c"]


def test_a_server_that_leaves_just_after_an_outage_is_not_taken_for_lapsed() -> None:
    """The store has been back for a moment when a server's entry ends.

    It was there in the first answer after the outage, so it has not lapsed: the server
    leaves, and exits two seconds later.  Used beside others for as long as it might
    serve, it got a request that had waited for its connection after it had gone.
    """
    under_test = fleet("a", "b")
    under_test.store_unstable = True
    under_test.remove("a", 10.0)
    assert eligible_servers(under_test, 10.1) == {"b"}
    assert eligible_servers(under_test, 11.5) == {"b"}


def test_most_entries_of_a_service_do_not_end_because_their_servers_leave() -> None:
    """The store is back, and entries whose heartbeats it has missed end after that.

    If only those that are left were used, they would get the load of all.  It is still
    no longer than servers that leave serve.
    """
    under_test = fleet("a", "b", "c")
    under_test.store_unstable = True
    for server_id in ("a", "b"):
        under_test.remove(server_id, 10.0)
    assert eligible_servers(under_test, 10.9) == {"a", "b", "c"}
    assert eligible_servers(under_test, 11.1) == {"c"}


def test_failures_in_a_row_make_a_server_rest_but_never_all_of_them() -> None:
    under_test = fleet("a", "b")
    for server_id in ("a", "b"):
        state = under_test.get(server_id)
        assert state is not None
        rests = [state.record_failure(10.0) for _ in range(EJECTION_FAILURES)]
        assert rests == [False, False, True]
        if server_id == "a":
            assert eligible_servers(under_test, 10.1) == {"b"}
    assert eligible_servers(under_test, 10.1) == {"a", "b"}
    assert eligible_servers(under_test, 11.1) == {"a", "b"}


def test_of_many_servers_one_rests_after_a_single_failure() -> None:
    """One of 30 servers answers errors at once; 60 relays send to it in turn.

    Each waited for three failures in a row of its own, and took seconds to get them.
    """
    many = fleet(*(f"s{n}" for n in range(SERVERS_TO_SUSPECT)))
    few = fleet("s0", "s1")
    for under_test in (many, few):
        state = under_test.get("s0")
        assert state is not None
        under_test.record_failure(state, 10.0)
    assert "s0" not in eligible_servers(many, 10.1) and "s0" in eligible_servers(
        many, 11.1
    )
    assert "s0" in eligible_servers(few, 10.1)


def test_own_requests_weigh_more_than_what_others_had() -> None:
    """A report is some answers old; own requests are known exactly."""
    under_test = fleet("a")
    state = under_test.get("a")
    assert state is not None
    state.in_flight = 2
    state.record_load(Load(5, 1, 8), 10.0)
    others = OTHERS_WEIGHT * 4
    assert state.load(10.1) == 2 * OWN_WEIGHT + others
    state.in_flight = 5
    assert state.load(10.1) == 5 * OWN_WEIGHT + others
    assert state.load(12.0) == 5 * OWN_WEIGHT
