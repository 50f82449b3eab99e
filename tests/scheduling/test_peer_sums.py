"""Sums of other keepers: what is kept of them and for how long."""

from __future__ import annotations

from wisteriastair.core.ledgerwire import (
    DomainSums,
    LinkTiming,
    PictureBlock,
    RelayDigest,
    ServerLoad,
    ServerPace,
    pack_loads,
)
from wisteriastair.scheduling.merge import Merger, make_merger
from wisteriastair.scheduling.peer_sums import MAX_PEERS
from wisteriastair.scheduling.sums import MAX_AGE_S, PACE_TTL_S, PEER_TTL_S

ME = "k0:1"
SUMS_PER_S = 2


def timing(now: float) -> LinkTiming:
    """Return the timing of a message that was under way for no time."""
    stamp = int(now * 1000)
    return LinkTiming(stamp, stamp)


def receivers_of_sums(merger: Merger, now: float) -> set[str]:
    """Return the keepers to which a report of a relay makes a keeper send sums."""
    messages = merger.on_digest("r:1#a", RelayDigest(timing(now)), now)
    return {to for to, message in messages if isinstance(message, DomainSums)}


def test_failure_keepers_that_never_answered_leave_the_list() -> None:
    """Each would be sent a message a second forever, and take the place of others."""
    merger = make_merger(ME, 0.0)
    now = 0.0
    receivers: set[str] = set()
    for number in range(MAX_PEERS + 1):
        merger.set_order([ME, f"gone{number}:1"])
        now += PEER_TTL_S + 1.0
        receivers = receivers_of_sums(merger, now)
    assert receivers == {f"gone{MAX_PEERS}:1"}
    merger.on_sums("new:1#a", DomainSums(timing(now), 1), now)
    assert merger.counters.clipped == 0


def test_failure_a_keeper_without_relays_forgets_old_sums() -> None:
    """Without reports nothing expired, and each restart of a server left an entry."""
    merger = make_merger(ME, 0.0)
    now = 0.0
    for server in range(1000):
        now += 1 / SUMS_PER_S
        block = PictureBlock(pack_loads([ServerLoad(server, 1, 1)]), [])
        paces = [ServerPace(server, 100, 1)]
        sums = DomainSums(timing(now), 1, [0], [block], paces)
        merger.on_sums("k1:1#a", sums, now)
    peer = merger._peers.peers["k1:1"]
    assert 1 <= len(peer.loads) <= MAX_AGE_S * SUMS_PER_S + 1
    assert 1 <= len(peer.paces) <= PACE_TTL_S * SUMS_PER_S + 1
