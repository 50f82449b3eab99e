"""Which instances keep the ledger, and how that changes without losing a record.

The ledger is a set of records that only grows: reservations, settlements and turns.
Every program belongs to a slot, and every slot has a set of replicas, computed alike by
everyone from the list of members.  With `t` losses to be borne, a slot has 2t + 1
replicas; a write counts when t + 1 have synced it, and a reader that hears n - t of
them sees every write that counted.  There is no leader, and nothing to take over.

The list of members (a *view*) is one value in the platform's store, changed by
compare-and-swap; any member may propose.  A change goes through a joint view with the
old and the new list.  While it lasts, reads and writes need a quorum of both, and new
replicas copy from a read quorum of the old.  Once all have said so the old list is
dropped. Every request names the number of its view.  A replica that knows a higher
number refuses it, so nobody can write to a list that has been copied from already.

The list of members only says which disks count: reads and writes never ask the store.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Final, NamedTuple

from .hashing import hash64, rendezvous_order

SLOTS: Final = 64


class Member(NamedTuple):
    """An instance with a disk.

    Attributes
    ----------
    disk : str
        Drawn when an empty disk is first used.  An instance that lost its disk comes
        back with another one, and so cannot vouch for what the lost one held.
    """

    name: str
    disk: str
    address: str
    domain: str


class View(NamedTuple):
    """Who keeps the ledger.

    Attributes
    ----------
    number : int
        Grows with each change.
    members : tuple of Member
        The list in force, or the one that is to come into force.
    old : tuple of Member
        The list before, while the change lasts; otherwise empty.
    synced : tuple of str
        Disks of members that hold all they need for the change to end.
    """

    number: int = 0
    members: tuple[Member, ...] = ()
    old: tuple[Member, ...] = ()
    synced: tuple[str, ...] = ()


class ReplicaSet(NamedTuple):
    """The replicas of one slot in one list, and the sizes of its quorums."""

    members: tuple[Member, ...]
    write: int
    read: int

    def has_write_quorum(self, disks: set[str]) -> bool:
        """Whether enough replicas have synced a write."""
        return self._count(disks) >= self.write

    def has_read_quorum(self, disks: set[str]) -> bool:
        """Whether enough replicas have answered to see all earlier writes."""
        return self._count(disks) >= self.read

    def _count(self, disks: set[str]) -> int:
        return sum(member.disk in disks for member in self.members)


def slot_of_program(program: str) -> int:
    """Slot of a program."""
    return hash64("ledger", program) % SLOTS


@lru_cache(maxsize=4096)
def replica_set(
    members: tuple[Member, ...], slot: int, max_failures: int
) -> ReplicaSet:
    """Compute the replicas of a slot.

    One replica a failure domain comes first, in the order of rendezvous hashing, so
    that the t + 1 copies of a write lie in different domains where there are as many.

    Parameters
    ----------
    max_failures : int
        Members that may be lost at once (t).
    """
    by_name = {member.name: member for member in members}
    order = [by_name[name] for name in rendezvous_order(f"slot {slot}", by_name)]
    chosen = spread_over_domains(order, 2 * max_failures + 1)
    write = max_failures + 1
    return ReplicaSet(chosen, write, max(1, len(chosen) - write + 1))


def spread_over_domains(order: list[Member], count: int) -> tuple[Member, ...]:
    """Choose the first of an order, one of each failure domain before a second one."""
    chosen: list[Member] = []
    while len(chosen) < min(count, len(order)):
        domains: set[str] = set()
        for member in order:
            if member not in chosen and member.domain not in domains:
                chosen.append(member)
                domains.add(member.domain)
    return tuple(chosen[:count])


def replica_sets(view: View, slot: int, max_failures: int) -> tuple[ReplicaSet, ...]:
    """Return the sets whose quorums a request needs: one, or two during a change."""
    sets = [replica_set(view.members, slot, max_failures)]
    if view.old:
        sets.append(replica_set(view.old, slot, max_failures))
    return tuple(sets)


def copy_sources(
    view: View, me: Member, slot: int, max_failures: int
) -> ReplicaSet | None:
    """Return the old replicas that a member has to copy a slot from, if any.

    A member that was a replica before needs no copy while the set does not shrink: a
    read quorum of the new set then holds a replica that copied, or meets every write
    quorum of the old set by its size alone.  In a smaller set it may be read alone.
    """
    if not view.old:
        return None
    new = replica_set(view.members, slot, max_failures)
    old = replica_set(view.old, slot, max_failures)
    if me not in new.members:
        return None
    if me in old.members and len(new.members) >= len(old.members):
        return None
    return old


class MembershipObservation(NamedTuple):
    """What one member knows when it considers a change.

    Attributes
    ----------
    me : Member
        The member that considers.
    heard : frozenset of str
        Disks of members heard from a short while ago, its own included.
    silent : frozenset of str
        Disks of members not heard from for so long that they are taken as lost.
    leaving : frozenset of str
        Names of instances that are to be emptied.
    """

    me: Member
    heard: frozenset[str]
    silent: frozenset[str]
    leaving: frozenset[str]


def next_view(
    view: View, observation: MembershipObservation, max_failures: int
) -> View | None:
    """Propose the next view, or None if nothing is to change.

    Only a member that hears most of the others proposes: one that is cut off would
    otherwise drop the very members that go on serving.
    """
    if _finished(view, max_failures):
        return View(view.number + 1, view.members)
    wanted = _wanted(view, observation, max_failures)
    if wanted == view.members or not _hears_most(view, observation):
        return None
    if len(view.members) <= max_failures and not view.old:
        # Too few members to have counted a write: there is nothing to copy.
        return View(view.number + 1, wanted)
    return View(view.number + 1, wanted, view.old or view.members)


def _finished(view: View, max_failures: int) -> bool:
    if not view.old:
        return False
    needed = [
        member
        for member in view.members
        if any(copy_sources(view, member, slot, max_failures) for slot in range(SLOTS))
    ]
    return all(member.disk in view.synced for member in needed)


def _wanted(
    view: View, observation: MembershipObservation, max_failures: int
) -> tuple[Member, ...]:
    """Work out the list to have: whoever is there and is not to be emptied.

    The failure: a member that is gone for good stays in a list of 2t + 1 or fewer, and
    the next lost disk leaves the list without a quorum for ever; every turn is refused.
    So a silent member is left out whatever the size of the list.  Those that stay copy
    before the change ends, and answer alone from then on, so that one of them is enough
    to read all that ever counted.

    Writes need t + 1 members.  Where fewer are there and stay, those that are to be
    emptied but still live fill up the list, one that has just lost its disk among them,
    and then the silent ones.
    """
    known = {m.name: m for m in (*view.old, *view.members, observation.me)}
    listed = {m.name for m in (*view.members, observation.me)}
    there = [m for m in known.values() if m.disk not in observation.silent]
    wanted = [
        m for m in there if m.name in listed and m.name not in observation.leaving
    ]
    leaving = [m for m in there if m.name in observation.leaving]
    names = {m.name for m in there}
    silent = [m for m in view.members if m.name not in names]
    # Those in the list come first, so that members agree on who fills it up.
    fill = sorted(leaving, key=lambda m: (m.name not in listed, m)) + sorted(silent)
    missing = max_failures + 1 - len(wanted)
    return tuple(sorted((*wanted, *fill[: max(0, missing)])))


def _hears_most(view: View, observation: MembershipObservation) -> bool:
    others = [m for m in view.members if m.name != observation.me.name]
    heard = sum(member.disk in observation.heard for member in others)
    return 2 * heard >= len(others)


def select_replicas(
    replicas: ReplicaSet, domain: str, suspects: set[str], count: int
) -> list[Member]:
    """Choose some of the replicas, as far as there are so many.

    Those in other failure domains than the ones chosen before come first, so that the
    copies lie apart; among them the nearest. Suspects are only taken if there is
    nobody else.
    """
    left = sort_local_first(replicas.members, domain)
    left.sort(key=lambda member: member.disk in suspects)
    chosen: list[Member] = []
    while left and len(chosen) < count:
        taken = {member.domain for member in chosen}
        apart = [m for m in left if m.domain not in taken and m.disk not in suspects]
        member = (apart or left)[0]
        chosen.append(member)
        left.remove(member)
    return chosen


@lru_cache(maxsize=4096)
def _ordered(members: tuple[Member, ...], domain: str) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: (m.domain != domain, hash64(m.name))))


def sort_local_first(members: tuple[Member, ...], domain: str) -> list[Member]:
    """Order members for a read: those in the reader's domain first."""
    return list(_ordered(members, domain))
