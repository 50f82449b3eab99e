"""Customer quotas: token buckets at a few keepers, the quota holders.

Load pattern: the callers of a customer reach any relay, move between failure domains,
and may send many times their usual load. Each relay sees only a part of it. A request
of a customer with a quota therefore needs a permit from one of the customer's holders,
which all processes determine by rendezvous hash. Each holder owns an equal part of the
quota as a token bucket of its own. The loss of a holder thus costs only its part of the
quota, and holders need no agreement.

A holder restarts with an empty bucket, as it has no record of its permits. Over any
time span it grants at most one full bucket plus the inflow, with or without a restart,
so a burst is not granted twice. A new holder waits until its predecessor has learned of
the change, and also starts with an empty bucket.

A program needs many requests, and a request rejected near its end wastes all work done
before. Requests of running programs therefore have precedence: a new program is
admitted only while the quota covers the requests that recent programs have needed.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from functools import lru_cache
from typing import Final, NamedTuple

from .customers import Customer, Quota
from .hashing import hash64
from .membership import Member, spread_over_domains

# Maximum number of holders per customer. With one of three lost, two thirds of the
# quota remain.
MAX_HOLDERS: Final = 3
# Longest time in seconds from a permit to the arrival of its request at a server.
PERMIT_LIFETIME_S: Final = 0.3
# Fraction of the tolerated excess that permits may use. The rest is for requests that
# run on a second server, and for clock differences.
TOLERANCE_FRACTION: Final = 0.8
# A permit is granted at most this many seconds before it becomes valid, and the relay
# waits until then. A rejected caller would take longer to come back.
MAX_ADVANCE_S: Final = 0.5
# Wait of a new holder in seconds. It exceeds the time in which its predecessor receives
# the new member list, or notices that it has lost contact to most members.
HANDOVER_S: Final = 2.5
# Longest absence of a holder, in seconds, during which no other member can have
# replaced it. It is shorter than `HANDOVER_S` by more than twice the time in which
# lists reach all members.
MAX_GAP_S: Final = 1.0
# Maximum number of stored member lists, from which the start of a holder's term is
# found.
MAX_MEMBER_LISTS: Final = 16
# Seconds without a request after which a program counts as ended.
PROGRAM_IDLE_S: Final = 6.0
# Requests that a program of an unknown kind is expected to need.
INITIAL_ESTIMATE: Final = 12.0
# Weight of an ended program in the moving average of its kind.
ESTIMATE_WEIGHT: Final = 0.1
# Maximum number of program kinds with an estimate of their own.
MAX_KINDS: Final = 256
# Maximum number of programs stored per customer; the least recently seen are evicted.
MAX_PROGRAMS: Final = 4096


class QuotaBounds(NamedTuple):
    """Criteria by which the operators judge quotas.

    Attributes
    ----------
    window_s : float
        Length of the measured time windows in seconds.
    excess_fraction : float
        Fraction by which a window may exceed the quota.
    slack_requests : float
        Number of requests by which it may exceed the quota in addition.
    """

    window_s: float = 1.0
    excess_fraction: float = 0.0
    slack_requests: float = 0.0


class HolderQuota(NamedTuple):
    """Part of a customer's quota that each of its holders may grant.

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
    """Outcome of a permit request."""

    GRANTED = 0
    # The quota is used up, or reserved for running programs.
    EXHAUSTED = 1
    # This process is not a holder of the customer's quota, or cannot be sure that it
    # is.
    NOT_HOLDER = 2


class Permit(NamedTuple):
    """Response of a holder to a permit request.

    Attributes
    ----------
    wait_s : float
        Seconds until the permit is valid, or until a retry is useful.
    is_program_refused : bool
        Whether a new program is rejected, however soon its first request could run.
    """

    status: PermitStatus
    wait_s: float = 0.0
    is_program_refused: bool = False


@lru_cache(maxsize=4096)
def holder_quota(quota: Quota, bounds: QuotaBounds) -> HolderQuota:
    """Derive the token bucket of each holder from a customer's quota.

    Requests that arrive in a window got their permits in a span longer by
    `PERMIT_LIFETIME_S`. A bucket grants its depth plus the inflow, so the total depth
    is the window's limit less the inflow of that span, divided among the holders.
    """
    rate, burst = quota
    allowed = rate * bounds.window_s + burst
    tolerated = allowed * bounds.excess_fraction + bounds.slack_requests
    inflow = rate * (bounds.window_s + PERMIT_LIFETIME_S)
    depth = max(1.0, allowed + TOLERANCE_FRACTION * tolerated - inflow)
    holders = max(1, min(MAX_HOLDERS, int(depth)))
    return HolderQuota(rate / holders, depth / holders, holders)


@lru_cache(maxsize=16384)
def quota_holders(
    members: tuple[Member, ...], customer: str, count: int
) -> tuple[Member, ...]:
    """Choose a customer's holders, spread over failure domains if possible."""
    order = sorted(
        members, key=lambda m: hash64("quota", customer, m.name), reverse=True
    )
    return spread_over_domains(order, count)


def query_order(holders: tuple[Member, ...], program: str) -> list[Member]:
    """Return the order in which holders are asked for a program's permits.

    All relays start with the same holder, which therefore knows the program.
    """
    return sorted(holders, key=lambda m: hash64("permit", program, m.name))


class _Bucket:
    """A token bucket; a negative level is a deficit."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self._at = now

    def refill(self, rate_per_s: float, depth: float, now: float) -> None:
        """Add the inflow since the last call."""
        added = rate_per_s * max(0.0, now - self._at)
        self.level = min(depth, self.level + added)
        self._at = max(self._at, now)


class _ProgramUsage(NamedTuple):
    """An admitted program, with its granted and its reserved requests."""

    kind: str
    requests: int
    reserved: float
    last_seen_at: float


class _RequestEstimates:
    """Moving average of the requests that programs of each kind need."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def estimate(self, kind: str) -> float:
        """Return the expected requests of a program of this kind."""
        return self._means.get(kind, INITIAL_ESTIMATE)

    def add_sample(self, kind: str, requests: int) -> None:
        """Add the number of requests of an ended program."""
        if not kind or (kind not in self._means and len(self._means) >= MAX_KINDS):
            return
        mean = self.estimate(kind)
        self._means[kind] = mean + ESTIMATE_WEIGHT * (requests - mean)


class _CustomerAccount:
    """State of a customer at one of its holders."""

    def __init__(self, bucket: HolderQuota, term_start: float, now: float) -> None:
        term_s = max(0.0, now - term_start)
        self.term_start = term_start
        self.list_number = -1
        self.permits = _Bucket(min(bucket.depth, bucket.rate_per_s * term_s), now)
        self.admissions = _Bucket(self.permits.level, now)
        # Ordered by last request, most recent last.
        self.programs: OrderedDict[str, _ProgramUsage] = OrderedDict()

    def resume(self, bucket: HolderQuota, term_start: float, now: float) -> None:
        """Start a new term after a gap in which others may have granted permits.

        Permits granted before the gap still count. Otherwise a member list that changes
        many times per second would fill the bucket each time.
        """
        self.term_start = term_start
        self.permits.refill(bucket.rate_per_s, bucket.depth, now)
        term_s = max(0.0, now - term_start)
        self.permits.level = min(self.permits.level, bucket.rate_per_s * term_s)

    def admit_program(
        self, program: str, kind: str, expected_requests: float, now: float
    ) -> None:
        """Add an admitted program and reserve its expected requests."""
        self.admissions.level -= expected_requests
        self.programs[program] = _ProgramUsage(kind, 0, expected_requests, now)

    def record_request(self, program: str, now: float) -> None:
        """Record a permitted request of a program."""
        known = self.programs.pop(program, _ProgramUsage("", 0, 0.0, now))
        count = known.requests + 1
        # Requests beyond the reservation reduce the capacity for new programs.
        shortfall = max(0.0, count - known.reserved) if known.kind else 0.0
        self.admissions.level -= shortfall
        reserved = known.reserved + shortfall
        self.programs[program] = _ProgramUsage(known.kind, count, reserved, now)

    def expire_programs(self, estimates: _RequestEstimates, now: float) -> None:
        """Remove ended programs, release unused reservations, update the estimates."""
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
    """Grants permits to the customers that have this member as a quota holder.

    Parameters
    ----------
    me : Member
        This process.
    bounds : QuotaBounds
        Criteria by which quotas are judged.
    members : tuple of Member
        Member list at the start of the process.
    now : float
        Time of a monotonic clock in seconds.
    """

    def __init__(
        self, me: Member, bounds: QuotaBounds, members: tuple[Member, ...], now: float
    ) -> None:
        self._me = me
        self._bounds = bounds
        self._customers: dict[str, Customer] = {}
        self._accounts: dict[str, _CustomerAccount] = {}
        self._estimates = _RequestEstimates()
        # Member lists with the time at which each became known, newest last. When the
        # first one took effect, any previous process of this member had already ended.
        self._member_lists = [(members, now)]
        self._list_number = 0
        # Time until which a changed number of a customer's holders delays this holder's
        # term.
        self._handover_until: dict[str, float] = {}

    def configure(self, customers: dict[str, Customer], now: float) -> None:
        """Apply the customers of a newer configuration."""
        for name, customer in customers.items():
            before = self._customers.get(name)
            if before is None or before.quota is None or customer.quota is None:
                continue
            if before.quota == customer.quota:
                continue
            buckets = [holder_quota(c.quota, self._bounds) for c in (before, customer)]
            if buckets[0].holders != buckets[1].holders:
                # An added holder must not grant again the permits that others granted.
                self._handover_until[name] = now + HANDOVER_S
                self._list_number += 1
        self._customers = customers
        for name in self._accounts.keys() - customers.keys():
            del self._accounts[name]

    def update_members(self, members: tuple[Member, ...], now: float) -> None:
        """Apply a newer member list."""
        if members == self._member_lists[-1][0]:
            return
        self._member_lists.append((members, now))
        del self._member_lists[:-MAX_MEMBER_LISTS]
        self._list_number += 1

    def request_permit(
        self, customer: str, program: str, kind: str, allow_delayed: bool, now: float
    ) -> Permit:
        """Grant or reject a permit for one request.

        Parameters
        ----------
        program : str
            Program of the request; empty for a single request.
        kind : str
            Kind of the program if this may be its first request; else empty.
        allow_delayed : bool
            Whether a permit that becomes valid a little later is accepted.
        """
        known = self._customers.get(customer)
        if known is None:
            return Permit(PermitStatus.NOT_HOLDER)
        if known.quota is None:
            return Permit(PermitStatus.GRANTED)
        bucket = holder_quota(known.quota, self._bounds)
        account = self._account(customer, bucket, now)
        if account is None:
            return Permit(PermitStatus.NOT_HOLDER)
        account.permits.refill(bucket.rate_per_s, bucket.depth, now)
        account.admissions.refill(bucket.rate_per_s, bucket.depth, now)
        account.expire_programs(self._estimates, now)
        # A new holder cannot tell new programs from running ones.
        knows_programs = now - account.term_start > PROGRAM_IDLE_S
        is_new = knows_programs and bool(kind) and program not in account.programs
        if (is_new or not program) and account.admissions.level <= 0:
            return Permit(
                PermitStatus.EXHAUSTED,
                -account.admissions.level / bucket.rate_per_s,
                True,
            )
        wait_s = max(0.0, 1.0 - account.permits.level) / bucket.rate_per_s
        if wait_s > (MAX_ADVANCE_S if allow_delayed else 0.0):
            return Permit(PermitStatus.EXHAUSTED, wait_s)
        account.permits.level -= 1.0
        if is_new:
            account.admit_program(program, kind, self._estimates.estimate(kind), now)
        if program:
            account.record_request(program, now)
        else:
            account.admissions.level -= 1.0
        return Permit(PermitStatus.GRANTED, wait_s)

    def _account(
        self, customer: str, bucket: HolderQuota, now: float
    ) -> _CustomerAccount | None:
        """Return the account of a customer; None if this is not (yet) a holder."""
        account = self._accounts.get(customer)
        if account is not None and account.list_number == self._list_number:
            return account
        term_start = self._term_start(customer, bucket.holders)
        if term_start is None or term_start > now:
            return None
        if account is None:
            account = self._accounts[customer] = _CustomerAccount(
                bucket, term_start, now
            )
        elif term_start > account.term_start:
            account.resume(bucket, term_start, now)
        account.list_number = self._list_number
        return account

    def _term_start(self, customer: str, count: int) -> float | None:
        """Return the start of this member's current term as a holder, or None.

        A gap too short for another member to act as a holder is ignored. If several
        members drop out of the list and come back one by one, all holders of a customer
        would otherwise wait for each other.
        """
        term_start: float | None = None
        resumed_at = 0.0
        for index in reversed(range(len(self._member_lists))):
            members, known_at = self._member_lists[index]
            if self._me in quota_holders(members, customer, count):
                term_start = known_at + (HANDOVER_S if index else 0.0)
                resumed_at = known_at
            elif term_start is None or resumed_at - known_at > MAX_GAP_S:
                break
        if term_start is None:
            return None
        return max(term_start, self._handover_until.get(customer, term_start))
