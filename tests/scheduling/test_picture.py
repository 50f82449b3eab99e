"""What a relay concludes from the merged reports of all relays."""

from __future__ import annotations

import math

from wisteriastair.core.ledgerwire import (
    PictureBlock,
    ServerHealth,
    ServerLoad,
    ServerObservation,
    ServerWeight,
    Weights,
    pack_loads,
)
from wisteriastair.scheduling.capacity import STEP_FACTOR
from wisteriastair.scheduling.digest import TOKENS_PER_UNIT, server_key
from wisteriastair.scheduling.fleet import Fleet, Server
from wisteriastair.scheduling.picture import (
    MAX_AGE_S,
    REPORT_TTL_S,
    SERVERS_PER_SUSPECT,
    SUSPECT_HOLD_S,
    OthersLoad,
    OwnReports,
    SharedPicture,
)

NOW = 50.0


def fleet(count: int = 9) -> Fleet:
    new_fleet = Fleet()
    for n in range(count):
        new_fleet.put(Server(f"s{n}", "svc", "a:1", "d", 8, False, 0.0, 1))
    return new_fleet


def key(number: int) -> int:
    return server_key(f"s{number}.1")


def no_own(server: int) -> ServerObservation | None:
    return None


def health(
    number: int, failures: int, successes: int, witnesses: int, silent: int = 0
) -> ServerHealth:
    return ServerHealth(key(number), failures, successes, silent, witnesses)


def picture_of(*healths: ServerHealth, count: int = 9) -> SharedPicture:
    picture = SharedPicture(fleet(count))
    picture.apply_block(PictureBlock(b"", list(healths)), NOW, no_own, NOW)
    picture.refresh(NOW)
    return picture


def suspects(picture: SharedPicture, now: float = NOW) -> set[int]:
    return {n for n in range(9) if picture.is_suspect(f"s{n}.1", now)}


def test_without_news_nothing_is_assumed() -> None:
    """Relays continue with what they observe themselves."""
    picture = SharedPicture(fleet())
    assert picture.others("s0.1", NOW) is None
    assert picture.weight("s0.1") == 1.0
    assert not picture.is_suspect("s0.1", NOW)
    assert picture.age_s(NOW) == math.inf


def test_own_requests_are_subtracted_and_the_age_is_stated() -> None:
    picture = SharedPicture(fleet())
    own = ServerObservation(key(0), 2, 10, silent=1)
    loads = pack_loads([ServerLoad(key(0), 5, 30, 10)])
    block = PictureBlock(loads, [health(0, 0, 0, 2, silent=3)])
    picture.apply_block(block, NOW - 0.1, lambda server: own, NOW)
    load = picture.others("s0.1", NOW)
    assert load is not None
    assert load[:3] == OthersLoad(3, 20 * TOKENS_PER_UNIT, 2, 0.0)[:3]
    assert round(load.age_s, 3) == 0.3


def test_entries_expire() -> None:
    """A server must not look full for ever because its reporter has gone."""
    picture = SharedPicture(fleet())
    block = PictureBlock(pack_loads([ServerLoad(key(0), 5, 5, 25)]))
    picture.apply_block(block, NOW, no_own, NOW)
    assert picture.others("s0.1", NOW + MAX_AGE_S - 0.6) is not None
    assert picture.others("s0.1", NOW + MAX_AGE_S - 0.4) is None
    picture.apply_block(block, NOW, no_own, NOW + MAX_AGE_S + 0.1)
    assert picture.others("s0.1", NOW + MAX_AGE_S + 0.1) is None


def test_another_incarnation_is_another_server() -> None:
    """A restarted server has lost the requests of its previous incarnation."""
    picture = SharedPicture(fleet())
    block = PictureBlock(pack_loads([ServerLoad(key(0), 5, 5)]))
    picture.apply_block(block, NOW, no_own, NOW)
    assert picture.others("s0.2", NOW) is None


def test_several_witnesses_make_a_server_suspect() -> None:
    """One failure is usual, and successes of others outweigh single failures."""
    assert suspects(picture_of(health(0, 1, 0, 1))) == set()
    assert suspects(picture_of(health(0, 2, 0, 2))) == {0}
    assert suspects(picture_of(health(0, 0, 0, 2, silent=2))) == {0}
    assert suspects(picture_of(health(0, 2, 40, 2))) == set()


def test_a_suspicion_ends_without_new_evidence() -> None:
    """The server then gets requests again, which show whether it works."""
    picture = picture_of(health(0, 2, 0, 2))
    assert suspects(picture, NOW + SUSPECT_HOLD_S - 0.1) == {0}
    assert suspects(picture, NOW + SUSPECT_HOLD_S) == set()
    changes = picture.refresh(NOW + SUSPECT_HOLD_S)
    assert [(c.incarnation, c.is_suspect) for c in changes] == [("s0.1", False)]


def test_at_most_a_third_of_a_service_is_suspect() -> None:
    """A fault of the network of all relays must not empty a service."""
    for count in range(1, 10):
        healths = [health(n, 9, 0, 2 + n) for n in range(count)]
        picture = picture_of(*healths, count=count)
        assert len(suspects(picture)) == count // SERVERS_PER_SUSPECT


def test_own_observations_suffice_without_a_picture() -> None:
    servers = fleet()
    picture = SharedPicture(servers)
    state = servers.get("s0")
    assert state is not None
    seen = state.observations
    seen.close(seen.open(0, NOW), NOW, succeeded=False)
    assert picture.refresh(NOW) == []
    seen.close(seen.open(0, NOW), NOW, succeeded=False)
    assert [c.incarnation for c in picture.refresh(NOW)] == ["s0.1"]


def test_weights_are_kept_until_others_arrive() -> None:
    picture = SharedPicture(fleet())
    changes = picture.apply_weights(Weights(7, [ServerWeight(key(0), -3)]))
    assert [(c.server, c.old, c.new) for c in changes] == [(key(0), 0, -3)]
    assert picture.weight("s0.1") == STEP_FACTOR**-3
    assert picture.apply_weights(Weights(7)) == []
    assert picture.apply_weights(Weights()) == []
    assert picture.weight("s0.1") == STEP_FACTOR**-3
    picture.apply_weights(Weights(8, []))
    assert picture.weight("s0.1") == 1.0


def test_own_reports_are_found_by_the_stamp_that_a_sum_includes() -> None:
    """Subtracting a newer report than the sum includes would hide others' requests."""
    own = OwnReports()
    first, second = ServerObservation(1, 4, 0), ServerObservation(1, 6, 0)
    own.record(10, [first], NOW)
    own.record(20, [second], NOW)
    assert own.find(1, 9, NOW) is None
    assert own.find(1, 19, NOW) == first
    assert own.find(1, 20, NOW) == second


def test_own_reports_of_servers_that_are_gone_are_dropped() -> None:
    """Each restart of a server would leave up to 16 reports at the relay forever."""
    own = OwnReports()
    for server in range(1000):
        own.record(server, [ServerObservation(server, 1, 0)], NOW + server)
    kept = [s for s in range(1000) if own.find(s, 1000, NOW + 999) is not None]
    assert kept == list(range(1000 - int(REPORT_TTL_S), 1000))


def test_reports_to_the_previous_keeper_are_subtracted_until_they_expire() -> None:
    """The sums still contain them, and would otherwise appear as load of others."""
    own = OwnReports()
    own.record(10, [ServerObservation(1, 4, 0)], NOW)
    own.start_link(NOW)
    assert own.find(1, 0, NOW + 1.0) == ServerObservation(1, 4, 0)
    assert own.find(1, 0, NOW + MAX_AGE_S) is None
