"""Quotas of customers: how much they may ask of all relays together, and who says so.

The load pattern: a customer's callers reach any relay, move between failure domains,
and may send many times their usual.  Relays see only their own share of it.  So a
request of a customer with a quota needs a permit, and the permits of a customer come
from a few keepers, its holders, chosen alike by all by rendezvous hashing.  Each holder
owns an equal part of the quota and gives permits out of a token bucket of its own, so
that one lost holder takes only its part away and no two have to agree.

A holder that restarts remembers nothing and begins with an empty bucket.  Over any span
it has given out at most what one full bucket holds and what flows in meanwhile, restart
or not, so a burst is not handed out twice.  A member that becomes a holder waits until
the one before it has learned that it no longer is one, and then begins empty.

Programs need many requests, and one refused near its end has cost all that ran before.
So requests of programs under way come first: a new program is let in only while the
quota carries the requests that programs have needed of late.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from functools import lru_cache
from typing import Final, NamedTuple

from .customers import Customer, Quota
from .hashing import hash_word
from .membership import Member, over_domains

# Holders of one customer: with one lost, two thirds of the quota are still there.
MAX_HOLDERS: Final = 3
# Longest time from a permit to the arrival of its request at a server, in seconds.
USE_S: Final = 0.3
# Share of the tolerated excess that permits may use up.  The rest is for requests that
# run on a second server, and for clocks that differ.
TOLERANCE_FRACTION: Final = 0.8
# A permit is given ahead of time by at most this, in seconds; the relay waits for it.
# A refused caller would take longer to come back.
AHEAD_S: Final = 0.5
# A new holder waits this long, in seconds: more than its predecessor takes to hear of
# the new list, or to notice that it hears most members no more.
HANDOVER_S: Final = 2.5
# A member that was no holder for this long, in seconds, was not replaced: less than
# `HANDOVER_S` by more than lists take to get to all members, twice.
MAX_GAP_S: Final = 1.0
# Lists of members that are remembered, to tell since when this one is a holder.
MAX_MEMBER_LISTS: Final = 16
# A program that has asked for nothing for this long counts as ended, in seconds.
PROGRAM_IDLE_S: Final = 6.0
# Requests that a program of a kind not met before is taken to need.
INITIAL_ESTIMATE: Final = 12.0
# Weight of a newly ended program in what its kind is taken to need.
ESTIMATE_WEIGHT: Final = 0.1
# Kinds of programs that are told apart.
MAX_KINDS: Final = 256
# Programs remembered by one customer; the least recently seen yield.
MAX_PROGRAMS: Final = 4096


class QuotaBounds(NamedTuple):
    """How the operators judge quotas.

    Attributes
    ----------
    window_s : float
        Length of the spans that count.
    over : float
        Share by which a span may exceed the quota.
    slack : float
        Requests by which it may exceed it besides.
    """

    window_s: float = 1.0
    over: float = 0.0
    slack: float = 0.0


class Allowance(NamedTuple):
    """What the holders of a customer may give out.

    Attributes
    ----------
    rate_per_s, depth : float
        Token bucket of one holder.
    holders : int
        Number of holders.
    """

    rate_per_s: float
    depth: float
    holders: int


class Answer(IntEnum):
    """How a holder answers."""

    GRANTED = 0
    # The quota, or what programs under way need of it, is used up.
    SPENT = 1
    # This process is no holder of the customer, or cannot know whether it is.
    NOT_MINE = 2


class Permit(NamedTuple):
    """A holder's answer.

    Attributes
    ----------
    wait_s : float
        Seconds until the permit counts, or until it is worth asking again.
    not_started : bool
        Whether the program may not begin, however soon its first request could run.
    """

    answer: Answer
    wait_s: float = 0.0
    not_started: bool = False


@lru_cache(maxsize=4096)
def allowance(quota: Quota, bounds: QuotaBounds) -> Allowance:
    """Work out the parts of a customer's holders.

    What arrives in a window was permitted in a span longer by `USE_S`.  A bucket gives
    out its depth and what flows in, so the depth is what the window may hold less the
    inflow of that span; the parts of all holders add up to it.
    """
    rate, burst = quota
    allowed = rate * bounds.window_s + burst
    tolerated = allowed * bounds.over + bounds.slack
    inflow = rate * (bounds.window_s + USE_S)
    depth = max(1.0, allowed + TOLERANCE_FRACTION * tolerated - inflow)
    holders = max(1, min(MAX_HOLDERS, int(depth)))
    return Allowance(rate / holders, depth / holders, holders)


@lru_cache(maxsize=16384)
def holders_of(
    members: tuple[Member, ...], customer: str, count: int
) -> tuple[Member, ...]:
    """Choose a customer's holders, in different failure domains where there are any."""
    order = sorted(
        members, key=lambda m: hash_word("quota", customer, m.name), reverse=True
    )
    return over_domains(order, count)


def asking_order(holders: tuple[Member, ...], program: str) -> list[Member]:
    """Order in which holders are asked for a program's permits.

    Every relay begins with the same one, which then knows the program.
    """
    return sorted(holders, key=lambda m: hash_word("permit", program, m.name))


class _Bucket:
    """A token bucket; what it lacks is negative."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self._at = now

    def refill(self, rate_per_s: float, depth: float, now: float) -> None:
        """Let in what has come since the last call."""
        added = rate_per_s * max(0.0, now - self._at)
        self.level = min(depth, self.level + added)
        self._at = max(self._at, now)


class _ProgramUsage(NamedTuple):
    """A program that was let in: its requests, and those that were set aside for it."""

    kind: str
    requests: int
    reserved: float
    last_seen_at: float


class _RequestEstimates:
    """How many requests programs of each kind have needed of late."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def estimate(self, kind: str) -> float:
        """Return what a program of a kind needs; the kinds are few."""
        return self._means.get(kind, INITIAL_ESTIMATE)

    def add_sample(self, kind: str, requests: int) -> None:
        """Take what an ended program has needed."""
        if not kind or (kind not in self._means and len(self._means) >= MAX_KINDS):
            return
        mean = self.estimate(kind)
        self._means[kind] = mean + ESTIMATE_WEIGHT * (requests - mean)


class _CustomerAccount:
    """A customer at one of its holders."""

    def __init__(self, bucket: Allowance, held_from: float, now: float) -> None:
        held_s = max(0.0, now - held_from)
        self.held_from = held_from
        self.list_number = -1
        self.permits = _Bucket(min(bucket.depth, bucket.rate_per_s * held_s), now)
        self.admissions = _Bucket(self.permits.level, now)
        # By program, the one seen last at the end.
        self.programs: OrderedDict[str, _ProgramUsage] = OrderedDict()

    def resume(self, bucket: Allowance, held_from: float, now: float) -> None:
        """Begin again after a gap in which others may have given permits.

        What was given before it still counts: a list that changes many times in a
        second would otherwise fill the bucket each time.
        """
        self.held_from = held_from
        self.permits.refill(bucket.rate_per_s, bucket.depth, now)
        held_s = max(0.0, now - held_from)
        self.permits.level = min(self.permits.level, bucket.rate_per_s * held_s)

    def admit_program(
        self, program: str, kind: str, expected_requests: float, now: float
    ) -> None:
        """Note a program that is let in, and set aside what it will need."""
        self.admissions.level -= expected_requests
        self.programs[program] = _ProgramUsage(kind, 0, expected_requests, now)

    def record_request(self, program: str, now: float) -> None:
        """Note a permitted request of a program."""
        known = self.programs.pop(program, _ProgramUsage("", 0, 0.0, now))
        count = known.requests + 1
        # One that needs more than was set aside leaves less for the next.
        shortfall = max(0.0, count - known.reserved) if known.kind else 0.0
        self.admissions.level -= shortfall
        reserved = known.reserved + shortfall
        self.programs[program] = _ProgramUsage(known.kind, count, reserved, now)

    def expire_programs(self, estimates: _RequestEstimates, now: float) -> None:
        """Give back what ended programs have not needed, and learn from them."""
        while self.programs:
            name, oldest = next(iter(self.programs.items()))
            if (
                now - oldest.last_seen_at <= PROGRAM_IDLE_S
                and len(self.programs) <= MAX_PROGRAMS
            ):
                return
            del self.programs[name]
            estimates.add_sample(oldest.kind, oldest.requests)
            if oldest.kind:
                self.admissions.level += oldest.reserved - oldest.requests


class QuotaHolder:
    """Gives permits for the customers whose holder this member is.

    Parameters
    ----------
    me : Member
        This process.
    bounds : QuotaBounds
        How quotas are judged.
    members : tuple of Member
        The list of members when the process began.
    now : float
        Seconds of a clock that never goes back.
    """

    def __init__(
        self, me: Member, bounds: QuotaBounds, members: tuple[Member, ...], now: float
    ) -> None:
        self._me = me
        self._bounds = bounds
        self._customers: dict[str, Customer] = {}
        self._accounts: dict[str, _CustomerAccount] = {}
        self._estimates = _RequestEstimates()
        # Lists of members and since when each is known, the newest last.  The first was
        # in force when the process before this one, if any, had already ended.
        self._member_lists = [(members, now)]
        self._list_number = 0
        # When the number of a customer's holders changed.
        self._handover_until: dict[str, float] = {}

    def configure(self, customers: dict[str, Customer], now: float) -> None:
        """Take the customers of a newer configuration."""
        for name, customer in customers.items():
            before = self._customers.get(name)
            if before is None or before.quota is None or customer.quota is None:
                continue
            if before.quota == customer.quota:
                continue
            buckets = [allowance(c.quota, self._bounds) for c in (before, customer)]
            if buckets[0].holders != buckets[1].holders:
                # One that comes in must not give out again what the others have.
                self._handover_until[name] = now + HANDOVER_S
                self._list_number += 1
        self._customers = customers
        for name in self._accounts.keys() - customers.keys():
            del self._accounts[name]

    def take_members(self, members: tuple[Member, ...], now: float) -> None:
        """Take a newer list of members."""
        if members == self._member_lists[-1][0]:
            return
        self._member_lists.append((members, now))
        del self._member_lists[:-MAX_MEMBER_LISTS]
        self._list_number += 1

    def ask(
        self, customer: str, program: str, kind: str, ahead: bool, now: float
    ) -> Permit:
        """Give a permit for one request, or not.

        Parameters
        ----------
        program : str
            What the request belongs to; empty for a request by itself.
        kind : str
            Kind of the program if this may be its first request; else empty.
        ahead : bool
            Whether a permit that counts a little later will do.
        """
        known = self._customers.get(customer)
        if known is None:
            return Permit(Answer.NOT_MINE)
        if known.quota is None:
            return Permit(Answer.GRANTED)
        bucket = allowance(known.quota, self._bounds)
        account = self._account(customer, bucket, now)
        if account is None:
            return Permit(Answer.NOT_MINE)
        account.permits.refill(bucket.rate_per_s, bucket.depth, now)
        account.admissions.refill(bucket.rate_per_s, bucket.depth, now)
        account.expire_programs(self._estimates, now)
        # One that has just begun to hold cannot tell new programs from those under way.
        knows_programs = now - account.held_from > PROGRAM_IDLE_S
        is_new = knows_programs and bool(kind) and program not in account.programs
        if (is_new or not program) and account.admissions.level <= 0:
            return Permit(
                Answer.SPENT, -account.admissions.level / bucket.rate_per_s, True
            )
        wait_s = max(0.0, 1.0 - account.permits.level) / bucket.rate_per_s
        if wait_s > (AHEAD_S if ahead else 0.0):
            return Permit(Answer.SPENT, wait_s)
        account.permits.level -= 1.0
        if is_new:
            account.admit_program(program, kind, self._estimates.estimate(kind), now)
        if program:
            account.record_request(program, now)
        else:
            account.admissions.level -= 1.0
        return Permit(Answer.GRANTED, wait_s)

    def _account(
        self, customer: str, bucket: Allowance, now: float
    ) -> _CustomerAccount | None:
        """Return the account of a customer; None if this is no holder, or not yet."""
        account = self._accounts.get(customer)
        if account is not None and account.list_number == self._list_number:
            return account
        held_from = self._held_since(customer, bucket.holders)
        if held_from is None or held_from > now:
            return None
        if account is None:
            account = self._accounts[customer] = _CustomerAccount(
                bucket, held_from, now
            )
        elif held_from > account.held_from:
            account.resume(bucket, held_from, now)
        account.list_number = self._list_number
        return account

    def _held_since(self, customer: str, count: int) -> float | None:
        """Return since when this member may act as a holder, without a gap.

        A gap that was too short for anybody to act in its place is none: when several
        members fall out of the list and come back one by one, all holders of a customer
        would otherwise wait for each other.
        """
        held_from: float | None = None
        resumed_at = 0.0
        for index in reversed(range(len(self._member_lists))):
            members, known_at = self._member_lists[index]
            if self._me in holders_of(members, customer, count):
                held_from = known_at + (HANDOVER_S if index else 0.0)
                resumed_at = known_at
            elif held_from is None or resumed_at - known_at > MAX_GAP_S:
                break
        if held_from is None:
            return None
        return max(held_from, self._handover_until.get(customer, held_from))
