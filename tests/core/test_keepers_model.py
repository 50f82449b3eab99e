"""Model checking of who keeps the ledger while machines come and go for good.

`test_ledger_model` explores late messages within three views.  Here a view reaches
everybody at once, and the search goes over whole sequences instead: members that never
come back, successors, additions, members that are emptied, disks that are lost at any
step, members that are away for a while, and a platform store that does not answer.

The environment keeps what is tolerated: at most `LOSSES` machines are lost at a time.
One that was away or lost its disk counts as lost until everything has settled; one that
is gone for good, until everything has settled with its successor there.

A record that counted must be seen by every read quorum at every step.  Whenever
everything has settled, the living members must be quorums of the list: a list without
one is never mended, and every turn would be refused for good.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from enum import Enum
from functools import cache
from itertools import combinations
from typing import Any, Final, NamedTuple

import pytest
from minicheck import Protocol, check_safety

from wisteriastair.core.membership import (
    SLOTS,
    Member,
    ReplicaSet,
    View,
    Wishes,
    must_copy,
    next_view,
    replica_sets,
)

LOSSES: Final = 1
SLOT: Final = 0
MAX_STATES: Final = 3_000_000
NAMES: Final = "abcdef"
Propose = Callable[[View, Wishes, int], View | None]


class Life(Enum):
    """What has become of an instance."""

    RUNS = 0
    AWAY = 1
    GONE = 2


class Node(NamedTuple):
    """One instance; its disk is its name and how many it has lost."""

    name: str
    wipes: int = 0
    life: Life = Life.RUNS
    holds: bool = False
    lost: bool = False

    @property
    def member(self) -> Member:
        disk = f"{self.name}{self.wipes}"
        return Member(self.name, disk, f"{self.name}:1", f"domain-{self.name}")


class World(NamedTuple):
    """The whole system, and one record."""

    nodes: tuple[Node, ...]
    view: View
    retiring: frozenset[str]
    counted: bool
    store_away: bool
    left: Bounds


class Bounds(NamedTuple):
    """How many events of each kind may still come."""

    gone: int = 0
    newcomers: int = 0
    wipes: int = 0
    aways: int = 0
    emptied: int = 0
    outages: int = 0


def initial_world(bounds: Bounds, founders: int) -> World:
    nodes = tuple(Node(name) for name in NAMES[:founders])
    view = View(0, tuple(node.member for node in nodes))
    return World(nodes, view, frozenset(), False, False, bounds)


def running(world: World) -> list[Node]:
    return [node for node in world.nodes if node.life is Life.RUNS]


def changed(world: World, node: Node) -> World:
    nodes = tuple(node if one.name == node.name else one for one in world.nodes)
    return world._replace(nodes=nodes)


# The system


@cache
def proposal(
    propose: Propose,
    view: View,
    me: Member,
    disks: frozenset[str],
    retiring: frozenset[str],
) -> View | None:
    listed = {m.disk for m in (*view.members, *view.old)}
    wishes = Wishes(me, disks, frozenset(listed - disks), retiring)
    found = propose(view, wishes, LOSSES)
    # Numbers grow for ever; here nobody has an old view, so they say nothing.
    return None if found is None else found._replace(number=0)


def proposals(world: World, propose: Propose) -> set[View]:
    disks = frozenset(node.member.disk for node in running(world))
    found = {
        proposal(propose, world.view, node.member, disks, world.retiring)
        for node in running(world)
    }
    return {view for view in found if view is not None}


@cache
def sources(view: View, me: Member) -> frozenset[ReplicaSet]:
    found = (must_copy(view, me, slot, LOSSES) for slot in range(SLOTS))
    return frozenset(replicas for replicas in found if replicas is not None)


def copies(world: World) -> Iterator[tuple[str, World]]:
    """Let members copy, each from any read quorum."""
    by_disk = {node.member.disk: node for node in running(world)}
    for node in running(world):
        me = node.member
        wanted = sources(world.view, me)
        if not wanted or me.disk in world.view.synced:
            continue
        if not all(replicas.readable(set(by_disk)) for replicas in wanted):
            continue
        synced = tuple(sorted((*world.view.synced, me.disk)))
        after = world._replace(view=world.view._replace(synced=synced))
        mine = must_copy(world.view, me, SLOT, LOSSES)
        for holds in _copied(node, mine, by_disk):
            yield f"{me.disk} copies", changed(after, node._replace(holds=holds))


def _copied(
    node: Node, source: ReplicaSet | None, by_disk: dict[str, Node]
) -> set[bool]:
    if source is None:
        return {node.holds}
    there = [by_disk[m.disk] for m in source.members if m.disk in by_disk]
    return {
        node.holds or any(one.holds for one in quorum)
        for quorum in combinations(there, source.read)
    }


def writes(world: World) -> Iterator[tuple[str, World]]:
    """Count the record on the least that a quorum takes."""
    if world.counted:
        return
    there = {node.member.disk: node for node in running(world)}
    sets = replica_sets(world.view, SLOT, LOSSES)
    disks = sorted({m.disk for s in sets for m in s.members} & there.keys())
    for size in range(LOSSES + 1, len(disks) + 1):
        for some in combinations(disks, size):
            if not all(s.written(set(some)) for s in sets):
                continue
            after = world._replace(counted=True)
            for disk in some:
                after = changed(after, there[disk]._replace(holds=True))
            yield f"{some} hold the record", after


def system_steps(world: World, propose: Propose) -> list[tuple[str, World]]:
    steps = list(writes(world))
    if world.store_away:
        return steps
    views = proposals(world, propose)
    steps += [(f"proposed {view}", world._replace(view=view)) for view in views]
    return steps + list(copies(world))


def settled(world: World, propose: Propose) -> bool:
    if world.store_away or proposals(world, propose):
        return False
    return next(copies(world), None) is None


# The environment


def spend(world: World, kind: str) -> World:
    return world._replace(left=world.left._replace(**{kind: _left(world, kind) - 1}))


def _left(world: World, kind: str) -> int:
    count: int = getattr(world.left, kind)
    return count


def losses(world: World) -> Iterator[tuple[str, World]]:
    """Lose one more machine, if that is tolerated."""
    if sum(node.lost for node in world.nodes) >= LOSSES:
        return
    for node in running(world):
        kinds = {
            "gone": node._replace(life=Life.GONE, lost=True),
            "aways": node._replace(life=Life.AWAY, lost=True),
            "wipes": node._replace(wipes=node.wipes + 1, holds=False, lost=True),
        }
        for kind, after in kinds.items():
            if _left(world, kind):
                yield f"{node.name}: {kind}", spend(changed(world, after), kind)


def returns(world: World) -> Iterator[tuple[str, World]]:
    for node in world.nodes:
        if node.life is Life.AWAY:
            yield f"{node.name} is back", changed(world, node._replace(life=Life.RUNS))


def planned(world: World) -> Iterator[tuple[str, World]]:
    """Add an instance, empty one, take an emptied one away, stop the store."""
    if _left(world, "newcomers"):
        fresh = Node(NAMES[len(world.nodes)])
        yield (
            "a newcomer",
            spend(world._replace(nodes=(*world.nodes, fresh)), "newcomers"),
        )
    if _left(world, "outages") and not world.store_away:
        yield "the store is away", spend(world._replace(store_away=True), "outages")
    if world.store_away:
        yield "the store is back", world._replace(store_away=False)
    if _left(world, "emptied"):
        for node in running(world):
            retiring = world.retiring | {node.name}
            yield (
                f"{node.name} is to be emptied",
                spend(world._replace(retiring=retiring), "emptied"),
            )
    listed = {m.name for m in (*world.view.members, *world.view.old)}
    for node in running(world):
        if node.name in world.retiring - listed:
            gone = node._replace(life=Life.GONE, lost=False)
            yield f"{node.name} is emptied and gone", changed(world, gone)


def settle(world: World) -> World:
    """Let machines count no longer as lost, as far as everything has settled."""
    gone = sum(node.life is Life.GONE and node.lost for node in world.nodes)
    listed = {m.name for m in world.view.members}
    newcomers = len(listed - set(NAMES[:FOUNDERS]))
    nodes = tuple(
        node._replace(lost=node.lost and not _regained(node, gone <= newcomers))
        for node in world.nodes
    )
    return world._replace(nodes=nodes)


def _regained(node: Node, has_successor: bool) -> bool:
    return node.life is Life.RUNS or (node.life is Life.GONE and has_successor)


def steps_of(world: World, propose: Propose) -> list[tuple[str, World]]:
    steps = system_steps(world, propose)
    steps += [*losses(world), *returns(world), *planned(world)]
    if settled(world, propose):
        steps.append(("settled", settle(world)))
    return [(label, after) for label, after in steps if after != world]


# What must hold


def record_is_seen(world: World) -> bool:
    """Check that no read quorum of running members misses a record that counted."""
    if not world.counted:
        return True
    without = {node.member.disk for node in running(world) if not node.holds}
    sets = replica_sets(world.view, SLOT, LOSSES)
    return not all(replicas.readable(without) for replicas in sets)


def is_served(world: World, propose: Propose) -> bool:
    """Check that the running members are quorums whenever everything has settled.

    With t instances or fewer no list can hold t + 1 copies: writes wait for the next.
    """
    staying = [node for node in running(world) if node.name not in world.retiring]
    if len(staying) <= LOSSES or not settled(world, propose):
        return True
    there = {node.member.disk for node in running(world)}
    sets = [
        replicas
        for slot in range(SLOTS)
        for replicas in replica_sets(world.view, slot, LOSSES)
    ]
    return all(s.written(there) and s.readable(there) for s in sets)


FOUNDERS: Final = 3


def check(propose: Propose, bounds: Bounds) -> dict[str, Any]:
    def invariant(fields: dict[str, Any]) -> bool:
        world = World(**fields)
        assert record_is_seen(world), f"a record is missed: {world}"
        assert is_served(world, propose), f"no quorum lives: {world}"
        return True

    protocol = Protocol(
        name="keepers",
        candidate=False,
        fields=World._fields,
        initial=initial_world(bounds, FOUNDERS),
        transitions=lambda state: steps_of(World(*state), propose),
        invariants={"records are seen and members are quorums": invariant},
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


# Those under the switch take some minutes.
SEARCHES = {
    "emptied, replaced, one disk lost": Bounds(gone=1, newcomers=1, wipes=1, emptied=1),
    "replaced twice": Bounds(gone=2, newcomers=2),
    "away, and a disk lost beside an outage": Bounds(
        aways=1, wipes=1, emptied=1, outages=1
    ),
}
if os.environ.get("MODEL_ALL"):
    SEARCHES["replaced twice, two disks lost"] = Bounds(gone=2, newcomers=2, wipes=2)
    SEARCHES["emptied twice, replaced, added"] = Bounds(gone=1, newcomers=2, emptied=2)
    SEARCHES["emptied twice, two disks lost"] = Bounds(wipes=2, newcomers=1, emptied=2)
    SEARCHES["everything"] = Bounds(
        gone=1, newcomers=1, wipes=1, aways=1, emptied=1, outages=1
    )


@pytest.mark.parametrize("name", SEARCHES)
def test_no_sequence_ends_service_or_loses_a_record(name: str) -> None:
    result = check(next_view, SEARCHES[name])
    print(f"{name}: {result['reachable_states']} states")
    assert all(outcome["holds"] for outcome in result["properties"].values())


def never_drops(view: View, wishes: Wishes, losses: int) -> View | None:
    """Leave a silent member in a list that has no more than 2t + 1."""
    if len(view.members) <= 2 * losses + 1:
        wishes = wishes._replace(unresponsive=frozenset())
    return next_view(view, wishes, losses)


def drops_too_early(view: View, wishes: Wishes, losses: int) -> View | None:
    """End a change before those that stay have copied."""
    if view.old:
        return View(view.number + 1, view.members)
    return next_view(view, wishes, losses)


BROKEN: Final[dict[str, Propose]] = {
    "no quorum lives": never_drops,
    "a record is missed": drops_too_early,
}


@pytest.mark.parametrize("symptom", BROKEN)
def test_broken_variant_is_caught(symptom: str) -> None:
    bounds = SEARCHES["emptied, replaced, one disk lost"]
    with pytest.raises(ValueError, match=symptom):
        check(BROKEN[symptom], bounds)
