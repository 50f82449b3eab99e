"""Tests of the server of a request that all relays compute alike."""

from __future__ import annotations

from wisteriastair.relay.hashservers import LISTING_S, HashServers
from wisteriastair.scheduling.digest import server_key
from wisteriastair.scheduling.exposure import EXPOSURE_S
from wisteriastair.scheduling.fleet import Fleet, Server

ITEMS = [f"request {number}" for number in range(300)]


def server(number: int, **changed: object) -> Server:
    plain = Server(f"s{number}", "svc", f"10.0.0.{number}:1", "d", 8, False, 0.0)
    return plain._replace(**changed)  # type: ignore[arg-type]


def make(count: int) -> tuple[Fleet, HashServers]:
    fleet = Fleet()
    for number in range(count):
        fleet.put(server(number))
    hash_servers = HashServers(fleet)
    hash_servers.refresh(0.0)
    return fleet, hash_servers


def choose_all(hash_servers: HashServers, now: float) -> list[frozenset[int]]:
    return [hash_servers.choose("svc", item, 1, now) for item in ITEMS]


def keys(*numbers: int) -> set[int]:
    return {server_key(f"s{number}.0") for number in numbers}


def test_relays_agree_and_use_all_servers() -> None:
    (_, one), (_, other) = make(6), make(6)
    chosen = choose_all(one, 0.0)
    assert chosen == choose_all(other, 0.0)
    assert frozenset().union(*chosen) == keys(*range(6))


def test_servers_of_a_request_are_in_different_domains() -> None:
    """A failure domain that ends takes one of them."""
    fleet = Fleet()
    for number in range(9):
        fleet.put(server(number, domain=f"d{number % 3}"))
    domains = {server_key(f"s{number}.0"): number % 3 for number in range(9)}
    hash_servers = HashServers(fleet)
    for item in ITEMS:
        chosen = hash_servers.choose("svc", item, 2, 0.0)
        assert len({domains[key] for key in chosen}) == 2


def test_server_that_is_gone_is_not_replaced_at_once() -> None:
    """A request that has ended it would get one more server."""
    fleet, hash_servers = make(6)
    before = choose_all(hash_servers, 10.0)
    fleet.remove("s0", 10.0)
    assert choose_all(hash_servers, 10.0) == before
    assert choose_all(hash_servers, 9.0 + EXPOSURE_S) == before
    later = choose_all(hash_servers, 11.0 + EXPOSURE_S)
    assert frozenset().union(*later) == keys(*range(1, 6))


def test_restarted_server_is_another_one() -> None:
    fleet, hash_servers = make(6)
    before = choose_all(hash_servers, 10.0)
    fleet.put(server(0, born=1))
    assert choose_all(hash_servers, 10.0) == before


def test_server_that_leaves_by_plan_is_replaced_at_once() -> None:
    fleet, hash_servers = make(6)
    before = choose_all(hash_servers, 10.0)
    fleet.put(server(0, draining=True))
    after = choose_all(hash_servers, 10.0)
    assert frozenset().union(*after) == keys(*range(1, 6))
    for old, new in zip(before, after, strict=True):
        assert old == new or old == keys(0)
    assert hash_servers.has_left(server_key("s0.0"))
    assert not hash_servers.has_left(server_key("s1.0"))


def test_new_server_is_used_some_time_later() -> None:
    """Relays hear of it at different times, and requests go on meanwhile."""
    fleet, hash_servers = make(6)
    before = choose_all(hash_servers, 0.0)
    now = LISTING_S + 1.0
    fleet.put(server(6))
    assert choose_all(hash_servers, now) == before
    later = choose_all(hash_servers, now + EXPOSURE_S)
    assert frozenset().union(*later) == keys(*range(7))


def test_new_servers_are_used_if_there_are_no_others() -> None:
    fleet, hash_servers = make(1)
    fleet.put(server(0, draining=True))
    fleet.put(server(1))
    chosen = choose_all(hash_servers, LISTING_S + 1.0)
    assert frozenset().union(*chosen) == keys(1)
