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
from .hashing import hash64
from .membership import Member, spread_over_domains

# Holders of one customer: with one lost, two thirds of the quota are still there.
HOLDERS: Final = 3
# Longest time from a permit to the arrival of its request at a server, in seconds.
PERMIT_LIFETIME_S: Final = 0.3
# Share of the tolerated excess that permits may use up.  The rest is for requests that
# run on a second server, and for clocks that differ.
TOLERANCE_USED: Final = 0.8
# A permit is given ahead of time by at most this, in seconds; the relay waits for it.
# A refused caller would take longer to come back.
MAX_ADVANCE_S: Final = 0.5
# A new holder waits this long, in seconds: more than its predecessor takes to hear of
# the new list, or to notice that it hears most members no more.
HANDOVER_S: Final = 2.5
# A member that was no holder for this long, in seconds, was not replaced: less than
# `HANDOVER_S` by more than lists take to get to all members, twice.
SHORT_GAP_S: Final = 1.0
# Lists of members that are remembered, to tell since when this one is a holder.
MOST_LISTS: Final = 16
# A program that has asked for nothing for this long counts as ended, in seconds.
IDLE_S: Final = 6.0
# Requests that a program of a kind not met before is taken to need.
FIRST_NEED: Final = 12.0
# Weight of a newly ended program in what its kind is taken to need.
NEED_GAIN: Final = 0.1
# Kinds of programs that are told apart.
MOST_KINDS: Final = 256
# Programs remembered by one customer; the least recently seen yield.
MOST_PROGRAMS: Final = 4096


class QuotaBounds(NamedTuple):
    """How the operators judge quotas.

    Attributes
    ----------
    window_s : float
        Length of the spans that count.
    excess_fraction : float
        Share by which a span may exceed the quota.
    slack_requests : float
        Requests by which it may exceed it besides.
    """

    window_s: float = 1.0
    excess_fraction: float = 0.0
    slack_requests: float = 0.0


class HolderQuota(NamedTuple):
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


class PermitStatus(IntEnum):
    """How a holder answers."""

    GRANTED = 0
    # The quota, or what programs under way need of it, is used up.
    EXHAUSTED = 1
    # This process is no holder of the customer, or cannot know whether it is.
    NOT_HOLDER = 2


class Permit(NamedTuple):
    """A holder's answer.

    Attributes
    ----------
    wait_s : float
        Seconds until the permit counts, or until it is worth asking again.
    is_program_refused : bool
        Whether the program may not begin, however soon its first request could run.
    """

    answer: PermitStatus
    wait_s: float = 0.0
    is_program_refused: bool = False


@lru_cache(maxsize=4096)
def holder_quota(quota: Quota, bounds: QuotaBounds) -> HolderQuota:
    """Work out the parts of a customer's holders.

    What arrives in a window was permitted in a span longer by `PERMIT_LIFETIME_S`.  A
    bucket gives
    out its depth and what flows in, so the depth is what the window may hold less the
    inflow of that span; the parts of all holders add up to it.
    """
    rate, burst = quota
    allowed = rate * bounds.window_s + burst
    tolerated = allowed * bounds.excess_fraction + bounds.slack_requests
    inflow = rate * (bounds.window_s + PERMIT_LIFETIME_S)
    depth = max(1.0, allowed + TOLERANCE_USED * tolerated - inflow)
    holders = max(1, min(HOLDERS, int(depth)))
    return HolderQuota(rate / holders, depth / holders, holders)


@lru_cache(maxsize=16384)
def quota_holders(
    members: tuple[Member, ...], customer: str, count: int
) -> tuple[Member, ...]:
    """Choose a customer's holders, in different failure domains where there are any."""
    order = sorted(
        members, key=lambda m: hash64("quota", customer, m.name), reverse=True
    )
    return spread_over_domains(order, count)


def query_order(holders: tuple[Member, ...], program: str) -> list[Member]:
    """Order in which holders are asked for a program's permits.

    Every relay begins with the same one, which then knows the program.
    """
    return sorted(holders, key=lambda m: hash64("permit", program, m.name))


class _Bucket:
    """A token bucket; what it lacks is negative."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self._at = now

    def fill(self, rate_per_s: float, depth: float, now: float) -> None:
        """Let in what has come since the last call."""
        flowed = rate_per_s * max(0.0, now - self._at)
        self.level = min(depth, self.level + flowed)
        self._at = max(self._at, now)


class _Program(NamedTuple):
    """A program that was let in: its requests, and those that were set aside for it."""

    kind: str
    requests: int
    reserved: float
    seen: float


class _Needs:
    """How many requests programs of each kind have needed of late."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def of(self, kind: str) -> float:
        """Return what a program of a kind needs; the kinds are few."""
        return self._means.get(kind, FIRST_NEED)

    def learn(self, kind: str, requests: int) -> None:
        """Take what an ended program has needed."""
        if not kind or (kind not in self._means and len(self._means) >= MOST_KINDS):
            return
        mean = self.of(kind)
        self._means[kind] = mean + NEED_GAIN * (requests - mean)


class _Account:
    """A customer at one of its holders."""

    def __init__(self, share: HolderQuota, since: float, now: float) -> None:
        held_s = max(0.0, now - since)
        self.created = since
        self.list_number = -1
        self.permits = _Bucket(min(share.depth, share.rate_per_s * held_s), now)
        self.starts = _Bucket(self.permits.level, now)
        # By program, the one seen last at the end.
        self.programs: OrderedDict[str, _Program] = OrderedDict()

    def hold_anew(self, share: HolderQuota, since: float, now: float) -> None:
        """Begin again after a gap in which others may have given permits.

        What was given before it still counts: a list that changes many times in a
        second would otherwise fill the bucket each time.
        """
        self.created = since
        self.permits.fill(share.rate_per_s, share.depth, now)
        held_s = max(0.0, now - since)
        self.permits.level = min(self.permits.level, share.rate_per_s * held_s)

    def begin(self, program: str, kind: str, need: float, now: float) -> None:
        """Note a program that is let in, and set aside what it will need."""
        self.starts.level -= need
        self.programs[program] = _Program(kind, 0, need, now)

    def note(self, program: str, now: float) -> None:
        """Note a permitted request of a program."""
        known = self.programs.pop(program, _Program("", 0, 0.0, now))
        count = known.requests + 1
        # One that needs more than was set aside leaves less for the next.
        lacking = max(0.0, count - known.reserved) if known.kind else 0.0
        self.starts.level -= lacking
        reserved = known.reserved + lacking
        self.programs[program] = _Program(known.kind, count, reserved, now)

    def forget(self, needs: _Needs, now: float) -> None:
        """Give back what ended programs have not needed, and learn from them."""
        while self.programs:
            name, oldest = next(iter(self.programs.items()))
            if now - oldest.seen <= IDLE_S and len(self.programs) <= MOST_PROGRAMS:
                return
            del self.programs[name]
            needs.learn(oldest.kind, oldest.requests)
            if oldest.kind:
                self.starts.level += oldest.reserved - oldest.requests


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
        self._accounts: dict[str, _Account] = {}
        self._needs = _Needs()
        # Lists of members and since when each is known, the newest last.  The first was
        # in force when the process before this one, if any, had already ended.
        self._lists = [(members, now)]
        self._list_number = 0
        # When the number of a customer's holders changed.
        self._redivided: dict[str, float] = {}

    def configure(self, customers: dict[str, Customer], now: float) -> None:
        """Take the customers of a newer configuration."""
        for name, customer in customers.items():
            before = self._customers.get(name)
            if before is None or before.quota is None or customer.quota is None:
                continue
            if before.quota == customer.quota:
                continue
            shares = [holder_quota(c.quota, self._bounds) for c in (before, customer)]
            if shares[0].holders != shares[1].holders:
                # One that comes in must not give out again what the others have.
                self._redivided[name] = now + HANDOVER_S
                self._list_number += 1
        self._customers = customers
        for name in self._accounts.keys() - customers.keys():
            del self._accounts[name]

    def update_members(self, members: tuple[Member, ...], now: float) -> None:
        """Take a newer list of members."""
        if members == self._lists[-1][0]:
            return
        self._lists.append((members, now))
        del self._lists[:-MOST_LISTS]
        self._list_number += 1

    def ask(
        self, customer: str, program: str, kind: str, allow_delayed: bool, now: float
    ) -> Permit:
        """Give a permit for one request, or not.

        Parameters
        ----------
        program : str
            What the request belongs to; empty for a request by itself.
        kind : str
            Kind of the program if this may be its first request; else empty.
        allow_delayed : bool
            Whether a permit that counts a little later will do.
        """
        known = self._customers.get(customer)
        if known is None:
            return Permit(PermitStatus.NOT_HOLDER)
        if known.quota is None:
            return Permit(PermitStatus.GRANTED)
        share = holder_quota(known.quota, self._bounds)
        account = self._account(customer, share, now)
        if account is None:
            return Permit(PermitStatus.NOT_HOLDER)
        account.permits.fill(share.rate_per_s, share.depth, now)
        account.starts.fill(share.rate_per_s, share.depth, now)
        account.forget(self._needs, now)
        # One that has just begun to hold cannot tell new programs from those under way.
        tells = now - account.created > IDLE_S
        begins = tells and bool(kind) and program not in account.programs
        if (begins or not program) and account.starts.level <= 0:
            return Permit(
                PermitStatus.EXHAUSTED, -account.starts.level / share.rate_per_s, True
            )
        wait_s = max(0.0, 1.0 - account.permits.level) / share.rate_per_s
        if wait_s > (MAX_ADVANCE_S if allow_delayed else 0.0):
            return Permit(PermitStatus.EXHAUSTED, wait_s)
        account.permits.level -= 1.0
        if begins:
            account.begin(program, kind, self._needs.of(kind), now)
        if program:
            account.note(program, now)
        else:
            account.starts.level -= 1.0
        return Permit(PermitStatus.GRANTED, wait_s)

    def _account(
        self, customer: str, share: HolderQuota, now: float
    ) -> _Account | None:
        """Return the account of a customer; None if this is no holder, or not yet."""
        account = self._accounts.get(customer)
        if account is not None and account.list_number == self._list_number:
            return account
        since = self._held_since(customer, share.holders)
        if since is None or since > now:
            return None
        if account is None:
            account = self._accounts[customer] = _Account(share, since, now)
        elif since > account.created:
            account.hold_anew(share, since, now)
        account.list_number = self._list_number
        return account

    def _held_since(self, customer: str, count: int) -> float | None:
        """Return since when this member may act as a holder, without a gap.

        A gap that was too short for anybody to act in its place is none: when several
        members fall out of the list and come back one by one, all holders of a customer
        would otherwise wait for each other.
        """
        held: float | None = None
        back_at = 0.0
        for place in reversed(range(len(self._lists))):
            members, known_at = self._lists[place]
            if self._me in quota_holders(members, customer, count):
                held = known_at + (HANDOVER_S if place else 0.0)
                back_at = known_at
            elif held is None or back_at - known_at > SHORT_GAP_S:
                break
        if held is None:
            return None
        return max(held, self._redivided.get(customer, held))
