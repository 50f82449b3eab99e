"""The replication protocol: primary, standby and changes of these roles.

A slot of programs has a *primary*, which runs the programs, and a *standby* in
another failure domain, which stores a copy of the log of the slot.  A row of the slot
table in the key-value service names both, with an epoch.  The rules are:

1. An entry is committed once the standby of the current epoch has acknowledged it.
   No effect that a caller or a backend server can observe happens before that.
2. A standby that suspects its primary proposes, by compare-and-swap in the key-value
   service, to become primary at the next epoch, without a standby.  It continues to
   acknowledge entries until it sees that row: it has stored every entry that it
   acknowledged, so it has them as primary.
3. A primary that suspects its standby proposes to be alone at the next epoch.  Of the
   two proposals, the compare-and-swap lets one succeed.
4. A primary without a standby commits nothing: if it failed, entries whose effects
   others have observed would be lost.
5. A row without a standby names the member that it removed as the *former* member,
   which retains its copy until a row names a standby.  The copy contains every
   committed entry, since a primary without a standby commits nothing.  If this primary
   fails, the former member takes over.  Without this rule, a wrong suspicion followed
   by one failure would lose a log that a live process still has.
6. A new copy is completed before the table names its member.  A member named before
   it has the log could take over without the log.  (Counterexample of the broken
   variant: append, acknowledge, name the new standby, kill the primary, take over;
   the entry is lost.)
7. Between the proposal to replace a live standby and its outcome, an entry is
   committed only when both the old and the new standby have acknowledged it, because
   the table may name either of them.

A primary that resumes after a pause commits only entries that its standby still
accepts as standby, and so will have if it becomes primary.  Split brain is excluded
by these acknowledgements and not by a clock.

Everything in this module is a pure function of immutable state, so that the model
checker in ``tests/core/test_replica_model.py`` explores the code that runs in
production.  The contents of entries are stored in `slotlog`; here an entry is
represented by its position.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

NO_MEMBER: Final = ""


class Role(IntEnum):
    """Role of a process for one slot."""

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
        Member ids; an empty standby means that the primary is alone.
    epoch : int
        Increases by one with every change of the row.
    fresh : bool
        Whether the members start with an empty log, because the slot was never placed
        before or all its members failed.
    former : str
        Former standby that a row without a standby removed; it retains its copy.
    lost : bool
        Whether all members of an earlier epoch failed together.  For a program that
        is not in the log the answer is then "unknown" and never "not run".
    """

    slot: int
    primary: str
    standby: str
    epoch: int
    fresh: bool = False
    former: str = NO_MEMBER
    lost: bool = False


class Replica(NamedTuple):
    """State of one process for one slot.

    Attributes
    ----------
    me : str
        Member id of this process.
    slot : int
        Number of the slot.
    role : Role
        Current role.
    epoch : int
        Highest epoch seen; rows and messages of lower epochs are ignored.
    peer : str
        The standby of a primary, or the primary of a copy.
    learner : str
        Member that a primary is copying to.
    session : int
        Number of the copying session; identifies late acknowledgements of a learner.
    last : int
        Position of the newest stored entry.
    standby_acked, learner_acked : int
        Newest positions acknowledged by standby and learner; -1 for none.
    committed : int
        Newest position whose effects may be carried out.
    proposal : SlotRow or None
        The change of the row that this primary has proposed.
    former : str
        The former member that the current row names.
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
    standby_acked: int = -1
    learner_acked: int = -1
    committed: int = 0
    proposal: SlotRow | None = None
    former: str = NO_MEMBER
    lost: bool = False


def append(replica: Replica) -> Replica:
    """Add one entry to the log of a primary.

    Callers check `may_append` first.
    """
    assert may_append(replica)
    return replica._replace(last=replica.last + 1)


def may_append(replica: Replica) -> bool:
    """Whether the primary may add entries now.

    While a hand-over is proposed no entries are added, so that both members have the
    same entries when the table names one of them primary.
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
    """Accept entries at a standby or learner.

    Returns
    -------
    replica : Replica
        The new state.
    accepted_count : int
        Number of new entries, starting at position ``replica.last + 1`` of the old
        state; -1 if the message must be ignored without an answer.
    """
    if not _accepts_from(replica, sender, epoch, session):
        return replica, -1
    end = first + count - 1
    if first > replica.last + 1 or end <= replica.last:
        return replica, 0
    return replica._replace(last=end), end - replica.last


def _accepts_from(replica: Replica, sender: str, epoch: int, session: int) -> bool:
    """Whether a standby or learner accepts entries from a sender."""
    if sender != replica.peer or epoch != replica.epoch:
        return False
    if replica.role is Role.STANDBY:
        return session == 0
    return replica.role is Role.LEARNER and session == replica.session


def receive_ack(
    replica: Replica, *, sender: str, epoch: int, session: int, last: int
) -> Replica:
    """Record an acknowledgement at a primary and advance the committed position."""
    if replica.role is not Role.PRIMARY or epoch != replica.epoch:
        return replica
    if session == 0 and sender == replica.peer:
        replica = replica._replace(standby_acked=max(replica.standby_acked, last))
    elif sender == replica.learner and session == replica.session:
        replica = replica._replace(learner_acked=max(replica.learner_acked, last))
    return _advance(replica)


def _advance(replica: Replica) -> Replica:
    if replica.peer == NO_MEMBER:
        return replica
    bound = min(replica.standby_acked, replica.last)
    proposal = replica.proposal
    if proposal is not None and proposal.standby not in (NO_MEMBER, replica.me):
        bound = min(bound, replica.learner_acked)
    return replica._replace(committed=max(replica.committed, bound))


def start_copy(replica: Replica, learner: str) -> Replica:
    """Set the learner of a new copy; its position is unknown until it answers."""
    assert replica.role is Role.PRIMARY
    return replica._replace(
        learner=learner, session=replica.session + 1, learner_acked=-1
    )


def drop_learner(replica: Replica) -> Replica:
    """End a copying session, unless its learner is already proposed as standby."""
    proposal = replica.proposal
    if proposal is not None and proposal.standby == replica.learner:
        return replica
    return replica._replace(learner=NO_MEMBER, learner_acked=-1)


def become_learner(
    replica: Replica, *, sender: str, epoch: int, session: int, last: int
) -> Replica:
    """Become a learner that has a complete copy up to ``last``.

    A standby or primary ignores the copy: it must first see the row that removes it
    from this role.
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
    """Return the row to propose for taking over from a suspected primary.

    None if this member is neither the standby nor the former member.
    """
    former = replica.former == replica.me
    if replica.role is not Role.STANDBY and not former:
        return None
    return _next_row(replica, replica.me, NO_MEMBER, former=replica.peer)


def propose_alone(replica: Replica) -> Replica:
    """Propose that a primary continues without its suspected standby."""
    if replica.role is not Role.PRIMARY or replica.peer == NO_MEMBER:
        return replica
    if replica.proposal is not None:
        return replica
    row = _next_row(replica, replica.me, NO_MEMBER, former=replica.peer)
    return replica._replace(proposal=row)


def propose_learner(replica: Replica) -> Replica:
    """Propose the learner as standby once it has all committed entries."""
    if replica.role is not Role.PRIMARY or replica.proposal is not None:
        return replica
    if replica.learner == NO_MEMBER or replica.learner_acked < replica.committed:
        return replica
    row = _next_row(replica, replica.me, replica.learner)
    return replica._replace(proposal=row)


def propose_handover(replica: Replica) -> Replica:
    """Propose to swap roles with the standby once it has the whole log."""
    if replica.role is not Role.PRIMARY or replica.proposal is not None:
        return replica
    if replica.peer == NO_MEMBER or replica.standby_acked < replica.last:
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
    """Apply a confirmed row of the table.

    A row of an epoch already seen is ignored.  A member that the row does not name
    drops its copy.
    """
    if row.epoch <= replica.epoch:
        return replica
    has_log = row.fresh or replica.role is not Role.NONE
    if not has_log or replica.me not in (row.primary, row.standby, row.former):
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
        standby_acked=replica.learner_acked if promoted else -1,
        committed=replica.committed if was_primary else 0,
        former=row.former,
        lost=row.lost,
    )
    return _advance(result)
