"""Tests of replica sets, and of the selection of replicas for large writes."""

from __future__ import annotations

from wisteriastair.core.membership import (
    SLOTS,
    Member,
    replica_set,
    select_replicas,
    slot_of_program,
)


def member(name: str, domain: str) -> Member:
    return Member(name, f"disk-{name}", f"{name}:1", domain)


MEMBERS = tuple(member(f"k{n}", f"d{n % 3}") for n in range(8))


def test_replicas_are_in_as_many_domains_as_possible() -> None:
    for slot in range(SLOTS):
        for max_failures in (1, 2):
            chosen = replica_set(MEMBERS, slot, max_failures)
            assert len(chosen.members) == 2 * max_failures + 1
            assert len({m.domain for m in chosen.members}) == 3
            assert chosen.write + chosen.read == len(chosen.members) + 1


def test_few_members_are_replicas_of_every_slot() -> None:
    chosen = replica_set(MEMBERS[:2], 0, 1)
    assert (len(chosen.members), chosen.write, chosen.read) == (2, 2, 1)


def test_slots_are_spread_over_the_members() -> None:
    slot_counts = {m.name: 0 for m in MEMBERS}
    for slot in range(SLOTS):
        for chosen in replica_set(MEMBERS, slot, 1).members:
            slot_counts[chosen.name] += 1
    assert min(slot_counts.values()) > 0
    assert slot_of_program("p") == slot_of_program("p")


def test_large_writes_go_to_few_replicas_in_different_domains() -> None:
    """A turn is written by a relay with a slow link.

    Two copies in two failure domains are enough for the write to count.  A third copy
    sent at the same time would take a third of the link from the next turns.
    """
    for slot in range(SLOTS):
        replicas = replica_set(MEMBERS, slot, 1)
        chosen = select_replicas(replicas, "d1", set(), 2)
        assert len(chosen) == 2
        assert len({m.domain for m in chosen}) == 2
        assert chosen[0].domain == "d1"


def test_suspected_replica_is_not_selected() -> None:
    replicas = replica_set(MEMBERS, 0, 1)
    lost = select_replicas(replicas, "d1", set(), 2)[0]
    chosen = select_replicas(replicas, "d1", {lost.disk}, 2)
    assert lost not in chosen and len(chosen) == 2
    everyone = {m.disk for m in replicas.members}
    assert len(select_replicas(replicas, "d1", everyone, 2)) == 2
