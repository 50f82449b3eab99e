"""Who carries a slot and who holds its copy: the replication protocol.

A slot of programs has a *carrier*, which runs the programs, and a *standby* in
another failure domain, which holds a copy of the slot's log.  A row of the slot
table in the key-value service names both, with an epoch.  The rules are:

1. An entry is committed once the standby of the current epoch has acknowledged it.
   Nothing that a caller or a backend server can see happens before that.
2. A standby that suspects its carrier asks the key-value service, by
   compare-and-swap, to be named carrier at the next epoch, with no standby.  It goes
   on acknowledging until it sees that row: what it acknowledges it holds, and will
   hold as carrier.
3. A carrier that suspects its standby asks to be named alone at the next epoch.
   The compare-and-swap lets one of the two win.
4. A carrier without a standby commits nothing: its death would lose what it had
   told others.
5. The member that was left out by a row without a standby is named in it as the
   *former* member and keeps its copy until a row names a standby.  It holds all that
   was ever committed, since a lone carrier commits nothing; if the lone carrier dies,
   the former member takes over.  Without this, a wrong suspicion followed by one
   death would lose a log that another living process still has.
6. A new copy is made first and named second.  A member that the table names before
   it holds the log could take over without it.  (Counterexample of the broken
   variant: append, acknowledge, name the new standby, kill the carrier, take over;
   the entry is gone.)
7. Between proposing a replacement for a live standby and learning the outcome, an
   entry is committed only when both the old and the new copy hold it, because
   either may turn out to be the named one.

A carrier that was paused and wakes up commits only what its standby still takes as
standby, and so will hold as carrier.  Split brain is excluded by the acknowledgement
and not by a clock.

Everything in this module is a pure function of immutable state, so that the model
checker in ``tests/core/test_replica_model.py`` explores this very code.  Contents of
entries are kept elsewhere (`slotlog`); here an entry is its position.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

NO_MEMBER: Final = ""


class Role(IntEnum):
    """What a process is for one slot."""

    NONE = 0
    LEARNER = 1
    FORMER = 2
    STANDBY = 3
    PRIMARY = 4


class SlotRow(NamedTuple):
    """One row of the slot table.

    Attributes
    ----------
    slot : int
        Number of the slot.
    primary, standby : str
        Member ids; an empty standby means that the carrier is alone.
    epoch : int
        Grows by one with every change of the row.
    fresh : bool
        The members begin with an empty log: the slot was never placed before, or
        all its members were lost.
    former : str
        The member that a row without a standby has left out; it keeps its copy.
    lost : bool
        All members of an earlier epoch were lost together, so for a program that is
        not in the log the answer is "unknown" and never "not run".
    """

    slot: int
    primary: str
    standby: str
    epoch: int
    fresh: bool = False
    former: str = NO_MEMBER
    lost: bool = False


class Replica(NamedTuple):
    """One process's part in one slot.

    Attributes
    ----------
    me : str
        Member id of this process.
    slot : int
        Number of the slot.
    role : Role
        Current role.
    epoch : int
        Highest epoch seen; rows and messages of lower ones are ignored.
    peer : str
        The standby of a carrier, or the carrier of a copy.
    learner : str
        Member that a carrier is copying to.
    session : int
        Number of the copying session; tells a learner's late answers apart.
    last : int
        Position of the newest entry held.
    acked, learnt : int
        Newest positions acknowledged by standby and learner; -1 for none.
    committed : int
        Newest position whose effects may be released.
    proposal : SlotRow or None
        The change of the row that this carrier has asked for.
    former : str
        The former member that the present row names.
    lost : bool
        See `SlotRow`.
    """

    me: str
    slot: int
    role: Role = Role.NONE
    epoch: int = 0
    peer: str = NO_MEMBER
    learner: str = NO_MEMBER
    session: int = 0
    last: int = 0
    acked: int = -1
    learnt: int = -1
    committed: int = 0
    proposal: SlotRow | None = None
    former: str = NO_MEMBER
    lost: bool = False


def append(replica: Replica) -> Replica:
    """Add one entry to a carrier's log.

    Callers check `may_append` first.
    """
    assert may_append(replica)
    return replica._replace(last=replica.last + 1)


def may_append(replica: Replica) -> bool:
    """Whether the carrier may add entries now.

    While a hand-over is proposed the log stands still, so that both members hold
    the same entries whichever of them the table names carrier.
    """
    if replica.role is not Role.PRIMARY:
        return False
    return replica.proposal is None or replica.proposal.primary == replica.me


def receive_entries(
    replica: Replica,
    *,
    sender: str,
    epoch: int,
    session: int,
    first: int,
    count: int,
) -> tuple[Replica, int]:
    """Take entries at a copy.

    Returns
    -------
    replica : Replica
        The new state.
    taken : int
        How many entries, from position ``replica.last + 1`` of the old state on,
        are new; -1 if the message must be ignored without an answer.
    """
    if not _listens_to(replica, sender, epoch, session):
        return replica, -1
    end = first + count - 1
    if first > replica.last + 1 or end <= replica.last:
        return replica, 0
    return replica._replace(last=end), end - replica.last


def _listens_to(replica: Replica, sender: str, epoch: int, session: int) -> bool:
    """Whether a copy accepts entries of a sender."""
    if sender != replica.peer or epoch != replica.epoch:
        return False
    if replica.role is Role.STANDBY:
        return session == 0
    return replica.role is Role.LEARNER and session == replica.session


def acknowledged(
    replica: Replica, *, sender: str, epoch: int, session: int, last: int
) -> Replica:
    """Take an acknowledgement at a carrier and advance what is committed."""
    if replica.role is not Role.PRIMARY or epoch != replica.epoch:
        return replica
    if session == 0 and sender == replica.peer:
        replica = replica._replace(acked=max(replica.acked, last))
    elif sender == replica.learner and session == replica.session:
        replica = replica._replace(learnt=max(replica.learnt, last))
    return _advance(replica)


def _advance(replica: Replica) -> Replica:
    if replica.peer == NO_MEMBER:
        return replica
    bound = min(replica.acked, replica.last)
    proposal = replica.proposal
    if proposal is not None and proposal.standby not in (NO_MEMBER, replica.me):
        bound = min(bound, replica.learnt)
    return replica._replace(committed=max(replica.committed, bound))


def start_copy(replica: Replica, learner: str) -> Replica:
    """Choose a new copy holder; its positions are unknown until it answers."""
    assert replica.role is Role.PRIMARY
    return replica._replace(learner=learner, session=replica.session + 1, learnt=-1)


def drop_learner(replica: Replica) -> Replica:
    """Give a copying session up, unless its learner is already proposed."""
    proposal = replica.proposal
    if proposal is not None and proposal.standby == replica.learner:
        return replica
    return replica._replace(learner=NO_MEMBER, learnt=-1)


def learn(
    replica: Replica, *, sender: str, epoch: int, session: int, last: int
) -> Replica:
    """Become a learner that holds a complete copy up to ``last``.

    A member that still has a named role ignores the copy: it must first hear that
    the table has moved on.
    """
    named = replica.role in (Role.STANDBY, Role.PRIMARY)
    if named or epoch < replica.epoch:
        return replica
    same_row = epoch == replica.epoch
    return Replica(
        me=replica.me,
        slot=replica.slot,
        role=Role.LEARNER,
        epoch=epoch,
        peer=sender,
        session=session,
        last=last,
        former=replica.former if same_row else NO_MEMBER,
        lost=replica.lost,
    )


def takeover_row(replica: Replica) -> SlotRow | None:
    """Return the row to propose for taking over from a suspected carrier.

    None if this member may not: it is neither the standby nor the former member.
    """
    former = replica.former == replica.me
    if replica.role is not Role.STANDBY and not former:
        return None
    return _next_row(replica, replica.me, NO_MEMBER, former=replica.peer)


def propose_alone(replica: Replica) -> Replica:
    """Propose that a carrier goes on without the standby it suspects."""
    if replica.role is not Role.PRIMARY or replica.peer == NO_MEMBER:
        return replica
    if replica.proposal is not None:
        return replica
    row = _next_row(replica, replica.me, NO_MEMBER, former=replica.peer)
    return replica._replace(proposal=row)


def propose_learner(replica: Replica) -> Replica:
    """Propose the learner as standby once it holds all that is committed."""
    if replica.role is not Role.PRIMARY or replica.proposal is not None:
        return replica
    if replica.learner == NO_MEMBER or replica.learnt < replica.committed:
        return replica
    row = _next_row(replica, replica.me, replica.learner)
    return replica._replace(proposal=row)


def propose_handover(replica: Replica) -> Replica:
    """Propose to swap roles with the standby, once it holds the whole log."""
    if replica.role is not Role.PRIMARY or replica.proposal is not None:
        return replica
    if replica.peer == NO_MEMBER or replica.acked < replica.last:
        return replica
    return replica._replace(proposal=_next_row(replica, replica.peer, replica.me))


def _next_row(
    replica: Replica, primary: str, standby: str, former: str = NO_MEMBER
) -> SlotRow:
    return SlotRow(
        replica.slot,
        primary,
        standby,
        replica.epoch + 1,
        former=former,
        lost=replica.lost,
    )


def observe_row(replica: Replica, row: SlotRow) -> Replica:
    """Take a confirmed row of the table.

    A row of an epoch already seen changes nothing.  A member that the row does not
    name drops its copy.
    """
    if row.epoch <= replica.epoch:
        return replica
    holds_log = row.fresh or replica.role is not Role.NONE
    if not holds_log or replica.me not in (row.primary, row.standby, row.former):
        return Replica(me=replica.me, slot=replica.slot, epoch=row.epoch)
    if row.primary == replica.me:
        return _become_primary(replica, row)
    return Replica(
        me=replica.me,
        slot=replica.slot,
        role=Role.STANDBY if row.standby == replica.me else Role.FORMER,
        epoch=row.epoch,
        peer=row.primary,
        last=0 if row.fresh else replica.last,
        former=row.former,
        lost=row.lost,
    )


def _become_primary(replica: Replica, row: SlotRow) -> Replica:
    was_primary = replica.role is Role.PRIMARY and not row.fresh
    promoted = was_primary and row.standby == replica.learner != NO_MEMBER
    result = Replica(
        me=replica.me,
        slot=replica.slot,
        role=Role.PRIMARY,
        epoch=row.epoch,
        peer=row.standby,
        session=replica.session,
        last=0 if row.fresh else replica.last,
        acked=replica.learnt if promoted else -1,
        committed=replica.committed if was_primary else 0,
        former=row.former,
        lost=row.lost,
    )
    return _advance(result)
