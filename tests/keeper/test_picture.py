"""The keeper's side of the shared picture of servers."""

from __future__ import annotations

import json
import logging

import pytest

from wisteriastair.core.ledgerwire import (
    LinkTiming,
    PictureUpdate,
    RelayDigest,
    ServerObservation,
)
from wisteriastair.core.membership import Member, View
from wisteriastair.core.watchers import digest_keepers, digest_receivers, watchers_of
from wisteriastair.keeper.picture import MAX_LOGGED, PictureKeeper
from wisteriastair.scheduling.capacity import CONFIRMATIONS, DECISION_INTERVAL_S
from wisteriastair.scheduling.digest import server_key
from wisteriastair.scheduling.sums import MAX_RELAYS, PEER_TTL_S
from wisteriastair.scheduling.weight_decision import WARMUP_S

ME = "k0:1"


def view(keepers: int, domains: int) -> View:
    members = tuple(
        Member(f"k{n}", f"disk{n}", f"k{n}:1", f"d{n % domains}")
        for n in range(keepers)
    )
    return View(1, members)


def keeper(servers: int = 4) -> PictureKeeper:
    picture = PictureKeeper(ME, 1, 0.0)
    picture.set_view(view(1, 1))
    for n in range(servers):
        entry = {"service": "svc", "address": "a:1", "slots": 8, "born": 5}
        entry |= {"zone": "d0", "state": "ready"}
        picture.apply_server(f"servers/s{n}", json.dumps(entry).encode())
    return picture


def digest(now: float, *seen: ServerObservation) -> RelayDigest:
    stamp = int(now * 1000)
    return RelayDigest(LinkTiming(stamp, stamp), list(seen))


def key(number: int) -> int:
    return server_key(f"s{number}.5")


def test_there_is_one_receiver_per_domain_and_the_watchers_are_among_them() -> None:
    """A relay without one in its domain would report to another domain."""
    for domains in (1, 3, 4, 6):
        keepers = digest_keepers(view(24, domains), 2)
        assert {m.domain for m in keepers} == {f"d{n}" for n in range(domains)}
        assert set(watchers_of(view(24, domains), 2)) <= set(keepers)
        assert len(keepers) == max(3, domains)


def test_relays_prefer_their_own_domain_and_have_a_second_choice_there() -> None:
    members = view(24, 6)
    domains = {m.address: m.domain for m in members.members}
    receivers = digest_receivers(members, "d3", 2)
    assert [domains[a] for a in receivers[:2]] == ["d3", "d3"]
    assert receivers[0] in {m.address for m in digest_keepers(members, 2)}
    assert len(receivers) == len(set(receivers)) == 7
    assert digest_receivers(View(), "d3", 2) == []
    assert len(digest_receivers(members, "elsewhere", 2)) == 6


def test_a_keeper_answers_each_report_and_sends_nothing_else() -> None:
    picture = keeper()
    replies = picture.receive("r:1#a", digest(1.0), 1.0)
    assert [to for to, _ in replies] == ["r:1#a"]
    assert picture.receive("r:1#a", digest(1.0), 1.1) == []
    assert picture.bytes_sent > 0


def test_reports_of_removed_servers_are_ignored_and_counted() -> None:
    picture = keeper()
    picture.apply_server("servers/s0", None)
    picture.apply_server("servers/s1", b"not JSON")
    picture.retain_only({"servers/s2"})
    seen = [ServerObservation(key(n), 1, 1) for n in range(4)]
    picture.receive("r:1#a", digest(1.0, *seen), 1.0)
    assert picture.merger.counters.unknown_servers == 3


def test_relays_are_limited_and_forgotten() -> None:
    """A process that reports under ever new names must not fill the memory."""
    picture = keeper()
    for n in range(MAX_RELAYS + 50):
        picture.receive(f"r{n}:1#a", digest(1.0), 1.0)
    assert picture.merger.relay_count == MAX_RELAYS
    picture.receive("r0:1#a", digest(2.0 + PEER_TTL_S), 2.0 + PEER_TTL_S)
    assert picture.merger.relay_count == 1


def test_lines_about_weights_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    """A decision may change hundreds of servers at once."""
    caplog.set_level(logging.INFO)
    count = 40
    picture = keeper(count)
    now = 1.0
    while now < WARMUP_S + (CONFIRMATIONS + 2) * DECISION_INTERVAL_S:
        seen = [
            ServerObservation(key(n), 1, 1, pace=200 if n % 3 else 90)
            for n in range(count)
        ]
        picture.receive("r:1#a", digest(now, *seen), now)
        now += 0.25
    lines = [r for r in caplog.records if r.message == "weight of a server decided"]
    assert len(lines) == MAX_LOGGED
    assert len(picture.merger.weights) == 14


def test_failure_a_keeper_that_has_not_read_the_store_decides_no_weights() -> None:
    """It would reset the weights at all relays, and programs would move twice."""
    picture = keeper(servers=0)
    now = 0.0
    while now < WARMUP_S + 2 * DECISION_INTERVAL_S:
        now += 0.25
        replies = picture.receive("r:1#a", digest(now), now)
        updates = [m for _, m in replies if isinstance(m, PictureUpdate)]
        assert [update.weights.steps for update in updates] == [None]
