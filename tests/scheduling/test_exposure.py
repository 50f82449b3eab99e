"""Servers that may turn out to have crashed under a request."""

from __future__ import annotations

import pytest

from wisteriastair.core.crashwire import ExposedServer, SettledServers
from wisteriastair.scheduling import exposure
from wisteriastair.scheduling.crashes import (
    CrashTable,
    RequestIdentity,
    add_entry,
    make_entry,
    settle_entry,
)
from wisteriastair.scheduling.exposure import Suspicion

IDENTITY = RequestIdentity("", "POST", "h", "/x", "p1", "l1", "", b"body")
KEY = IDENTITY.key()


def make_table(*servers: int) -> CrashTable:
    table = CrashTable()
    for server in servers:
        table.expose(KEY, server, 10.0)
    return table


def test_servers_that_may_have_crashed_take_places_of_the_bound() -> None:
    """The third place is free, the fourth is not."""
    table = make_table(1, 2)
    assert table.allowed_servers(KEY) is None
    table.expose(KEY, 3, 10.0)
    assert table.allowed_servers(KEY) == frozenset({1, 2, 3})
    assert table.find(IDENTITY) == KEY


def test_crashed_servers_are_not_allowed_again() -> None:
    table = make_table(1, 2)
    table.add(KEY, [3], 60.0)
    assert table.allowed_servers(KEY) == frozenset({1, 2})
    table.add(KEY, [1, 2], 60.0)
    assert table.is_quarantined(KEY)
    assert table.allowed_servers(KEY) == frozenset()


def test_running_attempts_take_places_of_the_bound() -> None:
    table = make_table(1)
    assert table.allowed_servers(KEY, [2]) is None
    assert table.allowed_servers(KEY, [2, 3]) == frozenset({1, 2, 3})


def test_table_forgets_what_it_knows_of_a_request() -> None:
    """No key of the index stays behind, whichever way a request goes."""
    for end in ("answer", "expiry", "settled"):
        table = make_table(1, 2)
        table.add(KEY, [1], 5.0)
        if end == "answer":
            table.forget(KEY)
        elif end == "expiry":
            table.expire(5.0)
            assert table.find(IDENTITY) == KEY
            table.expire(10.0)
        else:
            table.settle(KEY, 2)
            table.expire(5.0)
        assert table.find(IDENTITY) is None
        assert not table.keys()


def test_server_that_got_the_request_again_stays() -> None:
    """Its survival of the first attempt says nothing of the second one."""
    table = make_table(1)
    table.expose(KEY, 1, 12.0)
    early = SettledServers(KEY, [ExposedServer(1, 10_000)])
    assert settle_entry(table, early, 0.0) == []
    late = SettledServers(KEY, [ExposedServer(1, 12_000)])
    assert settle_entry(table, late, 0.0) == [1]


def test_message_carries_servers_that_may_have_crashed() -> None:
    received = CrashTable()
    entry = make_entry(make_table(1, 2), KEY, 4.0)
    assert add_entry(received, entry, 104.0)
    assert received.exposures.servers(KEY) == {1: 110.0, 2: 110.0}


@pytest.mark.parametrize(
    "servers",
    [
        [ExposedServer(1, -5)],
        [ExposedServer(n, 1000) for n in range(1000)],
        [ExposedServer(1, 10**15)],
    ],
)
def test_damaged_entries_are_bounded(servers: list[ExposedServer]) -> None:
    table = CrashTable()
    entry = make_entry(table, KEY, 0.0)
    add_entry(table, type(entry)(KEY, [], 0, "", servers), 0.0)
    exposed = table.exposures.servers(KEY)
    assert len(exposed) <= table.limits.max_crashes
    assert all(at <= exposure.EXPOSURE_S for at in exposed.values())


def test_remembered_requests_are_bounded() -> None:
    table = CrashTable()
    for number in range(exposure.MAX_EXPOSED_REQUESTS + 10):
        table.expose(number.to_bytes(16, "big"), 1, 10.0)
    assert len(table.exposures) == exposure.MAX_EXPOSED_REQUESTS


def test_answer_with_other_headers_forgets_nothing() -> None:
    """Neither while one variant is known nor once attempts have had several."""
    table = make_table(1)
    table.add_variant(KEY, b"a")
    assert not table.forget(KEY, b"b")
    received = CrashTable()
    add_entry(received, make_entry(table, KEY, 0.0), 0.0)
    assert not received.forget(KEY, b"b")
    assert received.forget(KEY, b"a")
    table.add_variant(KEY, b"b")
    assert not table.forget(KEY, b"a")
    assert table.forget(KEY)
    assert not table.variant(KEY)


def test_variant_survives_the_crash_of_the_last_server() -> None:
    """The only place of a request turns into a crash."""
    table = make_table(1)
    table.add_variant(KEY, b"a")
    table.add(KEY, [1], 60.0)
    assert not table.forget(KEY, b"b")


def test_server_that_lives_on_keeps_its_place_until_it_leaves() -> None:
    """It takes the place again if it gets the request after that."""
    table = make_table(1, 2, 3)
    exposures = table.exposures
    assert exposures.record_survival(KEY, 1)
    assert exposures.survived_by(1) == [KEY]
    assert table.allowed_servers(KEY) == frozenset({1, 2, 3})
    exposures.record_leaving(KEY, 1)
    assert exposures.have_left(KEY) == [1]
    table.expose(KEY, 1, 12.0)
    assert not exposures.have_left(KEY)


def test_survival_of_an_earlier_attempt_says_nothing_of_the_next_one() -> None:
    """A server that got the request again may crash under it."""
    table = make_table(1)
    table.exposures.record_survival(KEY, 1)
    table.expose(KEY, 1, 12.0)
    assert table.exposures.places(KEY)[1].suspicion is Suspicion.OPEN
