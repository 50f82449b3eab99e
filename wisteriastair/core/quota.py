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
When the limit falls, and for a while after that when running programs get no permits in
time, the holder plans again which of them it carries to their end, and refuses the
others (`quotaplan`).
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from typing import Final, NamedTuple

from .customers import Customer, Quota
from .hashing import hash64
from .membership import Member, spread_over_domains
from .quotaaccount import (
    LOWERED_S,
    PLAN_INTERVAL_S,
    CustomerAccount,
    Estimate,
    HolderQuota,
    RequestEstimates,
    remaining_need,
)
from .quotaplan import MAX_DELAY_S

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
MAX_ADVANCE_S: Final = MAX_DELAY_S
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
        Whether the program as a whole is rejected, however soon one request could run.
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

    Attributes
    ----------
    plans : int
        Number of plans of running programs.
    programs_refused : int
        Number of running programs that were refused by a plan.
    """

    def __init__(
        self, me: Member, bounds: QuotaBounds, members: tuple[Member, ...], now: float
    ) -> None:
        self.plans = 0
        self.programs_refused = 0
        self._me = me
        self._bounds = bounds
        self._customers: dict[str, Customer] = {}
        self._accounts: dict[str, CustomerAccount] = {}
        self._estimates = RequestEstimates()
        # Member lists with the time at which each became known, newest last. When the
        # first one took effect, any previous process of this member had already ended.
        self._member_lists = [(members, now)]
        self._list_number = 0
        # Earliest start of this holder's term by customer, set when the number of
        # holders changes or the customer is removed.
        self._earliest_terms: dict[str, float] = {}

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
                self._earliest_terms[name] = now + HANDOVER_S
                self._list_number += 1
            if buckets[1].rate_per_s < buckets[0].rate_per_s:
                self._plan_lowered(name, buckets[1], now)
        self._customers = customers
        for name in self._accounts.keys() - customers.keys():
            del self._accounts[name]
            # If the customer comes back, it gets only what has flowed in since.
            self._earliest_terms[name] = max(now, self._earliest_terms.get(name, now))

    def _plan_lowered(self, customer: str, bucket: HolderQuota, now: float) -> None:
        """Plan the running programs of a customer whose limit falls."""
        account = self._accounts.get(customer)
        if account is None:
            return
        account.refill(bucket, now)
        account.expire_programs(self._estimates, now)
        account.lowered_until = now + LOWERED_S
        self._plan(account, bucket, now)

    def _plan(self, account: CustomerAccount, bucket: HolderQuota, now: float) -> None:
        running_count = account.running_count()
        account.plan(bucket, self._estimates, now)
        refused_count = running_count - account.running_count()
        if refused_count:
            account.lowered_until = now + LOWERED_S
        self.plans += 1
        self.programs_refused += refused_count

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
        account.refill(bucket, now)
        account.expire_programs(self._estimates, now)
        if not program:
            return self._permit_single(account, bucket, allow_delayed)
        usage = account.programs.get(program)
        if usage is not None and not usage.is_refused:
            return self._permit_running(account, bucket, program, allow_delayed, now)
        # A new holder cannot tell new programs from running ones.
        knows_programs = account.knows_programs(now)
        if usage is not None or (knows_programs and kind):
            return self._permit_admission(
                account, bucket, program, kind, allow_delayed, now
            )
        unreserved = account.admissions.level
        if account.is_over_limit:
            # It may be admitted at another holder. Here it would take the permits of
            # the programs that are carried to their end.
            return Permit(PermitStatus.EXHAUSTED, -unreserved / bucket.rate_per_s)
        if knows_programs and unreserved <= 0 and not allow_delayed:
            # The relay asks the other holders first, one of which may have reserved
            # permits for it.
            return Permit(PermitStatus.EXHAUSTED, MAX_ADVANCE_S)
        return self._permit_running(account, bucket, program, allow_delayed, now)

    def _permit_single(
        self, account: CustomerAccount, bucket: HolderQuota, allow_delayed: bool
    ) -> Permit:
        """Decide on a request that belongs to no program."""
        unreserved = account.admissions.level
        if unreserved <= 0:
            return Permit(PermitStatus.EXHAUSTED, -unreserved / bucket.rate_per_s, True)
        permit = _take(account, bucket, allow_delayed)
        if permit.status is PermitStatus.GRANTED:
            account.admissions.level -= 1.0
        return permit

    def _permit_admission(
        self,
        account: CustomerAccount,
        bucket: HolderQuota,
        program: str,
        kind: str,
        allow_delayed: bool,
        now: float,
    ) -> Permit:
        """Decide on a program that is new, or was refused before."""
        usage = account.programs.get(program)
        if usage is None:
            expected = self._estimates.estimate(kind)
        else:
            kind = usage.kind or kind
            need = remaining_need(program, usage, self._estimates)
            expected = Estimate(need.requests, need.requests / need.pace_per_s)
        wait_s = account.admission_wait_s(
            program, expected, bucket, is_known=usage is not None, now=now
        )
        if wait_s > 0:
            account.record_denial(program, now)
            return Permit(PermitStatus.EXHAUSTED, wait_s, True)
        permit = _take(account, bucket, allow_delayed)
        if permit.status is PermitStatus.GRANTED:
            account.admit_program(program, kind, expected.requests, now)
            account.record_request(program, now)
        return permit

    def _permit_running(
        self,
        account: CustomerAccount,
        bucket: HolderQuota,
        program: str,
        allow_delayed: bool,
        now: float,
    ) -> Permit:
        """Decide on a request of a program that is running, here or elsewhere."""
        permit = _take(account, bucket, allow_delayed)
        if permit.status is PermitStatus.GRANTED:
            account.record_request(program, now)
            return permit
        account.record_denial(program, now)
        is_late = permit.wait_s > MAX_ADVANCE_S
        # A holder that has just started may have missed that the limit was lowered.
        may_plan = now < account.lowered_until or not account.knows_programs(now)
        if not may_plan or not is_late or now - account.planned_at < PLAN_INTERVAL_S:
            return permit
        self._plan(account, bucket, now)
        usage = account.programs.get(program)
        if usage is None or not usage.is_refused:
            return permit
        wait_s = max(permit.wait_s, -account.admissions.level / bucket.rate_per_s)
        return Permit(PermitStatus.EXHAUSTED, wait_s, True)

    def _account(
        self, customer: str, bucket: HolderQuota, now: float
    ) -> CustomerAccount | None:
        """Return the account of a customer; None if this is not (yet) a holder."""
        account = self._accounts.get(customer)
        if account is not None and account.list_number == self._list_number:
            return account
        term_start = self._term_start(customer, bucket.holders)
        if term_start is None or term_start > now:
            return None
        if account is None:
            account = self._accounts[customer] = CustomerAccount(
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
        return max(term_start, self._earliest_terms.get(customer, term_start))


def _take(account: CustomerAccount, bucket: HolderQuota, allow_delayed: bool) -> Permit:
    """Take a permit from the bucket if one is valid now, or soon enough."""
    wait_s = max(0.0, 1.0 - account.permits.level) / bucket.rate_per_s
    if wait_s > (MAX_ADVANCE_S if allow_delayed else 0.0):
        return Permit(PermitStatus.EXHAUSTED, wait_s)
    account.permits.level -= 1.0
    return Permit(PermitStatus.GRANTED, wait_s)
