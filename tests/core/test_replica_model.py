"""Model checking of the replication protocol with the shipped transitions.

A state holds the replicas of three processes, their logs (as tuples of entry
numbers), the row in the key-value service, compare-and-swaps under way and messages
under way.  Messages may be lost, doubled, delayed and reordered: a message stays in
the state after delivery and may be delivered again or never.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from minicheck import Protocol, check_safety

from wisteriastair.core import replica as rp
from wisteriastair.core.replica import Replica, Role, SlotRow

MEMBERS = ("a", "b", "c")
# Larger bounds than the default take minutes; docs/guarantees.md names those explored.
MAX_EPOCH = int(os.environ.get("MODEL_EPOCHS", "3"))
MAX_ENTRIES = int(os.environ.get("MODEL_ENTRIES", "1"))
MAX_CRASHES = 1
MAX_STATES = 3_000_000


class Node(NamedTuple):
    """One process: its replica and the entries it holds."""

    replica: Replica
    log: tuple[int, ...]


class World(NamedTuple):
    """The whole system."""

    nodes: tuple[Node | None, ...]
    row: SlotRow
    swaps: frozenset[tuple[SlotRow, int]]
    messages: frozenset[tuple[Any, ...]]
    released: tuple[int, ...]
    written: int
    crashes: int


class Rules(NamedTuple):
    """The transitions under test; a broken variant replaces one of them."""

    advance: Callable[..., Replica] = rp.acknowledged
    receive: Callable[..., tuple[Replica, int]] = rp.receive_entries
    takeover: Callable[[Replica], SlotRow | None] = rp.takeover_row
    observe: Callable[[Replica, SlotRow], Replica] = rp.observe_row
    name_learner: Callable[[Replica], Replica] = rp.propose_learner
    old_epochs_matter: bool = False


def initial_world() -> World:
    row = SlotRow(0, "a", "b", 1, fresh=True)
    nodes = tuple(Node(rp.observe_row(Replica(me=m, slot=0), row), ()) for m in MEMBERS)
    return World(nodes, row, frozenset(), frozenset(), (), 0, 0)


def put(world: World, index: int, node: Node | None) -> World:
    nodes = list(world.nodes)
    nodes[index] = node
    return world._replace(nodes=tuple(nodes))


def release(world: World, node: Node) -> World:
    """Record the entries a carrier lets take effect; they must survive."""
    done = node.log[: node.replica.committed]
    if node.replica.role is Role.PRIMARY and len(done) > len(world.released):
        return world._replace(released=done)
    return world


def proposals(world: World, index: int, node: Node, rules: Rules) -> list[Any]:
    steps = []
    wanted = rules.takeover(node.replica)
    if wanted is not None and wanted.epoch <= MAX_EPOCH:
        after = world._replace(swaps=world.swaps | {(wanted, node.replica.epoch)})
        steps.append((f"{node.replica.me} takeover", after))
    for name, propose in (
        ("alone", rp.propose_alone),
        ("name learner", rules.name_learner),
        ("hand over", rp.propose_handover),
    ):
        changed = propose(node.replica)
        row = changed.proposal
        if changed == node.replica or row is None or row.epoch > MAX_EPOCH:
            continue
        after = put(world, index, node._replace(replica=changed))
        after = after._replace(swaps=after.swaps | {(row, node.replica.epoch)})
        steps.append((f"{node.replica.me} {name}", after))
    return steps


def local_steps(world: World, index: int, node: Node, rules: Rules) -> list[Any]:
    replica = node.replica
    steps = proposals(world, index, node, rules)
    if world.row.epoch > replica.epoch:
        seen = rules.observe(replica, world.row)
        log = () if seen.role is Role.NONE else node.log[: seen.last]
        after = put(world, index, Node(seen, log))
        steps.append((f"{replica.me} sees row", release(after, Node(seen, log))))
    if replica.role is not Role.PRIMARY:
        return steps
    if rp.may_append(replica) and world.written < MAX_ENTRIES:
        entry = world.written + 1
        changed = Node(rp.append(replica), (*node.log, entry))
        after = put(world, index, changed)._replace(written=entry)
        steps.append((f"{replica.me} appends {entry}", after))
    steps += sends(world, index, node)
    return steps


def sends(world: World, index: int, node: Node) -> list[Any]:
    replica = node.replica
    steps = []
    if replica.peer:
        message = ("append", replica.me, replica.peer, replica.epoch, 0, node.log)
        steps.append((f"{replica.me} sends log", send(world, message)))
    if replica.learner:
        target = (replica.me, replica.learner, replica.epoch, replica.session)
        steps.append((f"{replica.me} copies", send(world, ("copy", *target, node.log))))
        if replica.learnt >= 0:
            steps.append(
                (f"{replica.me} feeds", send(world, ("append", *target, node.log)))
            )
    elif replica.proposal is None:
        for member in MEMBERS:
            if member not in (replica.me, replica.peer) and replica.session < 1:
                changed = rp.start_copy(replica, member)
                after = put(world, index, node._replace(replica=changed))
                steps.append((f"{replica.me} chooses {member}", after))
    return steps


def send(world: World, message: tuple[Any, ...]) -> World:
    return world._replace(messages=world.messages | {message})


def deliver(world: World, message: tuple[Any, ...], rules: Rules) -> World:
    kind, sender, receiver, epoch, session, payload = message
    index = MEMBERS.index(receiver)
    node = world.nodes[index]
    if node is None:
        return world
    replica = node.replica
    if kind == "ack":
        changed = rules.advance(
            replica, sender=sender, epoch=epoch, session=session, last=payload
        )
        after = Node(changed, node.log)
        return release(put(world, index, after), after)
    ack = ("ack", receiver, sender, epoch, session)
    if kind == "copy":
        changed = rp.learn(
            replica, sender=sender, epoch=epoch, session=session, last=len(payload)
        )
        if changed == replica or (replica.role is Role.LEARNER and payload != node.log):
            return world
        world = put(world, index, Node(changed, payload))
        return send(world, (*ack, len(payload)))
    changed, taken = rules.receive(
        replica,
        sender=sender,
        epoch=epoch,
        session=session,
        first=1,
        count=len(payload),
    )
    if taken < 0:
        return world
    log = payload if taken else node.log
    return send(put(world, index, Node(changed, log)), (*ack, changed.last))


def steps_of(world: World, rules: Rules) -> list[Any]:
    steps: list[Any] = []
    for index, node in enumerate(world.nodes):
        if node is None:
            continue
        steps += local_steps(world, index, node, rules)
        if world.crashes < MAX_CRASHES:
            dead = put(world, index, None)._replace(crashes=world.crashes + 1)
            steps.append((f"{node.replica.me} dies", dead))
    for row, expected in world.swaps:
        if world.row.epoch == expected:
            steps.append((f"swap {row}", world._replace(row=row)))
    for message in world.messages:
        steps.append((f"deliver {message}", deliver(world, message, rules)))
    pruned = [(label, prune(after, rules)) for label, after in steps]
    return [(label, after) for label, after in pruned if after != world]


def prune(world: World, rules: Rules) -> World:
    """Drop what can never have an effect again, to keep the search small.

    Epochs only grow, so a message of an epoch that its receiver has left and a swap
    that expects a row already replaced are no-ops for ever.
    """
    messages = frozenset(m for m in world.messages if matters(world, m, rules))
    swaps = frozenset(s for s in world.swaps if s[1] >= world.row.epoch)
    return world._replace(messages=messages, swaps=swaps)


def matters(world: World, message: tuple[Any, ...], rules: Rules) -> bool:
    kind, sender, receiver, epoch, session, payload = message
    node = world.nodes[MEMBERS.index(receiver)]
    if node is None:
        return False
    if node.replica.epoch > epoch:
        return rules.old_epochs_matter and kind == "append"
    if kind != "ack" or node.replica.epoch < epoch:
        return True
    known = node.replica.acked if session == 0 else node.replica.learnt
    return bool(payload > known)


def history_survives(fields: dict[str, Any]) -> bool:
    """Check that what was released is in the log of whoever may act on it."""
    world = World(**fields)
    released = world.released
    for node in world.nodes:
        if node is None or node.replica.role is not Role.PRIMARY:
            continue
        current = node.replica.epoch == world.row.epoch
        if current and node.log[: len(released)] != released:
            return False
    return True


def log_recoverable(fields: dict[str, Any]) -> bool:
    """Check that a living member that the table names holds all released entries."""
    world = World(**fields)
    named = (world.row.primary, world.row.standby, world.row.former)
    logs = [n.log for n in world.nodes if n is not None and n.replica.me in named]
    done = len(world.released)
    return any(log[:done] == world.released for log in logs)


def no_two_commit(fields: dict[str, Any]) -> bool:
    """Two carriers never release different entries at the same position."""
    world = World(**fields)
    for node in world.nodes:
        if node is None or node.replica.role is not Role.PRIMARY:
            continue
        done = node.log[: node.replica.committed]
        if done != world.released[: len(done)]:
            return False
    return True


def holder_exists(fields: dict[str, Any]) -> bool:
    """Check that the carrier the table names holds the log, if it knows."""
    world = World(**fields)
    for node in world.nodes:
        if node is None or node.replica.me != world.row.primary:
            continue
        knows = node.replica.epoch == world.row.epoch
        if knows and node.replica.role is not Role.PRIMARY:
            return False
    return True


Invariant = Callable[[dict[str, Any]], bool]

INVARIANTS: dict[str, Invariant] = {
    "history survives": history_survives,
    "log recoverable": log_recoverable,
    "no two commit": no_two_commit,
    "holder exists": holder_exists,
}


class Violated(Exception):
    """Ends the search of a broken variant at its first counterexample."""


def check(rules: Rules, invariants: dict[str, Invariant]) -> dict[str, Any]:
    protocol = Protocol(
        name="replica",
        candidate=False,
        fields=World._fields,
        initial=initial_world(),
        transitions=lambda state: steps_of(World(*state), rules),
        invariants=invariants,
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


def or_stop(name: str, holds: Invariant) -> Invariant:
    def checked(fields: dict[str, Any]) -> bool:
        if not holds(fields):
            raise Violated(name)
        return True

    return checked


def test_shipped_protocol_keeps_every_released_entry() -> None:
    """No interleaving within the bounds loses or splits what was released."""
    result = check(Rules(), INVARIANTS)
    for name, outcome in result["properties"].items():
        assert outcome["holds"], (name, outcome["counterexample"])


def commit_without_standby(replica: Replica, **ack: Any) -> Replica:
    changed = rp.acknowledged(replica, **ack)
    if changed.role is Role.PRIMARY:
        return changed._replace(committed=changed.last)
    return changed


def acknowledge_any_epoch(replica: Replica, **entries: Any) -> tuple[Replica, int]:
    if replica.role is Role.PRIMARY and entries["epoch"] < replica.epoch:
        return replica, 0
    return rp.receive_entries(replica, **entries)


def former_drops_its_copy(replica: Replica, row: SlotRow) -> Replica:
    return rp.observe_row(replica, row._replace(former=rp.NO_MEMBER))


def anyone_takes_over(replica: Replica) -> SlotRow | None:
    if replica.role is Role.LEARNER:
        return rp.takeover_row(replica._replace(role=Role.STANDBY))
    return rp.takeover_row(replica)


def name_before_copy(replica: Replica) -> Replica:
    return rp.propose_learner(replica._replace(learnt=replica.last))


BROKEN = {
    "commits without the standby": Rules(advance=commit_without_standby),
    "ignores the epoch": Rules(receive=acknowledge_any_epoch, old_epochs_matter=True),
    "former member drops its copy": Rules(observe=former_drops_its_copy),
    "learner takes over": Rules(takeover=anyone_takes_over),
    "names before the copy": Rules(name_learner=name_before_copy),
}


@pytest.mark.parametrize("variant", sorted(BROKEN))
def test_broken_variant_gives_counterexample(
    variant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The check is able to fail: each missing safeguard is found."""
    stopping = {name: or_stop(name, holds) for name, holds in INVARIANTS.items()}
    monkeypatch.setattr(f"{__name__}.MAX_ENTRIES", 2)
    with pytest.raises(ValueError, match="raised on state") as caught:
        check(BROKEN[variant], stopping)
    assert isinstance(caught.value.__cause__, Violated)
