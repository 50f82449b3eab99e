"""Model checking of the replication protocol with the production transitions.

A state consists of the replicas of three processes, their logs (as tuples of entry
numbers), the row in the key-value service, and the compare-and-swaps and messages in
flight.  Messages may be lost, duplicated, delayed and reordered: a message stays in
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
    """One process: its replica and the entries of its log."""

    replica: Replica
    log: tuple[int, ...]


class World(NamedTuple):
    """State of the whole system."""

    nodes: tuple[Node | None, ...]
    row: SlotRow
    swaps: frozenset[tuple[SlotRow, int]]
    messages: frozenset[tuple[Any, ...]]
    released: tuple[int, ...]
    written: int
    crashes: int


class Rules(NamedTuple):
    """The transitions under test; a broken variant replaces one of them."""

    advance: Callable[..., Replica] = rp.receive_ack
    receive: Callable[..., tuple[Replica, int]] = rp.receive_entries
    takeover: Callable[[Replica], SlotRow | None] = rp.takeover_row
    observe: Callable[[Replica, SlotRow], Replica] = rp.observe_row
    propose_learner: Callable[[Replica], Replica] = rp.propose_learner
    old_epochs_matter: bool = False


def initial_world() -> World:
    row = SlotRow(0, "a", "b", 1, fresh=True)
    nodes = tuple(Node(rp.observe_row(Replica(me=m, slot=0), row), ()) for m in MEMBERS)
    return World(nodes, row, frozenset(), frozenset(), (), 0, 0)


def replace_node(world: World, index: int, node: Node | None) -> World:
    nodes = list(world.nodes)
    nodes[index] = node
    return world._replace(nodes=tuple(nodes))


def release(world: World, node: Node) -> World:
    """Record the entries whose effects a primary releases; they must survive."""
    done = node.log[: node.replica.committed]
    if node.replica.role is Role.PRIMARY and len(done) > len(world.released):
        return world._replace(released=done)
    return world


def proposal_steps(world: World, index: int, node: Node, rules: Rules) -> list[Any]:
    steps = []
    wanted = rules.takeover(node.replica)
    if wanted is not None and wanted.epoch <= MAX_EPOCH:
        after = world._replace(swaps=world.swaps | {(wanted, node.replica.epoch)})
        steps.append((f"{node.replica.me} takeover", after))
    for name, propose in (
        ("alone", rp.propose_alone),
        ("propose learner", rules.propose_learner),
        ("hand over", rp.propose_handover),
    ):
        changed = propose(node.replica)
        row = changed.proposal
        if changed == node.replica or row is None or row.epoch > MAX_EPOCH:
            continue
        after = replace_node(world, index, node._replace(replica=changed))
        after = after._replace(swaps=after.swaps | {(row, node.replica.epoch)})
        steps.append((f"{node.replica.me} {name}", after))
    return steps


def local_steps(world: World, index: int, node: Node, rules: Rules) -> list[Any]:
    replica = node.replica
    steps = proposal_steps(world, index, node, rules)
    if world.row.epoch > replica.epoch:
        seen = rules.observe(replica, world.row)
        log = () if seen.role is Role.NONE else node.log[: seen.last]
        after = replace_node(world, index, Node(seen, log))
        steps.append((f"{replica.me} observes row", release(after, Node(seen, log))))
    if replica.role is not Role.PRIMARY:
        return steps
    if rp.may_append(replica) and world.written < MAX_ENTRIES:
        entry = world.written + 1
        changed = Node(rp.append(replica), (*node.log, entry))
        after = replace_node(world, index, changed)._replace(written=entry)
        steps.append((f"{replica.me} appends {entry}", after))
    steps += sending_steps(world, index, node)
    return steps


def sending_steps(world: World, index: int, node: Node) -> list[Any]:
    replica = node.replica
    steps = []
    if replica.peer:
        message = ("append", replica.me, replica.peer, replica.epoch, 0, node.log)
        steps.append((f"{replica.me} sends log", send(world, message)))
    if replica.learner:
        target = (replica.me, replica.learner, replica.epoch, replica.session)
        steps.append((f"{replica.me} copies", send(world, ("copy", *target, node.log))))
        if replica.learner_acked >= 0:
            steps.append(
                (
                    f"{replica.me} sends entries to learner",
                    send(world, ("append", *target, node.log)),
                )
            )
    elif replica.proposal is None:
        for member in MEMBERS:
            if member not in (replica.me, replica.peer) and replica.session < 1:
                changed = rp.start_copy(replica, member)
                after = replace_node(world, index, node._replace(replica=changed))
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
        return release(replace_node(world, index, after), after)
    ack = ("ack", receiver, sender, epoch, session)
    if kind == "copy":
        changed = rp.become_learner(
            replica, sender=sender, epoch=epoch, session=session, last=len(payload)
        )
        if changed == replica or (replica.role is Role.LEARNER and payload != node.log):
            return world
        world = replace_node(world, index, Node(changed, payload))
        return send(world, (*ack, len(payload)))
    changed, accepted_count = rules.receive(
        replica,
        sender=sender,
        epoch=epoch,
        session=session,
        first=1,
        count=len(payload),
    )
    if accepted_count < 0:
        return world
    log = payload if accepted_count else node.log
    return send(replace_node(world, index, Node(changed, log)), (*ack, changed.last))


def steps_of(world: World, rules: Rules) -> list[Any]:
    steps: list[Any] = []
    for index, node in enumerate(world.nodes):
        if node is None:
            continue
        steps += local_steps(world, index, node, rules)
        if world.crashes < MAX_CRASHES:
            crashed = replace_node(world, index, None)._replace(
                crashes=world.crashes + 1
            )
            steps.append((f"{node.replica.me} crashes", crashed))
    for row, expected in world.swaps:
        if world.row.epoch == expected:
            steps.append((f"swap {row}", world._replace(row=row)))
    for message in world.messages:
        steps.append((f"deliver {message}", deliver(world, message, rules)))
    pruned = [(label, prune(after, rules)) for label, after in steps]
    return [(label, after) for label, after in pruned if after != world]


def prune(world: World, rules: Rules) -> World:
    """Drop messages and swaps without any further effect, to reduce the search.

    Epochs only increase, so a message of an epoch older than that of its receiver and
    a swap that expects a replaced row never have an effect again.
    """
    messages = frozenset(m for m in world.messages if can_have_effect(world, m, rules))
    swaps = frozenset(s for s in world.swaps if s[1] >= world.row.epoch)
    return world._replace(messages=messages, swaps=swaps)


def can_have_effect(world: World, message: tuple[Any, ...], rules: Rules) -> bool:
    kind, sender, receiver, epoch, session, payload = message
    node = world.nodes[MEMBERS.index(receiver)]
    if node is None:
        return False
    if node.replica.epoch > epoch:
        return rules.old_epochs_matter and kind == "append"
    if kind != "ack" or node.replica.epoch < epoch:
        return True
    known = node.replica.standby_acked if session == 0 else node.replica.learner_acked
    return bool(payload > known)


def released_entries_survive(fields: dict[str, Any]) -> bool:
    """Check that the log of the current primary contains all released entries."""
    world = World(**fields)
    released = world.released
    for node in world.nodes:
        if node is None or node.replica.role is not Role.PRIMARY:
            continue
        current = node.replica.epoch == world.row.epoch
        if current and node.log[: len(released)] != released:
            return False
    return True


def log_is_recoverable(fields: dict[str, Any]) -> bool:
    """Check that a live member named by the table has all released entries."""
    world = World(**fields)
    named = (world.row.primary, world.row.standby, world.row.former)
    logs = [n.log for n in world.nodes if n is not None and n.replica.me in named]
    done = len(world.released)
    return any(log[:done] == world.released for log in logs)


def commits_agree(fields: dict[str, Any]) -> bool:
    """Check that no primaries commit different entries at the same position."""
    world = World(**fields)
    for node in world.nodes:
        if node is None or node.replica.role is not Role.PRIMARY:
            continue
        done = node.log[: node.replica.committed]
        if done != world.released[: len(done)]:
            return False
    return True


def named_primary_has_log(fields: dict[str, Any]) -> bool:
    """Check that the primary named by the table has the log if it has seen the row."""
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
    "released entries survive": released_entries_survive,
    "log is recoverable": log_is_recoverable,
    "commits agree": commits_agree,
    "named primary has log": named_primary_has_log,
}


class InvariantViolated(Exception):
    """Raised to end the search of a broken variant at its first counterexample."""


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


def stop_on_violation(name: str, holds: Invariant) -> Invariant:
    def checked(fields: dict[str, Any]) -> bool:
        if not holds(fields):
            raise InvariantViolated(name)
        return True

    return checked


def test_no_released_entry_is_lost() -> None:
    """No interleaving within the bounds loses a released entry or forks the log."""
    result = check(Rules(), INVARIANTS)
    for name, outcome in result["properties"].items():
        assert outcome["holds"], (name, outcome["counterexample"])


def commit_without_standby(replica: Replica, **ack: Any) -> Replica:
    changed = rp.receive_ack(replica, **ack)
    if changed.role is Role.PRIMARY:
        return changed._replace(committed=changed.last)
    return changed


def acknowledge_any_epoch(replica: Replica, **entries: Any) -> tuple[Replica, int]:
    if replica.role is Role.PRIMARY and entries["epoch"] < replica.epoch:
        return replica, 0
    return rp.receive_entries(replica, **entries)


def drop_former_copy(replica: Replica, row: SlotRow) -> Replica:
    return rp.observe_row(replica, row._replace(former=rp.NO_MEMBER))


def take_over_as_learner(replica: Replica) -> SlotRow | None:
    if replica.role is Role.LEARNER:
        return rp.takeover_row(replica._replace(role=Role.STANDBY))
    return rp.takeover_row(replica)


def propose_before_copy(replica: Replica) -> Replica:
    return rp.propose_learner(replica._replace(learner_acked=replica.last))


BROKEN = {
    "commits without the standby": Rules(advance=commit_without_standby),
    "ignores the epoch": Rules(receive=acknowledge_any_epoch, old_epochs_matter=True),
    "former member drops its copy": Rules(observe=drop_former_copy),
    "learner takes over": Rules(takeover=take_over_as_learner),
    "proposes learner before the copy": Rules(propose_learner=propose_before_copy),
}


@pytest.mark.parametrize("variant", sorted(BROKEN))
def test_broken_variant_gives_counterexample(
    variant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The check finds a counterexample for each missing safeguard."""
    stopping = {
        name: stop_on_violation(name, holds) for name, holds in INVARIANTS.items()
    }
    monkeypatch.setattr(f"{__name__}.MAX_ENTRIES", 2)
    with pytest.raises(ValueError, match="raised on state") as caught:
        check(BROKEN[variant], stopping)
    assert isinstance(caught.value.__cause__, InvariantViolated)
