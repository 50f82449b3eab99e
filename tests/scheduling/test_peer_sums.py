"""Sums of other keepers: what is kept of them and for how long."""

from __future__ import annotations

from wisteriastair.core.ledgerwire import (
    DomainSums,
    LinkTiming,
    RelayDigest,
)
from wisteriastair.scheduling.merge import Merger, make_merger
from wisteriastair.scheduling.peer_sums import MAX_PEERS
from wisteriastair.scheduling.sums import PEER_TTL_S

ME = "k0:1"


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
