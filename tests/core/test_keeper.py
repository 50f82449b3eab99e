"""The keeper's decisions: joining, copying, dropping, and who proposes."""

from __future__ import annotations

from wisteriastair.core.keeper import KeeperCore
from wisteriastair.core.ledger import Attempt, Entry, Turn
from wisteriastair.core.ledgerwire import Ping, Verdict, Write, WriteReply
from wisteriastair.core.membership import Member, View, next_view

LOSSES = 1
NEVER = 10_000


class Deployment:
    """Keepers, the view in the store, and a clock."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.view = View()
        self.cores: dict[str, KeeperCore] = {}
        self.down: set[str] = set()
        self.writes = 0
        for number in range(count):
            self.start(f"k{number}", "disk")

    def start(self, name: str, disk: str) -> KeeperCore:
        me = Member(name, f"{name}-{disk}", f"{name}:1", f"domain-{name}")
        core = KeeperCore(me, LOSSES, view=View(), entries=[], now=self.now)
        self.cores[me.address] = core
        return core

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            for address, core in self.cores.items():
                if address not in self.down:
                    self._run(core)

    def _run(self, core: KeeperCore) -> None:
        core.adopt(self.view, self.now, self.writes)
        core.tick(self.now)
        proposal = next_view(core.view, core.wishes(self.now), LOSSES)
        if proposal is None and core.has_copied():
            proposal = core.view._replace(synced=(*core.view.synced, core.me.disk))
        if proposal is not None and core.view == self.view:
            self.view = proposal
            self.writes += 1
        self.deliver(core)

    def deliver(self, core: KeeperCore) -> None:
        batch = core.take_batch()
        if batch is not None:
            core.synced(batch)
        for to, message in core.take_outbox():
            target = self.cores.get(to.partition("#")[0])
            if target is not None and to.partition("#")[0] not in self.down:
                target.receive(core.me.address, message, self.now)

    def write(self, program: str) -> int:
        """Write a record to every keeper; return how many have synced it."""
        entry = Entry(program, 60.0, {"a": Attempt(1, False)})
        done = 0
        for address, core in self.cores.items():
            if address in self.down:
                continue
            core.receive("relay:1#a", Write(NEVER, self.view.number, entry), self.now)
            batch = core.take_batch()
            if batch is not None:
                core.synced(batch)
            for _, reply in core.take_outbox():
                if isinstance(reply, WriteReply) and reply.op == NEVER:
                    done += reply.verdict is Verdict.DONE
        return done

    def names(self) -> list[str]:
        return [member.name for member in self.view.members]


def with_programs(count: int) -> Deployment:
    """Start three keepers and write a record of some programs to each."""
    deployment = Deployment(3)
    deployment.pass_time(5)
    for number in range(count):
        deployment.write(f"p{number}")
    return deployment


def test_the_first_start_ends_with_all_members_and_no_change_under_way() -> None:
    deployment = Deployment(3)
    deployment.pass_time(5)
    assert deployment.names() == ["k0", "k1", "k2"]
    assert deployment.view.old == ()


def test_a_lost_disk_is_filled_again_before_it_counts() -> None:
    """A keeper comes back at its address with an empty disk.

    Programs were written before.  When the change has ended the newcomer must hold
    them: the next loss may take one of the two disks that still do.
    """
    deployment = Deployment(3)
    deployment.pass_time(5)
    for number in range(20):
        assert deployment.write(f"p{number}") == 3
    fresh = deployment.start("k1", "second")
    assert deployment.write("before it joined") == 2
    deployment.pass_time(3)
    assert fresh.me in deployment.view.members
    assert deployment.view.old == ()
    assert len(fresh.ledger.accounts) == 21


def test_a_successor_takes_the_place_of_a_lost_member() -> None:
    """A machine is gone for good and an empty one comes at another address.

    Within five seconds of its start the successor is a full replica and the lost member
    is dropped; otherwise a second loss would leave slots without a read quorum.
    """
    deployment = with_programs(20)
    deployment.down.add("k0:1")
    deployment.pass_time(1)
    successor = deployment.start("k9", "disk")
    deployment.pass_time(4.8)
    assert deployment.names() == ["k1", "k2", "k9"]
    assert deployment.view.old == ()
    assert len(successor.ledger.accounts) == 20


def test_a_member_that_is_cut_off_does_not_drop_the_others() -> None:
    """One keeper hears nobody but still reaches the store.

    If it proposed to drop those that it does not hear, it would take the ledger with
    it.
    """
    deployment = Deployment(4)
    deployment.pass_time(6)
    alone = deployment.cores["k3:1"]
    deployment.down = {"k0:1", "k1:1", "k2:1"}
    deployment.pass_time(10)
    assert len(deployment.view.members) == 4
    assert alone.wishes(deployment.now).unresponsive


def test_an_emptied_instance_leaves_and_nothing_is_missing() -> None:
    deployment = with_programs(20)
    for core in deployment.cores.values():
        core.retiring = frozenset({"k2"})
    deployment.pass_time(4)
    assert deployment.names() == ["k0", "k1"]
    assert deployment.view.old == ()
    for name in ("k0:1", "k1:1"):
        assert len(deployment.cores[name].ledger.accounts) == 20


def test_a_lost_disk_beside_a_member_that_is_gone_for_good_ends_no_service() -> None:
    """A caller's turns are refused for ever after a third machine is lost in turn.

    One keeper is emptied and leaves; another is gone for good and an empty one comes at
    another address; long after that has caught up, the oldest disk is lost.  If the
    member that is gone stays in the list, the list is then three of whom two are lost,
    and the newcomer holds everything but is no quorum.
    """
    deployment = with_programs(20)
    for core in deployment.cores.values():
        core.retiring = frozenset({"k2"})
    deployment.pass_time(4)
    deployment.down |= {"k2:1", "k1:1"}
    deployment.pass_time(1)
    successor = deployment.start("k9", "disk")
    deployment.pass_time(4)
    assert deployment.names() == ["k0", "k9"]
    assert deployment.view.old == ()
    assert len(successor.ledger.accounts) == 20
    deployment.start("k0", "second")
    deployment.pass_time(4)
    assert deployment.write("after the loss") == 2
    assert len(deployment.cores["k0:1"].ledger.accounts) == 21


def test_one_that_is_gone_as_planned_leaves_the_list_with_its_successor_there() -> None:
    """A machine is replaced as planned: the new one starts, then the old one stops.

    Nothing comes after the old one's last heartbeat that could be its successor.  It
    says that it stops, so it need not be waited for as long as one that may be back.
    """
    deployment = Deployment(2)
    deployment.pass_time(5)
    deployment.start("k9", "disk")
    deployment.pass_time(1)
    old = deployment.cores["k1:1"]
    old.announce_stop(deployment.now)
    deployment.deliver(old)
    deployment.down.add("k1:1")
    deployment.pass_time(3)
    assert deployment.names() == ["k0", "k9"]
    assert deployment.view.old == ()


def test_a_member_to_be_emptied_stays_while_too_few_others_are_there() -> None:
    """The operators empty one keeper of three while another falls silent.

    Without the one that is to be emptied no write could count.  It stays until a
    newcomer holds everything, and then leaves.
    """
    deployment = Deployment(3)
    deployment.pass_time(5)
    deployment.write("p")
    deployment.down.add("k2:1")
    for core in deployment.cores.values():
        core.retiring = frozenset({"k1"})
    deployment.pass_time(6)
    assert deployment.names() == ["k0", "k1"]
    assert deployment.view.old == ()
    assert deployment.write("q") == 2
    newcomer = deployment.start("k9", "disk")
    newcomer.retiring = frozenset({"k1"})
    deployment.pass_time(4)
    assert deployment.names() == ["k0", "k9"]
    assert len(newcomer.ledger.accounts) == 2


def test_one_to_be_emptied_that_loses_its_disk_serves_until_another_is_there() -> None:
    """Two keepers are left, one is to be emptied, and that one loses its disk.

    The list names a disk that is gone.  If the instance did not join again because it
    is to be emptied, one disk would hold everything and no write could count.
    """
    deployment = Deployment(2)
    deployment.pass_time(5)
    deployment.write("p")
    fresh = deployment.start("k1", "second")
    for core in deployment.cores.values():
        core.retiring = frozenset({"k1"})
    deployment.pass_time(4)
    assert fresh.me in deployment.view.members
    assert deployment.view.old == ()
    assert deployment.write("q") == 2
    assert len(fresh.ledger.accounts) == 2


def test_a_member_that_was_away_joins_again() -> None:
    """A keeper is cut off for longer than the others wait, then comes back."""
    deployment = Deployment(3)
    deployment.pass_time(5)
    deployment.down.add("k1:1")
    deployment.pass_time(6)
    assert deployment.names() == ["k0", "k2"]
    deployment.write("while it was away")
    deployment.down.clear()
    deployment.pass_time(3)
    assert deployment.names() == ["k0", "k1", "k2"]
    assert deployment.view.old == ()
    assert "while it was away" in deployment.cores["k1:1"].ledger.accounts


def test_requests_under_an_older_view_are_refused_with_the_newer_one() -> None:
    deployment = Deployment(3)
    deployment.pass_time(5)
    core = deployment.cores["k0:1"]
    entry = Entry("p", 60.0, {"a": Attempt(1, False)})
    core.receive("relay:1#a", Write(1, deployment.view.number - 1, entry), 9.0)
    (to, reply), *_ = core.take_outbox()
    assert to == "relay:1#a"
    assert isinstance(reply, WriteReply)
    assert reply.verdict is Verdict.STALE_VIEW
    assert reply.view == core.view
    assert "p" not in core.ledger.accounts


def test_members_propose_in_turn() -> None:
    """All members see the same need at one moment; one call to the store is enough."""
    deployment = Deployment(3)
    deployment.pass_time(5)
    waits = [
        core.proposal_delay_s(deployment.now) for core in deployment.cores.values()
    ]
    assert sorted(waits) == waits and len(set(waits)) == 3 and waits[0] == 0.0


def test_a_step_of_a_change_reaches_the_others_without_the_store() -> None:
    """The store is slow: its watches answer half a second late.

    The member whose write took effect tells the others at once, with the revision that
    their own next proposal must be based on.
    """
    deployment = Deployment(3)
    deployment.pass_time(5)
    first, second, _ = deployment.cores.values()
    changed = View(first.view.number + 1, first.view.members, first.view.members)
    first.take_outbox()
    first.adopt(changed, deployment.now, 99)
    first.tick(deployment.now)
    deployment.deliver(first)
    assert second.view == changed
    assert second.view_revision == 99


def test_a_keeper_that_is_full_of_turns_refuses_one_more_and_goes_on() -> None:
    """Chains grow faster than they expire.

    Killed for its memory the process would take all its replicas away; refused, only
    the turn that did not fit is lost, visibly, to its caller.
    """
    me = Member("k", "disk", "k:1", "d")
    view = View(1, (me,))
    core = KeeperCore(me, 0, view=view, entries=[], now=0.0, max_turn_bytes=2_500)
    verdicts = []
    for number in range(4):
        turn = Turn(f"t{number}", "", b"x" * 1_000)
        entry = Entry("p", 60.0, {f"a{number}": Attempt(1, True)}, [turn])
        core.receive("r:1#a", Write(number, 1, entry), 0.0)
        batch = core.take_batch()
        if batch is not None:
            core.synced(batch)
        (_, reply), *_ = core.take_outbox()
        assert isinstance(reply, WriteReply)
        verdicts.append(reply.verdict)
    assert verdicts == [Verdict.DONE, Verdict.DONE, Verdict.NOT_NOW, Verdict.NOT_NOW]
    core.receive("r:1#a", Write(9, 1, Entry("q", 60.0, {"b": Attempt(1, True)})), 0.0)
    assert core.take_batch() is not None


def test_heartbeats_carry_the_view_only_to_who_does_not_know_it() -> None:
    """24 keepers take 1.1 MB a second each, and 85 of them many times as much.

    Every heartbeat to every member held the whole list of members.
    """
    fleet = Deployment(5)
    fleet.pass_time(3.0)
    core = fleet.cores["k0:1"]
    core.take_outbox()
    core.tick(fleet.now + 1.0)
    pings = [m for _, m in core.take_outbox() if isinstance(m, Ping)]
    assert len(pings) == 4 and all(ping.view is None for ping in pings)
    fleet.start("k3", "other-disk")
    fleet.pass_time(3.0)
    assert all(core.view == fleet.view for core in fleet.cores.values())
    assert "k3-other-disk" in {member.disk for member in fleet.view.members}
    stranger = Ping("old-version", View(), 0)
    core.receive("k9:1", stranger, fleet.now)
    core.tick(fleet.now + 1.0)
    told = [m for to, m in core.take_outbox() if to == "k9:1" and isinstance(m, Ping)]
    assert told and all(ping.view == core.view for ping in told)
