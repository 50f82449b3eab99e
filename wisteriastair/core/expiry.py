"""Expiry of accounts: a replica asks the others before it drops one.

Records are written to a quorum of the replicas, and those outside it do not learn that
a program goes on.  If they dropped their copies after their own last use, the oldest
turns of a chain would be on fewer disks than may be lost, while the chain must still be
retained.  A replica therefore drops an account once a read quorum has not used it for
its retention: such a quorum has a replica of each write.  The same holds for attempts,
which are retained for longer than turns.
"""

from __future__ import annotations

from typing import Final

from .ledger import Ledger
from .ledgerwire import LastUseQuestion, LastUseReply
from .membership import Member, ReplicaSet, View, replica_sets, slot_of_program

# Accounts in one question.
MAX_ASKED: Final = 256
# Seconds after its retention for which an account is retained without replies. A
# replica that is cut off from the others for longer is removed from the view. One that
# was suspended finds many accounts overdue, and asks first.
MAX_UNANSWERED_S: Final = 20.0
# In place of an age: the account is not stored, or the time of its last use is unknown.
NOT_STORED: Final = -1
UNKNOWN_AGE: Final = -2
MS_PER_S: Final = 1000.0


class AccountExpiry:
    """Drops the accounts of one replica that no replica uses any more.

    Parameters
    ----------
    me : Member
        This replica.
    ledger : Ledger
        Its accounts.
    max_failures : int
        Number of members that may fail at the same time.

    Attributes
    ----------
    extended : int
        Accounts that were retained because another replica had used them.
    """

    def __init__(self, me: Member, ledger: Ledger, max_failures: int) -> None:
        self.extended = 0
        self._me = me
        self._ledger = ledger
        self._max_failures = max_failures
        self._view = View()
        self._op = 0
        # Programs of the questions since the last sweep, by operation.
        self._questions: dict[int, list[str]] = {}
        # Disks that have not used an account for its retention, by program.
        self._unused: dict[str, set[str]] = {}

    def sweep(self, view: View, now: float) -> list[tuple[str, LastUseQuestion]]:
        """Drop accounts without use, and return the questions about others."""
        if view.number != self._view.number:
            self._unused.clear()
        self._view = view
        self._questions.clear()
        asked: dict[str, list[str]] = {}
        unused: dict[str, set[str]] = {}
        for program in self._ledger.expired_programs(now):
            if self._drop(program, now):
                continue
            for address in self._choose_replicas(program):
                asked.setdefault(address, []).append(program)
            unused[program] = self._unused.get(program, set())
        self._unused = unused
        return [
            (address, self._ask(programs[start : start + MAX_ASKED]))
            for address, programs in asked.items()
            for start in range(0, len(programs), MAX_ASKED)
        ]

    def _ask(self, programs: list[str]) -> LastUseQuestion:
        self._op += 1
        self._questions[self._op] = programs
        return LastUseQuestion(self._op, self._view.number, programs)

    def _choose_replicas(self, program: str) -> set[str]:
        """Return the replicas to ask: first a quorum, then all that did not reply."""
        is_first = program not in self._unused
        known = self._known_disks(program)
        chosen: set[str] = set()
        for replicas in self._replica_sets(program):
            missing = [m for m in replicas.members if m.disk not in known]
            have = len(replicas.members) - len(missing)
            count = replicas.read - have if is_first else len(missing)
            chosen |= {member.address for member in missing[: max(0, count)]}
        return chosen

    def _replica_sets(self, program: str) -> tuple[ReplicaSet, ...]:
        slot = slot_of_program(program)
        return replica_sets(self._view, slot, self._max_failures)

    def _known_disks(self, program: str) -> set[str]:
        return {self._me.disk} | self._unused.get(program, set())

    def reply(self, question: LastUseQuestion, view: View, now: float) -> LastUseReply:
        """Return when this replica used some accounts last."""
        ages = []
        # A replica of another view may lack writes of the asking one's view.
        if question.view == view.number:
            for program in question.programs[:MAX_ASKED]:
                ages.append(self._age_ms(program, now))
        return LastUseReply(question.op, self._me.disk, ages)

    def _age_ms(self, program: str, now: float) -> int:
        account = self._ledger.accounts.get(program)
        if account is not None and not account.is_use_known:
            return UNKNOWN_AGE
        last_used_at = self._ledger.last_used_at(program)
        if last_used_at is None:
            return NOT_STORED
        return int((now - last_used_at) * MS_PER_S)

    def receive(self, reply: LastUseReply, view: View, now: float) -> None:
        """Drop or retain the accounts of a question."""
        if view.number != self._view.number:
            return
        # Accounts that the reply leaves out are asked for again.
        programs = self._questions.get(reply.op, [])
        for program, age in zip(programs, reply.ages_ms, strict=False):
            if program not in self._ledger or age == UNKNOWN_AGE:
                # A replica that has just started would extend all accounts.
                continue
            if age != NOT_STORED:
                self._ledger.record_use(program, now - max(0, age) / MS_PER_S)
            if self._ledger.is_expired(program, now):
                self._unused.setdefault(program, set()).add(reply.disk)
                self._drop(program, now)
            elif self._unused.pop(program, None) is not None:
                self.extended += 1

    def _drop(self, program: str, now: float) -> bool:
        """Drop expired records if that is safe; return whether they were dropped."""
        sets = self._replica_sets(program)
        disks = self._known_disks(program)
        is_replica = any(self._me in replicas.members for replicas in sets)
        is_unused = all(replicas.has_read_quorum(disks) for replicas in sets)
        has_asked = program in self._unused
        is_overdue = self._ledger.is_expired(program, now - MAX_UNANSWERED_S)
        if is_replica and not is_unused and not (has_asked and is_overdue):
            return False
        if is_replica:
            self._ledger.retire(program)
        else:
            self._ledger.remove(program)
        self._unused.pop(program, None)
        return True
