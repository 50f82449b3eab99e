"""Model checking of ledger membership while machines are lost, replaced and added.

`test_ledger_model` explores delayed messages within three views.  Here a view reaches
all members at once, and the search covers whole sequences instead: permanently lost
members, successors, additions, members that are emptied, disks lost at any step,
members that are temporarily disconnected, and a platform store that does not answer.

The environment respects the tolerance: at most `MAX_FAILURES` machines are lost at a
time.  A machine that was disconnected or lost its disk counts as lost until all changes
have settled; a permanently lost one, until they have settled and its successor is a
member.

A record that counted must be seen by every read quorum at every step.  Whenever all
changes have settled, the live members must contain quorums of the list: a list without
a quorum is never repaired, and every turn would be refused permanently.
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
    MembershipObservation,
    ReplicaSet,
    View,
    copy_sources,
    next_view,
    replica_sets,
)

MAX_FAILURES: Final = 1
SLOT: Final = 0
MAX_STATES: Final = 3_000_000
NAMES: Final = "abcdef"
Propose = Callable[[View, MembershipObservation, int], View | None]


class Liveness(Enum):
    """State of an instance."""

    RUNNING = 0
    DISCONNECTED = 1
    LOST = 2


class Node(NamedTuple):
    """One instance; its disk id is its name and the number of disks that it lost."""

    name: str
    disk_losses: int = 0
    liveness: Liveness = Liveness.RUNNING
    has_record: bool = False
    counts_as_lost: bool = False

    @property
    def member(self) -> Member:
        disk = f"{self.name}{self.disk_losses}"
        return Member(self.name, disk, f"{self.name}:1", f"domain-{self.name}")


class SystemState(NamedTuple):
    """The whole system, and one record."""

    nodes: tuple[Node, ...]
    view: View
    retiring: frozenset[str]
    is_counted: bool
    store_unavailable: bool
    remaining: Bounds


class Bounds(NamedTuple):
    """Number of events of each kind that may still occur."""

    permanent_losses: int = 0
    additions: int = 0
    disk_losses: int = 0
    disconnections: int = 0
    retirements: int = 0
    outages: int = 0


def initial_state(bounds: Bounds, initial_count: int) -> SystemState:
    nodes = tuple(Node(name) for name in NAMES[:initial_count])
    view = View(0, tuple(node.member for node in nodes))
    return SystemState(nodes, view, frozenset(), False, False, bounds)


def running(state: SystemState) -> list[Node]:
    return [node for node in state.nodes if node.liveness is Liveness.RUNNING]


def with_node(state: SystemState, node: Node) -> SystemState:
    nodes = tuple(node if one.name == node.name else one for one in state.nodes)
    return state._replace(nodes=nodes)


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
    observation = MembershipObservation(me, disks, frozenset(listed - disks), retiring)
    found = propose(view, observation, MAX_FAILURES)
    # No node has an old view here, so numbers have no effect.  Their growth would make
    # the state space infinite.
    return None if found is None else found._replace(number=0)


def proposals(state: SystemState, propose: Propose) -> set[View]:
    disks = frozenset(node.member.disk for node in running(state))
    found = {
        proposal(propose, state.view, node.member, disks, state.retiring)
        for node in running(state)
    }
    return {view for view in found if view is not None}


@cache
def copy_source_sets(view: View, me: Member) -> frozenset[ReplicaSet]:
    found = (copy_sources(view, me, slot, MAX_FAILURES) for slot in range(SLOTS))
    return frozenset(replicas for replicas in found if replicas is not None)


def copy_steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Let each member copy, from any read quorum."""
    by_disk = {node.member.disk: node for node in running(state)}
    for node in running(state):
        me = node.member
        source_sets = copy_source_sets(state.view, me)
        if not source_sets or me.disk in state.view.synced:
            continue
        if not all(replicas.has_read_quorum(set(by_disk)) for replicas in source_sets):
            continue
        synced = tuple(sorted((*state.view.synced, me.disk)))
        after = state._replace(view=state.view._replace(synced=synced))
        source = copy_sources(state.view, me, SLOT, MAX_FAILURES)
        for has_record in _records_after_copy(node, source, by_disk):
            yield (
                f"{me.disk} copies",
                with_node(after, node._replace(has_record=has_record)),
            )


def _records_after_copy(
    node: Node, source: ReplicaSet | None, by_disk: dict[str, Node]
) -> set[bool]:
    if source is None:
        return {node.has_record}
    live = [by_disk[m.disk] for m in source.members if m.disk in by_disk]
    return {
        node.has_record or any(one.has_record for one in quorum)
        for quorum in combinations(live, source.read)
    }


def write_steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Let the record count with each write quorum."""
    if state.is_counted:
        return
    live = {node.member.disk: node for node in running(state)}
    sets = replica_sets(state.view, SLOT, MAX_FAILURES)
    disks = sorted({m.disk for s in sets for m in s.members} & live.keys())
    for size in range(MAX_FAILURES + 1, len(disks) + 1):
        for quorum in combinations(disks, size):
            if not all(s.has_write_quorum(set(quorum)) for s in sets):
                continue
            after = state._replace(is_counted=True)
            for disk in quorum:
                after = with_node(after, live[disk]._replace(has_record=True))
            yield f"{quorum} hold the record", after


def system_steps(state: SystemState, propose: Propose) -> list[tuple[str, SystemState]]:
    steps = list(write_steps(state))
    if state.store_unavailable:
        return steps
    views = proposals(state, propose)
    steps += [(f"proposed {view}", state._replace(view=view)) for view in views]
    return steps + list(copy_steps(state))


def settled(state: SystemState, propose: Propose) -> bool:
    if state.store_unavailable or proposals(state, propose):
        return False
    return next(copy_steps(state), None) is None


# The environment


def consume_event(state: SystemState, kind: str) -> SystemState:
    return state._replace(
        remaining=state.remaining._replace(**{kind: _remaining(state, kind) - 1})
    )


def _remaining(state: SystemState, kind: str) -> int:
    count: int = getattr(state.remaining, kind)
    return count


def loss_steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Lose one more machine, if that is tolerated."""
    if sum(node.counts_as_lost for node in state.nodes) >= MAX_FAILURES:
        return
    for node in running(state):
        kinds = {
            "permanent_losses": node._replace(
                liveness=Liveness.LOST, counts_as_lost=True
            ),
            "disconnections": node._replace(
                liveness=Liveness.DISCONNECTED, counts_as_lost=True
            ),
            "disk_losses": node._replace(
                disk_losses=node.disk_losses + 1, has_record=False, counts_as_lost=True
            ),
        }
        for kind, after in kinds.items():
            if _remaining(state, kind):
                yield (
                    f"{node.name}: {kind}",
                    consume_event(with_node(state, after), kind),
                )


def return_steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    for node in state.nodes:
        if node.liveness is Liveness.DISCONNECTED:
            yield (
                f"{node.name} is back",
                with_node(state, node._replace(liveness=Liveness.RUNNING)),
            )


def planned_steps(state: SystemState) -> Iterator[tuple[str, SystemState]]:
    """Add an instance, empty one, remove an emptied one, stop or start the store."""
    if _remaining(state, "additions"):
        new_node = Node(NAMES[len(state.nodes)])
        yield (
            "an instance is added",
            consume_event(state._replace(nodes=(*state.nodes, new_node)), "additions"),
        )
    if _remaining(state, "outages") and not state.store_unavailable:
        yield (
            "the store is unavailable",
            consume_event(state._replace(store_unavailable=True), "outages"),
        )
    if state.store_unavailable:
        yield "the store is back", state._replace(store_unavailable=False)
    if _remaining(state, "retirements"):
        for node in running(state):
            retiring = state.retiring | {node.name}
            yield (
                f"{node.name} is to be emptied",
                consume_event(state._replace(retiring=retiring), "retirements"),
            )
    listed = {m.name for m in (*state.view.members, *state.view.old)}
    for node in running(state):
        if node.name in state.retiring - listed:
            removed = node._replace(liveness=Liveness.LOST, counts_as_lost=False)
            yield f"{node.name} is emptied and removed", with_node(state, removed)


def settle(state: SystemState) -> SystemState:
    """Stop counting machines as lost that have returned or been replaced."""
    lost_count = sum(
        node.liveness is Liveness.LOST and node.counts_as_lost for node in state.nodes
    )
    listed = {m.name for m in state.view.members}
    successor_count = len(listed - set(NAMES[:INITIAL_MEMBERS]))
    nodes = tuple(
        node._replace(
            counts_as_lost=node.counts_as_lost
            and not _has_recovered(node, lost_count <= successor_count)
        )
        for node in state.nodes
    )
    return state._replace(nodes=nodes)


def _has_recovered(node: Node, has_successor: bool) -> bool:
    return node.liveness is Liveness.RUNNING or (
        node.liveness is Liveness.LOST and has_successor
    )


def steps_of(state: SystemState, propose: Propose) -> list[tuple[str, SystemState]]:
    steps = system_steps(state, propose)
    steps += [*loss_steps(state), *return_steps(state), *planned_steps(state)]
    if settled(state, propose):
        steps.append(("settled", settle(state)))
    return [(label, after) for label, after in steps if after != state]


# Invariants


def record_is_seen(state: SystemState) -> bool:
    """Check that no read quorum of running members misses a record that counted."""
    if not state.is_counted:
        return True
    without = {node.member.disk for node in running(state) if not node.has_record}
    sets = replica_sets(state.view, SLOT, MAX_FAILURES)
    return not all(replicas.has_read_quorum(without) for replicas in sets)


def is_served(state: SystemState, propose: Propose) -> bool:
    """Check that the running members contain quorums once all changes have settled.

    With t instances or fewer no list can hold t + 1 copies: writes wait for another.
    """
    staying = [node for node in running(state) if node.name not in state.retiring]
    if len(staying) <= MAX_FAILURES or not settled(state, propose):
        return True
    live = {node.member.disk for node in running(state)}
    sets = [
        replicas
        for slot in range(SLOTS)
        for replicas in replica_sets(state.view, slot, MAX_FAILURES)
    ]
    return all(s.has_write_quorum(live) and s.has_read_quorum(live) for s in sets)


INITIAL_MEMBERS: Final = 3


def check(propose: Propose, bounds: Bounds) -> dict[str, Any]:
    def invariant(fields: dict[str, Any]) -> bool:
        state = SystemState(**fields)
        assert record_is_seen(state), f"a record is missed: {state}"
        assert is_served(state, propose), f"no live quorum: {state}"
        return True

    protocol = Protocol(
        name="keepers",
        candidate=False,
        fields=SystemState._fields,
        initial=initial_state(bounds, INITIAL_MEMBERS),
        transitions=lambda state: steps_of(SystemState(*state), propose),
        invariants={"records are seen and members are quorums": invariant},
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


# Searches with MODEL_ALL take some minutes.
SEARCHES = {
    "emptied, replaced, one disk lost": Bounds(
        permanent_losses=1, additions=1, disk_losses=1, retirements=1
    ),
    "replaced twice": Bounds(permanent_losses=2, additions=2),
    "away, and a disk lost beside an outage": Bounds(
        disconnections=1, disk_losses=1, retirements=1, outages=1
    ),
}
if os.environ.get("MODEL_ALL"):
    SEARCHES["replaced twice, two disks lost"] = Bounds(
        permanent_losses=2, additions=2, disk_losses=2
    )
    SEARCHES["emptied twice, replaced, added"] = Bounds(
        permanent_losses=1, additions=2, retirements=2
    )
    SEARCHES["emptied twice, two disks lost"] = Bounds(
        disk_losses=2, additions=1, retirements=2
    )
    SEARCHES["everything"] = Bounds(
        permanent_losses=1,
        additions=1,
        disk_losses=1,
        disconnections=1,
        retirements=1,
        outages=1,
    )


@pytest.mark.parametrize("name", SEARCHES)
def test_no_sequence_ends_service_or_loses_a_record(name: str) -> None:
    result = check(next_view, SEARCHES[name])
    print(f"{name}: {result['reachable_states']} states")
    assert all(outcome["holds"] for outcome in result["properties"].values())


def never_removes(
    view: View, observation: MembershipObservation, max_failures: int
) -> View | None:
    """Leave an unresponsive member in a list of at most 2t + 1."""
    if len(view.members) <= 2 * max_failures + 1:
        observation = observation._replace(unresponsive=frozenset())
    return next_view(view, observation, max_failures)


def ends_change_early(
    view: View, observation: MembershipObservation, max_failures: int
) -> View | None:
    """End a change before the remaining members have copied."""
    if view.old:
        return View(view.number + 1, view.members)
    return next_view(view, observation, max_failures)


BROKEN: Final[dict[str, Propose]] = {
    "no live quorum": never_removes,
    "a record is missed": ends_change_early,
}


@pytest.mark.parametrize("symptom", BROKEN)
def test_broken_variant_is_caught(symptom: str) -> None:
    bounds = SEARCHES["emptied, replaced, one disk lost"]
    with pytest.raises(ValueError, match=symptom):
        check(BROKEN[symptom], bounds)
