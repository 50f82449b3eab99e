"""The ledger: records of programs, and how copies of them are merged.

An account holds the attempts of a program and, if the route retains history, its turns.
An attempt first reserves the maximum number of tokens that it can generate, and is then
settled with the number delivered to the caller.  Accounts only grow: an attempt is
never removed while the account exists, a settled attempt never changes, and a turn
never changes.  Copies that received the same records in another order, or twice, are
therefore equal, and merging two copies loses nothing.

A reservation is durable before the request is sent to a server.  An attempt that is
not settled stays reserved: if the process that ran it fails, the number of tokens
delivered to the caller is unknown, and counting the maximum ensures that the budget is
not exceeded.

An account also has the attempts that may have been sent to a server, by the digests of
their requests.  As a reservation is written to a quorum and read from one, of two
attempts of one request at least one learns of the other before either is sent.

The turns of an account end with its retention.  Its attempts are retained for longer,
encoded, as the program may pause and then go on with the same budget.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

# Digest of an attempt that was not sent to a server.
UNSENT: Final = b""
# Last attempts of a program that are remembered by their requests: more than are made
# in the time for which the attempts of one request go on.
MAX_SENDS: Final = 64
# Added to the configured retention: the clocks of processes have different origins, and
# a restarted process counts the retention from its own start.
RETENTION_SLACK_S: Final = 5.0
# Seconds for which the attempts of a program are retained after its turns.
ATTEMPTS_RETENTION_S: Final = 600.0
# Programs of which only the attempts are retained; some 500 bytes each.
MAX_DORMANT: Final = 16_384


class Attempt(NamedTuple):
    """Tokens of one attempt: the maximum, or the actual number once settled."""

    tokens: int
    settled: bool


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One complete turn.

    Attributes
    ----------
    previous_id : str
        Id of the turn that it continues; empty at the start of a chain.
    content : bytes
        Its input followed by its output, as the next turn must repeat them.
    """

    id: str
    previous_id: str
    content: bytes


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Records of one program, as they are sent, written to disk and merged.

    Attributes
    ----------
    retention_s : float
        Seconds for which the account is retained after its last record.
    sends : dict
        By a number that no other attempt has: digest of the request that an attempt may
        have sent to a server; empty once it is known that it did not.
    """

    program: str
    retention_s: float
    attempts: dict[str, Attempt] = {}
    turns: list[Turn] = []
    sends: dict[int, bytes] = {}


class Account:
    """All records of one program.

    Attributes
    ----------
    last_used_at : float
        Time of the last write; if that is unknown, of the copy or of the start.
    is_use_known : bool
        False after records were copied or read from the disk, until the next write.
    """

    def __init__(self, program: str, now: float) -> None:
        self.program = program
        self.retention_s = 0.0
        self.last_used_at = now
        self.is_use_known = False
        self.attempts: dict[str, Attempt] = {}
        self.turns: dict[str, Turn] = {}
        self.sends: dict[int, bytes] = {}

    def merge(self, entry: Entry, now: float, *, is_use: bool = True) -> Entry | None:
        """Merge records; return the new ones, or None.

        A reservation that arrives after its settlement, delayed or repeated, is
        dropped: it would reserve the tokens a second time.

        Parameters
        ----------
        is_use : bool
            False if the records are copied or read from the disk.
        """
        self.retention_s = max(self.retention_s, entry.retention_s)
        attempts: dict[str, Attempt] = {}
        for attempt_id, attempt in entry.attempts.items():
            known = self.attempts.get(attempt_id)
            if known is None or (attempt.settled and not known.settled):
                self.attempts[attempt_id] = attempt
                attempts[attempt_id] = attempt
        turns = [turn for turn in entry.turns if turn.id not in self.turns]
        for turn in turns:
            self.turns[turn.id] = turn
        sends = {
            number: digest
            for number, digest in entry.sends.items()
            if self.sends.get(number, b"*") not in (digest, UNSENT)
        }
        self.sends |= sends
        for number in list(self.sends)[:-MAX_SENDS]:
            del self.sends[number]
        has_new = bool(attempts or turns or sends)
        if is_use or has_new:
            self.last_used_at = now
            self.is_use_known = is_use
        if not has_new:
            return None
        return Entry(self.program, self.retention_s, attempts, turns, sends)

    def is_only_send(self, sends: dict[int, bytes]) -> bool:
        """Whether no other attempt may have sent the request of some to a server."""
        digests = {digest for digest in sends.values() if digest != UNSENT}
        others = (d for number, d in self.sends.items() if number not in sends)
        return bool(digests) and digests.isdisjoint(others)

    def turn_bytes(self) -> int:
        """Return the size of the stored turns."""
        return sum(len(turn.content) for turn in self.turns.values())

    def to_entry(self) -> Entry:
        """Return all records of the account."""
        return Entry(
            self.program,
            self.retention_s,
            dict(self.attempts),
            list(self.turns.values()),
            dict(self.sends),
        )

    def chain(self, turn_id: str) -> list[Turn]:
        """Return the stored part of a chain that ends with a turn, oldest turn first.

        The turns of a chain may be on different replicas, as each is written to only as
        many as a quorum needs.  `previous_id` of the oldest turn identifies the missing
        part.
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

    def is_expired(self, now: float) -> bool:
        """Whether the account has been unused for longer than its retention."""
        return now - self.last_used_at > self.retention_s + RETENTION_SLACK_S


class _Dormant(NamedTuple):
    """An account without turns; its attempts are encoded."""

    last_used_at: float
    retention_s: float
    attempts: bytes

    def is_expired(self, now: float) -> bool:
        """Whether the attempts have been unused for longer than their retention."""
        retention_s = self.retention_s + RETENTION_SLACK_S + ATTEMPTS_RETENTION_S
        return now - self.last_used_at > retention_s


_ENCODER: Final = msgspec.msgpack.Encoder()
_ATTEMPTS_DECODER: Final = msgspec.msgpack.Decoder(dict[str, Attempt])


class FoundChain(NamedTuple):
    """The stored part of a chain, and its program; empty if the turn is unknown."""

    program: str
    chain: list[Turn]


class Ledger:
    """All accounts of one replica."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self.turn_bytes = 0
        self._account_of_turn: dict[str, Account] = {}
        # The least recently used first, as far as this replica knows.
        self._dormant: dict[str, _Dormant] = {}

    def __contains__(self, program: object) -> bool:
        return program in self.accounts or program in self._dormant

    @property
    def dormant_count(self) -> int:
        """Number of programs of which only the attempts are retained."""
        return len(self._dormant)

    def programs(self) -> list[str]:
        """Return all programs with records."""
        return [*self.accounts, *self._dormant]

    def entry(self, program: str) -> Entry:
        """Return all records of a program that has some."""
        account = self.accounts.get(program)
        if account is not None:
            return account.to_entry()
        dormant = self._dormant[program]
        attempts = _ATTEMPTS_DECODER.decode(dormant.attempts)
        return Entry(program, dormant.retention_s, attempts)

    def merge(self, entry: Entry, now: float, *, is_use: bool = True) -> Entry | None:
        """Merge records of a program; return the new ones, or None.

        Parameters
        ----------
        is_use : bool
            False if the records are copied or read from the disk.
        """
        account = self.accounts.get(entry.program)
        if account is None:
            account = Account(entry.program, now)
            if entry.program in self._dormant:
                account.merge(self.entry(entry.program), now, is_use=False)
                del self._dormant[entry.program]
            self.accounts[entry.program] = account
        new_records = account.merge(entry, now, is_use=is_use)
        if new_records is not None:
            self.turn_bytes += sum(len(turn.content) for turn in new_records.turns)
            for turn in new_records.turns:
                self._account_of_turn.setdefault(turn.id, account)
        return new_records

    def find(self, turn_id: str) -> FoundChain:
        """Return the stored part of a chain, and the program that it belongs to.

        A new program may continue from a turn of an earlier one, so a turn is looked up
        by its id alone.
        """
        account = self._account_of_turn.get(turn_id)
        if account is None:
            return FoundChain("", [])
        return FoundChain(account.program, account.chain(turn_id))

    def expired_programs(self, now: float) -> list[str]:
        """Return the programs of which this replica has not used what it retains."""
        expired = [p for p, a in self.accounts.items() if a.is_expired(now)]
        return expired + [p for p, d in self._dormant.items() if d.is_expired(now)]

    def is_expired(self, program: str, now: float) -> bool:
        """Whether what is retained of a program has been unused for its retention."""
        records = self.accounts.get(program) or self._dormant.get(program)
        return records is not None and records.is_expired(now)

    def last_used_at(self, program: str) -> float | None:
        """Return when the records of a program were used; None if there are none."""
        records = self.accounts.get(program) or self._dormant.get(program)
        return None if records is None else records.last_used_at

    def record_use(self, program: str, used_at: float) -> None:
        """Record when another replica has used the records of a program."""
        account = self.accounts.get(program)
        dormant = self._dormant.get(program)
        if account is not None:
            account.last_used_at = max(account.last_used_at, used_at)
        elif dormant is not None:
            # At the end: the first ones are dropped when there are too many.
            del self._dormant[program]
            used_at = max(dormant.last_used_at, used_at)
            self._dormant[program] = dormant._replace(last_used_at=used_at)

    def remove(self, program: str) -> None:
        """Remove all records of a program."""
        self._dormant.pop(program, None)
        account = self.accounts.pop(program, None)
        if account is None:
            return
        for turn_id in account.turns:
            if self._account_of_turn.get(turn_id) is account:
                del self._account_of_turn[turn_id]
        self.turn_bytes -= account.turn_bytes()

    def retire(self, program: str) -> None:
        """Remove the turns of a program, or its attempts if it has no turns here."""
        account = self.accounts.get(program)
        self.remove(program)
        if account is None or not account.attempts:
            return
        if len(self._dormant) >= MAX_DORMANT:
            del self._dormant[next(iter(self._dormant))]
        self._dormant[program] = _Dormant(
            account.last_used_at,
            account.retention_s,
            _ENCODER.encode(account.attempts),
        )

    def longest_retention_s(self) -> float:
        """Return the longest retention of all accounts, in seconds.

        A record older than this belongs to an account that was used again, has expired
        or is dormant.
        """
        retention_s = max((a.retention_s for a in self.accounts.values()), default=0.0)
        return retention_s + RETENTION_SLACK_S


def merge_attempts(replies: list[dict[str, Attempt]]) -> dict[str, Attempt]:
    """Merge the attempts of one program as reported by several replicas."""
    merged: dict[str, Attempt] = {}
    for attempts in replies:
        for attempt_id, attempt in attempts.items():
            known = merged.get(attempt_id)
            if known is None or attempt.settled:
                merged[attempt_id] = attempt
    return merged


def fits_budget(attempts: dict[str, Attempt], attempt_id: str, budget: int) -> bool:
    """Whether the attempts of a program, including `attempt_id`, fit the budget.

    Two attempts that reserve at the same time see each other and may both be refused.
    This cannot exceed the budget, and each releases its reservation at once.
    """
    assert attempt_id in attempts, "an attempt must be reserved before the budget check"
    return sum(attempt.tokens for attempt in attempts.values()) <= budget
