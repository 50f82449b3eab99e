"""Members of the ledger, their replica sets, and changes that lose no record.

The ledger is a set of records that only grows: reservations, settlements and turns.
Every program belongs to a slot, and every slot has a set of replicas, which each
process computes in the same way from the list of members.  To tolerate `t` failures, a
slot has 2t + 1 replicas.  A write counts once t + 1 replicas have synced it, and a
reader with replies from n - t replicas sees every write that counted.  There is no
leader, so there is no takeover.

The list of members (a *view*) is one value in the platform store, changed by
compare-and-swap; any member may propose a change.  A change goes through a joint view
with the old and the new list.  During the change, reads and writes need a quorum of
both lists, and new replicas copy from a read quorum of the old list.  Once all of them
have reported the end of their copy, the old list is dropped.  Every request has the
number of its view.  A replica that knows a higher number refuses the request, so no
write can reach a list that has already been copied from.

The view only defines which disks count: reads and writes never access the store.
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
        Random id, generated at the first use of an empty disk.  An instance that lost
        its disk returns with a new id, so it does not count as a replica of the records
        on the lost disk.
    """

    name: str
    disk: str
    address: str
    domain: str


class View(NamedTuple):
    """The members of the ledger.

    Attributes
    ----------
    number : int
        Increases with each change.
    members : tuple of Member
        The list in force, or the new list during a change.
    old : tuple of Member
        The previous list during a change; otherwise empty.
    synced : tuple of str
        Disks of members that have copied all that the end of the change requires.
    """

    number: int = 0
    members: tuple[Member, ...] = ()
    old: tuple[Member, ...] = ()
    synced: tuple[str, ...] = ()


class ReplicaSet(NamedTuple):
    """Replicas of one slot in one list of members, and the sizes of its quorums."""

    members: tuple[Member, ...]
    write: int
    read: int

    def has_write_quorum(self, disks: set[str]) -> bool:
        """Whether these disks include a write quorum."""
        return self._count(disks) >= self.write

    def has_read_quorum(self, disks: set[str]) -> bool:
        """Whether these disks include a read quorum, which sees all earlier writes."""
        return self._count(disks) >= self.read

    def _count(self, disks: set[str]) -> int:
        return sum(member.disk in disks for member in self.members)


def slot_of_program(program: str) -> int:
    """Return the slot of a program."""
    return hash64("ledger", program) % SLOTS


@lru_cache(maxsize=4096)
def replica_set(
    members: tuple[Member, ...], slot: int, max_failures: int
) -> ReplicaSet:
    """Compute the replicas of a slot.

    The order is that of rendezvous hashing, with one replica per failure domain first,
    so that the t + 1 copies of a write are in different domains if there are enough.

    Parameters
    ----------
    max_failures : int
        Number of members that may fail at the same time (t).
    """
    by_name = {member.name: member for member in members}
    order = [by_name[name] for name in rendezvous_order(f"slot {slot}", by_name)]
    chosen = spread_over_domains(order, 2 * max_failures + 1)
    write_quorum = max_failures + 1
    return ReplicaSet(chosen, write_quorum, max(1, len(chosen) - write_quorum + 1))


def spread_over_domains(order: list[Member], count: int) -> tuple[Member, ...]:
    """Select members in order, one per failure domain before a second of any domain."""
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
    """Return the old replicas that a member must copy a slot from, or None.

    A member that was a replica before needs no copy unless the set shrinks: a read
    quorum of the new set then contains a replica that has copied, or its size alone
    makes it intersect every write quorum of the old set.  In a smaller set, the member
    may form a read quorum alone.
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
    """Observations of one member, from which it decides on the next view.

    Attributes
    ----------
    me : Member
        The member that decides.
    reachable : frozenset of str
        Disks of members with a recent heartbeat, including its own.
    unresponsive : frozenset of str
        Disks of members that are treated as lost, for lack of heartbeats.
    retiring : frozenset of str
        Names of instances that the operators want to empty and remove.
    """

    me: Member
    reachable: frozenset[str]
    unresponsive: frozenset[str]
    retiring: frozenset[str]


def next_view(
    view: View, observation: MembershipObservation, max_failures: int
) -> View | None:
    """Propose the next view, or None if no change is needed.

    Only a member that reaches most of the others proposes: an isolated member would
    otherwise remove the members that are still serving.
    """
    if _is_change_complete(view, max_failures):
        return View(view.number + 1, view.members)
    target = _target_members(view, observation, max_failures)
    if target == view.members or not _reaches_majority(view, observation):
        return None
    if len(view.members) <= max_failures and not view.old:
        # Too few members for a write to have counted: there is nothing to copy.
        return View(view.number + 1, target)
    return View(view.number + 1, target, view.old or view.members)


def _is_change_complete(view: View, max_failures: int) -> bool:
    if not view.old:
        return False
    copying_members = [
        member
        for member in view.members
        if any(copy_sources(view, member, slot, max_failures) for slot in range(SLOTS))
    ]
    return all(member.disk in view.synced for member in copying_members)


def _target_members(
    view: View, observation: MembershipObservation, max_failures: int
) -> tuple[Member, ...]:
    """Return the target list: all live members that are not retiring.

    An unresponsive member is removed whatever the size of the list.  If a permanently
    lost member stayed in a list of 2t + 1 or fewer, the next lost disk would leave the
    list without a quorum permanently, and every turn would be refused.  The remaining
    members copy before the change ends and then reply alone, so that a single one of
    them is enough to read every record that counted.

    A write needs t + 1 members.  If fewer remain, the list is filled up with live
    members that are retiring, including one that has just lost its disk, and then with
    unresponsive members.
    """
    by_name = {m.name: m for m in (*view.old, *view.members, observation.me)}
    listed = {m.name for m in (*view.members, observation.me)}
    live = [m for m in by_name.values() if m.disk not in observation.unresponsive]
    target = [
        m for m in live if m.name in listed and m.name not in observation.retiring
    ]
    retiring = [m for m in live if m.name in observation.retiring]
    names = {m.name for m in live}
    unresponsive = [m for m in view.members if m.name not in names]
    # Listed members come first, so that all members agree on the ones that are added.
    fallback_members = sorted(
        retiring, key=lambda m: (m.name not in listed, m)
    ) + sorted(unresponsive)
    missing = max_failures + 1 - len(target)
    return tuple(sorted((*target, *fallback_members[: max(0, missing)])))


def _reaches_majority(view: View, observation: MembershipObservation) -> bool:
    others = [m for m in view.members if m.name != observation.me.name]
    reachable = sum(member.disk in observation.reachable for member in others)
    return 2 * reachable >= len(others)


def select_replicas(
    replicas: ReplicaSet, domain: str, suspects: set[str], count: int
) -> list[Member]:
    """Select up to `count` replicas.

    Replicas in failure domains that were not selected yet come first, so that the
    copies are in different domains, and replicas in `domain` come first among these.
    Suspects are selected only if there is no other replica left.
    """
    remaining = sort_local_first(replicas.members, domain)
    remaining.sort(key=lambda member: member.disk in suspects)
    chosen: list[Member] = []
    while remaining and len(chosen) < count:
        domains = {member.domain for member in chosen}
        in_new_domains = [
            m for m in remaining if m.domain not in domains and m.disk not in suspects
        ]
        member = (in_new_domains or remaining)[0]
        chosen.append(member)
        remaining.remove(member)
    return chosen


@lru_cache(maxsize=4096)
def _sorted_local_first(members: tuple[Member, ...], domain: str) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: (m.domain != domain, hash64(m.name))))


def sort_local_first(members: tuple[Member, ...], domain: str) -> list[Member]:
    """Sort members for a read, those in the domain of the reader first."""
    return list(_sorted_local_first(members, domain))
