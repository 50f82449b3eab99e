"""The ledger: what is kept for a program, and how copies of it are merged.

An account holds the program's attempts and, where the route keeps history, its turns.
An attempt first reserves the most tokens that it can generate, and is settled with
what was handed to the caller.  Both grow only: an attempt is never removed while the
account lives, a settled one never changes, a turn never changes.  Copies that saw the
same records in another order, or twice, are therefore equal, and merging two copies
loses nothing.

A reservation is made durable before the request is sent to a server.  What is not
settled stays reserved: after the death of the process that ran the attempt nobody knows
how much its caller was handed, and counting the most keeps the budget.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

# Added to the retention that the operators ask for, in seconds: clocks of processes
# start to count at different moments, and a restart counts from its own start.
RETENTION_SLACK_S: Final = 5.0


class Attempt(NamedTuple):
    """Tokens of one attempt: the most it can take, or what it took once settled."""

    tokens: int
    settled: bool


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One whole turn.

    Attributes
    ----------
    previous_id : str
        The turn that it continues; empty at the start of a chain.
    content : bytes
        Its input followed by the output, as the next turn is to repeat them.
    """

    id: str
    previous_id: str
    content: bytes


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Records of one program, as they are sent, written to disk and merged.

    Attributes
    ----------
    retention_s : float
        Seconds for which the account is kept after its last record.
    """

    program: str
    retention_s: float
    attempts: dict[str, Attempt] = {}
    turns: list[Turn] = []


class Account:
    """What is kept for one program."""

    def __init__(self, program: str, now: float) -> None:
        self.program = program
        self.retention_s = 0.0
        self.touched = now
        self.attempts: dict[str, Attempt] = {}
        self.turns: dict[str, Turn] = {}

    def merge(self, entry: Entry, now: float) -> Entry | None:
        """Take records; return those that were new, or None.

        A reservation that arrives after its settlement, late or sent again, is
        dropped: it would take the tokens a second time.
        """
        self.retention_s = max(self.retention_s, entry.retention_s)
        self.touched = now
        attempts: dict[str, Attempt] = {}
        for attempt_id, attempt in entry.attempts.items():
            known = self.attempts.get(attempt_id)
            if known is None or (attempt.settled and not known.settled):
                self.attempts[attempt_id] = attempt
                attempts[attempt_id] = attempt
        turns = [turn for turn in entry.turns if turn.id not in self.turns]
        for turn in turns:
            self.turns[turn.id] = turn
        if not attempts and not turns:
            return None
        return Entry(self.program, self.retention_s, attempts, turns)

    def whole(self) -> Entry:
        """All records of the account."""
        return Entry(
            self.program,
            self.retention_s,
            dict(self.attempts),
            list(self.turns.values()),
        )

    def chain(self, turn_id: str) -> list[Turn]:
        """Return a chain as far back as it is here, the oldest turn first.

        Turns of one chain may lie on different replicas, as each is written to just
        enough of them.  What is missing is asked for by the oldest turn's
        `previous_id`.
        """
        found: list[Turn] = []
        while turn_id:
            turn = self.turns.get(turn_id)
            if turn is None or len(found) > len(self.turns):
                break
            found.append(turn)
            turn_id = turn.previous_id
        found.reverse()
        return found

    def expired(self, now: float) -> bool:
        """Whether the account has not been used for its retention."""
        return now - self.touched > self.retention_s + RETENTION_SLACK_S


class Found(NamedTuple):
    """A chain as far back as it is here, and its program; empty without the turn."""

    program: str
    chain: list[Turn]


class Ledger:
    """All accounts of one replica."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self.turn_bytes = 0
        self._homes: dict[str, Account] = {}

    def merge(self, entry: Entry, now: float) -> Entry | None:
        """Take records of a program; return those that were new, or None."""
        account = self.accounts.get(entry.program)
        if account is None:
            account = self.accounts[entry.program] = Account(entry.program, now)
        new = account.merge(entry, now)
        if new is not None:
            self.turn_bytes += sum(len(turn.content) for turn in new.turns)
            for turn in new.turns:
                self._homes.setdefault(turn.id, account)
        return new

    def find(self, turn_id: str) -> Found:
        """Return a chain as far back as it is here, and the program it belongs to.

        A new program may continue from a turn of an earlier one, so a turn is found by
        its id alone.
        """
        account = self._homes.get(turn_id)
        if account is None:
            return Found("", [])
        return Found(account.program, account.chain(turn_id))

    def expire(self, now: float) -> list[str]:
        """Drop accounts that are past their retention; return their programs."""
        gone = [a for a in self.accounts.values() if a.expired(now)]
        for account in gone:
            del self.accounts[account.program]
            for turn_id in account.turns:
                if self._homes.get(turn_id) is account:
                    del self._homes[turn_id]
            self.turn_bytes -= sum(len(t.content) for t in account.turns.values())
        return [account.program for account in gone]

    def longest_retention_s(self) -> float:
        """Seconds after which every record written so far was used again or expired."""
        retention_s = max((a.retention_s for a in self.accounts.values()), default=0.0)
        return retention_s + RETENTION_SLACK_S


def merge_attempts(replies: list[dict[str, Attempt]]) -> dict[str, Attempt]:
    """Merge the attempts that several replicas know of one program."""
    merged: dict[str, Attempt] = {}
    for attempts in replies:
        for attempt_id, attempt in attempts.items():
            known = merged.get(attempt_id)
            if known is None or attempt.settled:
                merged[attempt_id] = attempt
    return merged


def fits_budget(attempts: dict[str, Attempt], attempt_id: str, budget: int) -> bool:
    """Whether an attempt that is among the reserved ones keeps the budget.

    Two attempts that reserve at the same moment see each other and may both be
    refused; that is the safe side, and each frees its reservation at once.
    """
    assert attempt_id in attempts, "an attempt reserves before it asks"
    return sum(attempt.tokens for attempt in attempts.values()) <= budget
