"""Tests of `KeeperCore`: joining, copying, removal of members, and proposals."""

from __future__ import annotations

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import Attempt, Entry, Turn
from wisteriastair.core.ledgerwire import Ping, ReplyStatus, Write, WriteReply
from wisteriastair.core.membership import Member, View, next_view

MAX_FAILURES = 1
WRITE_OP = 10_000


class Deployment:
    """Keepers, the view in the platform store, and a clock."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.view = View()
        self.cores: dict[str, KeeperCore] = {}
        self.down: set[str] = set()
        self.store_revision = 0
        for number in range(count):
            self.start(f"k{number}", "disk")

    def start(self, name: str, disk: str) -> KeeperCore:
        me = Member(name, f"{name}-{disk}", f"{name}:1", f"domain-{name}")
        core = KeeperCore(me, MAX_FAILURES, view=View(), entries=[], now=self.now)
        self.cores[me.address] = core
        return core

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            for address, core in self.cores.items():
                if address not in self.down:
                    self._run(core)

    def _run(self, core: KeeperCore) -> None:
        core.adopt(self.view, self.now, self.store_revision)
        core.tick(self.now)
        proposal = next_view(core.view, core.observation(self.now), MAX_FAILURES)
        if proposal is None and core.has_copied():
            proposal = core.view._replace(synced=(*core.view.synced, core.me.disk))
        if proposal is not None and core.view == self.view:
            self.view = proposal
            self.store_revision += 1
        self.deliver(core)

    def deliver(self, core: KeeperCore) -> None:
        batch = core.next_batch()
        if batch is not None:
            core.on_synced(batch)
        for to, message in core.drain_outbox():
            target = self.cores.get(to.partition("#")[0])
            if target is not None and to.partition("#")[0] not in self.down:
                target.receive(core.me.address, message, self.now)

    def write(self, program: str) -> int:
        """Write a record to every keeper; return how many have synced it."""
        entry = Entry(program, 60.0, {"a": Attempt(1, False)})
        synced_count = 0
        for address, core in self.cores.items():
            if address in self.down:
                continue
            core.receive(
                "relay:1#a", Write(WRITE_OP, self.view.number, entry), self.now
            )
            batch = core.next_batch()
            if batch is not None:
                core.on_synced(batch)
            for _, reply in core.drain_outbox():
                if isinstance(reply, WriteReply) and reply.op == WRITE_OP:
                    synced_count += reply.status is ReplyStatus.DONE
        return synced_count

    def names(self) -> list[str]:
        return [member.name for member in self.view.members]


def deployment_with_programs(count: int) -> Deployment:
    """Start three keepers and write a record of some programs to each."""
    deployment = Deployment(3)
    deployment.advance(5)
    for number in range(count):
        deployment.write(f"p{number}")
    return deployment


def test_first_start_ends_with_all_members_and_no_pending_change() -> None:
    deployment = Deployment(3)
    deployment.advance(5)
    assert deployment.names() == ["k0", "k1", "k2"]
    assert deployment.view.old == ()


def test_replacement_of_a_lost_disk_holds_all_records_after_the_change() -> None:
    """A keeper returns at its address with an empty disk.

    Once the change has ended, it must hold all programs written before: the next loss
    may be one of the two other disks that hold them.
    """
    deployment = Deployment(3)
    deployment.advance(5)
    for number in range(20):
        assert deployment.write(f"p{number}") == 3
    replacement = deployment.start("k1", "second")
    assert deployment.write("before it joined") == 2
    deployment.advance(3)
    assert replacement.me in deployment.view.members
    assert deployment.view.old == ()
    assert len(replacement.ledger.accounts) == 21


def test_successor_replaces_a_lost_member() -> None:
    """A machine is permanently lost and an empty one starts at another address.

    Within five seconds of its start, the successor must be a complete replica and the
    lost member must be removed: otherwise a second loss would leave slots without a
    read quorum.
    """
    deployment = deployment_with_programs(20)
    deployment.down.add("k0:1")
    deployment.advance(1)
    successor = deployment.start("k9", "disk")
    deployment.advance(4.8)
    assert deployment.names() == ["k1", "k2", "k9"]
    assert deployment.view.old == ()
    assert len(successor.ledger.accounts) == 20


def test_isolated_member_does_not_remove_the_others() -> None:
    """One keeper receives no heartbeats but still reaches the store.

    If it proposed to remove the members that it cannot reach, the ledger would lose
    all other replicas.
    """
    deployment = Deployment(4)
    deployment.advance(6)
    isolated = deployment.cores["k3:1"]
    deployment.down = {"k0:1", "k1:1", "k2:1"}
    deployment.advance(10)
    assert len(deployment.view.members) == 4
    assert isolated.observation(deployment.now).unresponsive


def test_retired_instance_leaves_without_loss_of_records() -> None:
    deployment = deployment_with_programs(20)
    for core in deployment.cores.values():
        core.retiring = frozenset({"k2"})
    deployment.advance(4)
    assert deployment.names() == ["k0", "k1"]
    assert deployment.view.old == ()
    for name in ("k0:1", "k1:1"):
        assert len(deployment.cores[name].ledger.accounts) == 20


def test_lost_disk_after_a_permanent_loss_does_not_end_service() -> None:
    """After the loss of a third machine, all turns are refused permanently.

    One keeper is emptied and leaves.  Another one is permanently lost, and an empty one
    starts at another address.  Long after it has caught up, the oldest disk is lost.
    If the lost member had stayed in the list, two of three members would now be lost,
    and the new one holds everything but is not a quorum.
    """
    deployment = deployment_with_programs(20)
    for core in deployment.cores.values():
        core.retiring = frozenset({"k2"})
    deployment.advance(4)
    deployment.down |= {"k2:1", "k1:1"}
    deployment.advance(1)
    successor = deployment.start("k9", "disk")
    deployment.advance(4)
    assert deployment.names() == ["k0", "k9"]
    assert deployment.view.old == ()
    assert len(successor.ledger.accounts) == 20
    deployment.start("k0", "second")
    deployment.advance(4)
    assert deployment.write("after the loss") == 2
    assert len(deployment.cores["k0:1"].ledger.accounts) == 21


def test_stopped_member_is_removed_once_its_successor_runs() -> None:
    """A machine is replaced as planned: the new one starts, then the old one stops.

    No new disk appears after the last heartbeat of the old member.  It announces its
    stop, so the shorter timeout applies to it.
    """
    deployment = Deployment(2)
    deployment.advance(5)
    deployment.start("k9", "disk")
    deployment.advance(1)
    old = deployment.cores["k1:1"]
    old.announce_stop(deployment.now)
    deployment.deliver(old)
    deployment.down.add("k1:1")
    deployment.advance(3)
    assert deployment.names() == ["k0", "k9"]
    assert deployment.view.old == ()


def test_retiring_member_stays_while_too_few_others_are_live() -> None:
    """The operators empty one of three keepers while another one is lost.

    Without the retiring keeper no write could count.  It stays until a new keeper holds
    everything, and then leaves.
    """
    deployment = Deployment(3)
    deployment.advance(5)
    deployment.write("p")
    deployment.down.add("k2:1")
    for core in deployment.cores.values():
        core.retiring = frozenset({"k1"})
    deployment.advance(6)
    assert deployment.names() == ["k0", "k1"]
    assert deployment.view.old == ()
    assert deployment.write("q") == 2
    new_core = deployment.start("k9", "disk")
    new_core.retiring = frozenset({"k1"})
    deployment.advance(4)
    assert deployment.names() == ["k0", "k9"]
    assert len(new_core.ledger.accounts) == 2


def test_retiring_member_that_loses_its_disk_joins_again() -> None:
    """One of two remaining keepers is retiring and loses its disk.

    The list contains the lost disk.  If the instance did not join again because it is
    retiring, only one disk would hold the records and no write could count.
    """
    deployment = Deployment(2)
    deployment.advance(5)
    deployment.write("p")
    replacement = deployment.start("k1", "second")
    for core in deployment.cores.values():
        core.retiring = frozenset({"k1"})
    deployment.advance(4)
    assert replacement.me in deployment.view.members
    assert deployment.view.old == ()
    assert deployment.write("q") == 2
    assert len(replacement.ledger.accounts) == 2


def test_disconnected_member_joins_again() -> None:
    """A keeper is isolated for longer than the timeout, then returns."""
    deployment = Deployment(3)
    deployment.advance(5)
    deployment.down.add("k1:1")
    deployment.advance(6)
    assert deployment.names() == ["k0", "k2"]
    deployment.write("while it was away")
    deployment.down.clear()
    deployment.advance(3)
    assert deployment.names() == ["k0", "k1", "k2"]
    assert deployment.view.old == ()
    assert "while it was away" in deployment.cores["k1:1"].ledger.accounts


def test_requests_under_an_older_view_are_refused_with_the_newer_one() -> None:
    deployment = Deployment(3)
    deployment.advance(5)
    core = deployment.cores["k0:1"]
    entry = Entry("p", 60.0, {"a": Attempt(1, False)})
    core.receive("relay:1#a", Write(1, deployment.view.number - 1, entry), 9.0)
    (to, reply), *_ = core.drain_outbox()
    assert to == "relay:1#a"
    assert isinstance(reply, WriteReply)
    assert reply.status is ReplyStatus.STALE_VIEW
    assert reply.view == core.view
    assert "p" not in core.ledger.accounts


def test_members_stagger_their_proposals() -> None:
    """All members detect a need at the same time; one store call must be enough."""
    deployment = Deployment(3)
    deployment.advance(5)
    delays_s = [
        core.proposal_delay_s(deployment.now) for core in deployment.cores.values()
    ]
    assert (
        sorted(delays_s) == delays_s and len(set(delays_s)) == 3 and delays_s[0] == 0.0
    )


def test_a_step_of_a_change_reaches_the_others_without_the_store() -> None:
    """The store is slow: its watches answer half a second late.

    The member whose write took effect sends the view to the others at once, with the
    revision that their next proposal must be based on.
    """
    deployment = Deployment(3)
    deployment.advance(5)
    first, second, _ = deployment.cores.values()
    changed = View(first.view.number + 1, first.view.members, first.view.members)
    first.drain_outbox()
    first.adopt(changed, deployment.now, 99)
    first.tick(deployment.now)
    deployment.deliver(first)
    assert second.view == changed
    assert second.view_revision == 99


def test_keeper_at_its_turn_limit_refuses_turns_and_continues() -> None:
    """Chains grow faster than they expire.

    If the process were killed for its memory use, all its replicas would be lost.  A
    refusal affects only the turn that does not fit, and its caller is notified.
    """
    me = Member("k", "disk", "k:1", "d")
    view = View(1, (me,))
    core = KeeperCore(me, 0, view=view, entries=[], now=0.0, max_turn_bytes=2_500)
    statuses = []
    for number in range(4):
        turn = Turn(f"t{number}", "", b"x" * 1_000)
        entry = Entry("p", 60.0, {f"a{number}": Attempt(1, True)}, [turn])
        core.receive("r:1#a", Write(number, 1, entry), 0.0)
        batch = core.next_batch()
        if batch is not None:
            core.on_synced(batch)
        (_, reply), *_ = core.drain_outbox()
        assert isinstance(reply, WriteReply)
        statuses.append(reply.status)
    assert statuses == [
        ReplyStatus.DONE,
        ReplyStatus.DONE,
        ReplyStatus.UNAVAILABLE,
        ReplyStatus.UNAVAILABLE,
    ]
    core.receive("r:1#a", Write(9, 1, Entry("q", 60.0, {"b": Attempt(1, True)})), 0.0)
    assert core.next_batch() is not None


def test_heartbeats_contain_the_view_only_for_members_without_it() -> None:
    """Heartbeat traffic grows with the cube of the number of members.

    With the whole list of members in every heartbeat, 24 keepers receive 1.1 MB a
    second each, and 85 keepers many times as much.
    """
    deployment = Deployment(5)
    deployment.advance(3.0)
    core = deployment.cores["k0:1"]
    core.drain_outbox()
    core.tick(deployment.now + 1.0)
    pings = [m for _, m in core.drain_outbox() if isinstance(m, Ping)]
    assert len(pings) == 4 and all(ping.view is None for ping in pings)
    deployment.start("k3", "other-disk")
    deployment.advance(3.0)
    assert all(core.view == deployment.view for core in deployment.cores.values())
    assert "k3-other-disk" in {member.disk for member in deployment.view.members}
    old_ping = Ping("old-version", View(), 0)
    core.receive("k9:1", old_ping, deployment.now)
    core.tick(deployment.now + 1.0)
    sent = [m for to, m in core.drain_outbox() if to == "k9:1" and isinstance(m, Ping)]
    assert sent and all(ping.view == core.view for ping in sent)
