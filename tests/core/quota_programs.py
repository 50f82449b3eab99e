"""Simulation of customers' programs under a quota, in virtual time.

Three holders run the production code. Relays ask them as `relay/quota.py` does. Each
program sends requests one after another. A refused caller returns after `Retry-After`
if that takes at most a third of the time it has left, at most twice per request.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import NamedTuple

from wisteriastair.core import quota as quota_module
from wisteriastair.core.customers import Customer, Quota
from wisteriastair.core.membership import Member
from wisteriastair.core.quota import (
    MAX_ADVANCE_S,
    Permit,
    PermitStatus,
    QuotaBounds,
    QuotaHolder,
    holder_quota,
    query_order,
    quota_holders,
)
from wisteriastair.core.quotaaccount import PROGRAM_IDLE_S, HolderQuota

MEMBERS = tuple(Member(f"k{n}", f"disk{n}", f"k{n}:1", f"d{n}") for n in range(3))
BOUNDS = QuotaBounds(window_s=5.0, excess_fraction=0.1, slack_requests=20.0)
BIG = "big"
OTHER = "other"
OTHER_QUOTA = Quota(60.0, 60.0)
# Requests of a program, and seconds per request on an idle server with its pause.
REQUESTS = (6, 12)
TURN_S = (0.25, 0.5)
# Time that a program has, as a multiple of its time on idle servers.
TIME_FACTOR = 3.0
MAX_RETRIES = 2
RETRY_JITTER = (1.0, 1.5)
MIN_RETRY_AFTER_S = 0.05


class Program:
    """A program of the simulation, with its outcome."""

    def __init__(self, name: str, customer: str, turns: list[float], now: float):
        self.name = name
        self.customer = customer
        self.turns = turns
        self.started_at = now
        self.ends_by = now + TIME_FACTOR * sum(turns)
        self.granted = 0
        self.retries = 0
        self.ended_at: float | None = None
        self.was_refused = False
        self.refused_at: list[float] = []
        self.granted_at: list[float] = []

    @property
    def is_complete(self) -> bool:
        """Whether all requests were answered."""
        return self.granted == len(self.turns) and not self.was_refused


class Outcome(NamedTuple):
    """Programs of a customer that were alive after some time.

    Attributes
    ----------
    complete : int
        Programs that got all their permits.
    failed : int
        Programs that failed after work was done.
    wasted : int
        Permits of those programs.
    refused : int
        Programs that were refused before their first request ran.
    """

    complete: int
    failed: int
    wasted: int
    refused: int


class ProgramSimulation:
    """Programs of two customers that ask three holders for permits.

    Parameters
    ----------
    quota : Quota
        Quota of the big customer; the other one's does not change.
    per_s : float
        New programs per second of the big customer.
    is_chained : bool
        Whether relays can tell later requests of a program from the first one.
    holder_type : type of QuotaHolder
        Implementation of the holders.
    """

    def __init__(
        self,
        seed: int,
        quota: Quota,
        per_s: float,
        *,
        is_chained: bool = True,
        holder_type: type[QuotaHolder] = QuotaHolder,
    ) -> None:
        self.now = 0.0
        self.programs: list[Program] = []
        self.quota = quota
        # Generators of their own, so that refusals change the load of no customer.
        self._randoms = {c: random.Random(f"{seed} {c}") for c in (BIG, OTHER)}
        self._jitter = random.Random(seed)
        self._per_s = {BIG: per_s, OTHER: 3.0}
        self._is_chained = is_chained
        self._holder_type = holder_type
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.holders = {m.name: holder_type(m, BOUNDS, MEMBERS, 0.0) for m in MEMBERS}
        self.unreachable: set[str] = set()
        self.set_quota(quota)
        for customer in self._per_s:
            self._at(6.5, partial(self._start_program, customer))

    def run_until(self, end: float) -> None:
        """Run all events before a time."""
        while self._events and self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def set_quota(self, quota: Quota) -> None:
        """Put a quota of the big customer into force."""
        self.quota = quota
        for holder in self.holders.values():
            self._configure(holder)

    def restart_holder(self, name: str) -> None:
        """Replace a holder by a process without state."""
        member = next(m for m in MEMBERS if m.name == name)
        self.holders[name] = self._holder_type(member, BOUNDS, MEMBERS, self.now)
        self._configure(self.holders[name])

    def running(self, customer: str = BIG) -> list[Program]:
        """Return the programs that have begun and not ended."""
        return [
            p
            for p in self.programs
            if p.customer == customer and p.granted and p.ended_at is None
        ]

    def outcome(self, since: float, until: float, customer: str = BIG) -> Outcome:
        """Return what became of the programs alive in a time span and ended by now."""
        alive = [
            p
            for p in self.programs
            if p.customer == customer
            and p.started_at < until
            and p.ended_at is not None
            and p.ended_at >= since
        ]
        failed = [p for p in alive if not p.is_complete and p.granted]
        return Outcome(
            sum(p.is_complete for p in alive),
            len(failed),
            sum(p.granted for p in failed),
            sum(not p.granted for p in alive),
        )

    def _configure(self, holder: QuotaHolder) -> None:
        customers = {
            BIG: Customer(BIG, None, self.quota),
            OTHER: Customer(OTHER, None, OTHER_QUOTA),
        }
        holder.configure(customers, self.now)

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _start_program(self, customer: str) -> None:
        rng = self._randoms[customer]
        turns = [rng.uniform(*TURN_S) for _ in range(rng.randint(*REQUESTS))]
        program = Program(f"p{next(self._order)}", customer, turns, self.now)
        self.programs.append(program)
        self._send_request(program)
        pause_s = rng.expovariate(self._per_s[customer])
        self._at(self.now + pause_s, lambda: self._start_program(customer))

    def _send_request(self, program: Program) -> None:
        kind = "" if self._is_chained and program.granted else "talk"
        permit = self._ask_holders(program, kind)
        if permit.status is PermitStatus.GRANTED:
            program.granted_at.append(self.now + permit.wait_s)
            turn_s = program.turns[program.granted]
            program.granted += 1
            program.retries = 0
            self._at(self.now + permit.wait_s + turn_s, lambda: self._advance(program))
            return
        program.refused_at.append(self.now)
        retry_after_s = permit.wait_s * self._jitter.uniform(*RETRY_JITTER)
        retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)
        left_s = program.ends_by - self.now
        if program.retries >= MAX_RETRIES or retry_after_s > left_s / 3:
            program.was_refused = True
            program.ended_at = self.now
            return
        program.retries += 1
        self._at(self.now + retry_after_s, lambda: self._send_request(program))

    def _advance(self, program: Program) -> None:
        if program.is_complete or self.now > program.ends_by:
            program.was_refused = not program.is_complete
            program.ended_at = self.now
            return
        self._send_request(program)

    def _ask_holders(self, program: Program, kind: str) -> Permit:
        quota = self.quota if program.customer == BIG else OTHER_QUOTA
        number = holder_quota(quota, BOUNDS).holders
        members = quota_holders(MEMBERS, program.customer, number)
        exhausted: list[tuple[Permit, QuotaHolder]] = []
        for member in query_order(members, program.name):
            if member.name in self.unreachable:
                continue
            holder = self.holders[member.name]
            permit = self._ask(holder, program, kind, allow_delayed=False)
            if permit.status is PermitStatus.GRANTED:
                return permit
            if permit.status is PermitStatus.EXHAUSTED:
                exhausted.append((permit, holder))
            if permit.is_program_refused and not kind:
                return permit
        if not exhausted:
            return Permit(PermitStatus.NOT_HOLDER, 0.2)
        earliest, holder = min(exhausted, key=lambda one: one[0].wait_s)
        if earliest.wait_s <= MAX_ADVANCE_S and not earliest.is_program_refused:
            permit = self._ask(holder, program, kind, allow_delayed=True)
            if permit.status is PermitStatus.GRANTED:
                return permit
        return earliest

    def _ask(
        self, holder: QuotaHolder, program: Program, kind: str, *, allow_delayed: bool
    ) -> Permit:
        return holder.request_permit(
            program.customer, program.name, kind, allow_delayed, self.now
        )


class UnplannedHolder(QuotaHolder):
    """Holder without plans, as a baseline for comparisons.

    All running programs get permits in the order of their requests. A new program is
    admitted while the bucket of admissions is not empty. Programs that failed for lack
    of permits count as ended.
    """

    def request_permit(
        self, customer: str, program: str, kind: str, allow_delayed: bool, now: float
    ) -> Permit:
        quota = self._customers[customer].quota
        assert quota is not None, "all customers of the simulation have a quota"
        bucket = holder_quota(quota, self._bounds)
        account = self._account(customer, bucket, now)
        if account is None:
            return Permit(PermitStatus.NOT_HOLDER)
        account.refill(bucket, now)
        account.expire_programs(self._estimates, now)
        knows_programs = now - account.term_start > PROGRAM_IDLE_S
        is_new = knows_programs and bool(kind) and program not in account.programs
        unreserved = account.admissions.level
        if is_new and unreserved <= 0:
            return Permit(PermitStatus.EXHAUSTED, -unreserved / bucket.rate_per_s, True)
        permit = quota_module._take(account, bucket, allow_delayed)
        if permit.status is not PermitStatus.GRANTED:
            return permit
        if is_new:
            expected = self._estimates.estimate(kind).requests
            account.admit_program(program, kind, expected, now)
        account.record_request(program, now)
        usage = account.programs[program]
        if not usage.kind:
            # Requests of unknown programs are not reserved.
            account.admissions.level += usage.reserved
            usage.requests, usage.reserved = 0, 0.0
        return permit

    def _plan_lowered(self, customer: str, bucket: HolderQuota, now: float) -> None:
        """Leave the running programs as they are."""
