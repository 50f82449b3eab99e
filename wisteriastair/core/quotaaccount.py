"""State of a customer's quota at one of its holders: buckets and running programs.

The account knows which programs run, what each still needs, and which refused programs
are expected to return. `quota.QuotaHolder` decides with it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final, NamedTuple

from .quotaplan import ProgramNeed, carried_programs, required_level

# Seconds without a request after which a program counts as ended.
PROGRAM_IDLE_S: Final = 6.0
# Shortest interval in seconds between two plans of a customer. Callers that are refused
# come back after a longer time, so more frequent plans would see the same programs.
PLAN_INTERVAL_S: Final = 0.5
# Seconds for which a lowered limit is treated as one that the running programs may
# exceed, and again after each plan that refused programs. Programs that were admitted
# under the old limit have ended by then.
LOWERED_S: Final = 20.0
# Longest wait in seconds for which a refused new program holds a place before newer
# ones. Callers return only if the wait is at most a third of the time that they have
# left, so a place for a longer wait would mostly be held in vain.
MAX_PLACE_WAIT_S: Final = 1.0
# A place lapses if its program has not returned by its time, multiplied by this (the
# relays' random factor), plus the time of a new connection in seconds.
PLACE_WAIT_FACTOR: Final = 1.5
PLACE_GRACE_S: Final = 0.1
# Requests that a program of an unknown kind is expected to need, and its duration in
# seconds.
INITIAL_ESTIMATE: Final = 12.0
INITIAL_DURATION_S: Final = 6.0
# Shortest wait in seconds of a refused new program.
MIN_ADMISSION_WAIT_S: Final = 0.05
# Shortest duration of a program, in seconds, that a pace is computed from.
MIN_DURATION_S: Final = 0.05
# Weight of an ended program in the moving average of its kind.
ESTIMATE_WEIGHT: Final = 0.1
# Maximum number of program kinds with an estimate of their own.
MAX_KINDS: Final = 256
# Maximum number of programs stored per customer; the least recently seen are evicted.
MAX_PROGRAMS: Final = 4096


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


class TokenBucket:
    """A token bucket; a negative level is a deficit."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self._at = now

    def refill(self, rate_per_s: float, depth: float, now: float) -> None:
        """Add the inflow since the last call."""
        added = rate_per_s * max(0.0, now - self._at)
        self.level = min(depth, self.level + added)
        self._at = max(self._at, now)


class ProgramUsage:
    """A program, with its granted and its reserved requests.

    Attributes
    ----------
    kind : str
        Kind of the program; empty if it began at another holder or before a restart.
    requests : int
        Granted requests.
    reserved : float
        Requests that the quota has reserved for it, including the granted ones.
    is_counted : bool
        Whether its requests reduce what new programs may reserve. Programs that ran
        before a restart would otherwise be counted on top of the reservations of
        programs that replace them.
    was_denied : bool
        Whether its last request got no permit, so that it may not have ended by itself.
    is_refused : bool
        Whether the program is refused as a whole.
    """

    __slots__ = (
        "is_counted",
        "is_refused",
        "kind",
        "last_seen_at",
        "requests",
        "reserved",
        "started_at",
        "was_denied",
    )

    def __init__(self, kind: str, now: float) -> None:
        self.kind = kind
        self.requests = 0
        self.reserved = 0.0
        self.is_counted = True
        self.started_at = now
        self.last_seen_at = now
        self.was_denied = False
        self.is_refused = False


class _Place(NamedTuple):
    """Place of a refused new program that is expected to return.

    Attributes
    ----------
    requests : float
        Requests that the program is expected to need.
    lapses_at : float
        Time by which it has returned, or will not return.
    """

    requests: float
    lapses_at: float


class Estimate(NamedTuple):
    """Expected requests of a program, and its duration in seconds."""

    requests: float = INITIAL_ESTIMATE
    duration_s: float = INITIAL_DURATION_S


class RequestEstimates:
    """Moving averages of what programs of each kind need."""

    def __init__(self) -> None:
        self._means: dict[str, Estimate] = {}

    def estimate(self, kind: str) -> Estimate:
        """Return what a program of this kind is expected to need."""
        return self._means.get(kind, Estimate())

    def mean_estimate(self) -> Estimate:
        """Return what a program of an unknown kind is expected to need."""
        if not self._means:
            return Estimate()
        requests, durations = zip(*self._means.values(), strict=True)
        count = len(self._means)
        return Estimate(sum(requests) / count, sum(durations) / count)

    def add_sample(self, usage: ProgramUsage) -> None:
        """Add an ended program."""
        kind = usage.kind
        if not kind or (kind not in self._means and len(self._means) >= MAX_KINDS):
            return
        mean = self.estimate(kind)
        duration_s = usage.last_seen_at - usage.started_at
        self._means[kind] = Estimate(
            mean.requests + ESTIMATE_WEIGHT * (usage.requests - mean.requests),
            mean.duration_s + ESTIMATE_WEIGHT * (duration_s - mean.duration_s),
        )


class CustomerAccount:
    """State of a customer at one of its holders.

    Attributes
    ----------
    permits : TokenBucket
        Permits that may be granted.
    admissions : TokenBucket
        Permits that are not reserved for running programs.
    is_over_limit : bool
        Whether the quota does not cover all that was promised to running programs.
    lowered_until : float
        Time until which the limit counts as lowered. Otherwise a holder that has few
        permits left says little: it owns only a part of the quota, and relays get
        permits from the others.
    """

    def __init__(self, bucket: HolderQuota, term_start: float, now: float) -> None:
        term_s = max(0.0, now - term_start)
        self.term_start = term_start
        self.list_number = -1
        self.permits = TokenBucket(min(bucket.depth, bucket.rate_per_s * term_s), now)
        self.admissions = TokenBucket(self.permits.level, now)
        self.is_over_limit = False
        self.lowered_until = -math.inf
        self.planned_at = -PLAN_INTERVAL_S
        # Ordered by last request, most recent last.
        self.programs: OrderedDict[str, ProgramUsage] = OrderedDict()
        # Refused new programs that are expected to return, in the order of their
        # refusal, and the sum of their expected requests.
        self.places: OrderedDict[str, _Place] = OrderedDict()
        self.place_requests = 0.0

    def resume(self, bucket: HolderQuota, term_start: float, now: float) -> None:
        """Start a new term after a gap in which others may have granted permits.

        Permits granted before the gap still count. Otherwise a member list that changes
        many times per second would fill the bucket each time.
        """
        self.term_start = term_start
        self.permits.refill(bucket.rate_per_s, bucket.depth, now)
        term_s = max(0.0, now - term_start)
        self.permits.level = min(self.permits.level, bucket.rate_per_s * term_s)

    def refill(self, bucket: HolderQuota, now: float) -> None:
        """Add the inflow since the last call."""
        self.permits.refill(bucket.rate_per_s, bucket.depth, now)
        self.admissions.refill(bucket.rate_per_s, bucket.depth, now)
        if self.admissions.level > 0:
            self.is_over_limit = False

    def knows_programs(self, now: float) -> bool:
        """Whether programs that were running before this term have become known."""
        return now - self.term_start > PROGRAM_IDLE_S

    # Admission

    def admission_wait_s(
        self,
        program: str,
        expected: Estimate,
        bucket: HolderQuota,
        *,
        is_known: bool,
        now: float,
    ) -> float:
        """Return the seconds until a program can be admitted; 0 if it can be now.

        A program that was refused before goes first: newer ones leave the requests
        that it is expected to need.
        """
        self._drop_lapsed_places(now)
        is_lowered = now < self.lowered_until
        required = 0.0
        if is_lowered:
            required = required_level(*expected, bucket.rate_per_s, bucket.depth)
        level = self.admissions.level
        holds_place = program in self.places
        if not (is_known or holds_place) and level < bucket.depth:
            required += self.place_requests
        if level > 0 and level >= required:
            return 0.0
        if is_lowered:
            # As long as programs are refused, demand exceeds the lowered limit.
            self.lowered_until = now + LOWERED_S
        wait_s = max(required - level, 0.0) / bucket.rate_per_s
        if not (is_known or holds_place) and wait_s <= MAX_PLACE_WAIT_S:
            lapses_at = now + PLACE_WAIT_FACTOR * wait_s + PLACE_GRACE_S
            self.places[program] = _Place(expected.requests, lapses_at)
            self.place_requests += expected.requests
        return max(wait_s, MIN_ADMISSION_WAIT_S)

    def _drop_lapsed_places(self, now: float) -> None:
        while self.places:
            name, oldest = next(iter(self.places.items()))
            if oldest.lapses_at > now:
                return
            self._drop_place(name)

    def _drop_place(self, program: str) -> None:
        place = self.places.pop(program, None)
        if place is not None:
            self.place_requests -= place.requests
        if not self.places:
            # Rounding errors must not add up.
            self.place_requests = 0.0

    def admit_program(
        self, program: str, kind: str, expected_requests: float, now: float
    ) -> None:
        """Add an admitted program and reserve its expected requests."""
        self._drop_place(program)
        self.admissions.level -= expected_requests
        usage = self.programs.setdefault(program, ProgramUsage(kind, now))
        usage.kind = kind
        usage.is_counted = True
        usage.reserved = usage.requests + expected_requests
        usage.is_refused = False

    # Requests of running programs

    def record_request(self, program: str, now: float) -> None:
        """Record a permitted request of a program."""
        usage = self.programs.get(program)
        if usage is None:
            usage = self.programs[program] = ProgramUsage("", now)
            usage.is_counted = self.knows_programs(now)
        else:
            self.programs.move_to_end(program)
        usage.requests += 1
        usage.last_seen_at = now
        usage.was_denied = False
        # Requests beyond the reservation reduce the capacity for new programs.
        if usage.is_counted and usage.reserved < usage.requests:
            self.admissions.level -= usage.requests - usage.reserved
            usage.reserved = float(usage.requests)

    def record_denial(self, program: str, now: float) -> None:
        """Record that a request of a known program got no permit."""
        usage = self.programs.get(program)
        if usage is not None:
            self.programs.move_to_end(program)
            usage.last_seen_at = now
            usage.was_denied = True

    def expire_programs(self, estimates: RequestEstimates, now: float) -> None:
        """Remove ended programs, release unused reservations, update the estimates."""
        while self.programs:
            name, oldest = next(iter(self.programs.items()))
            if (
                now - oldest.last_seen_at <= PROGRAM_IDLE_S
                and len(self.programs) <= MAX_PROGRAMS
            ):
                return
            del self.programs[name]
            if not oldest.was_denied:
                # A program that failed for lack of permits needed more requests.
                estimates.add_sample(oldest)
            if oldest.is_counted and not oldest.is_refused:
                self.admissions.level += oldest.reserved - oldest.requests

    # Plan

    def running_count(self) -> int:
        """Return the number of programs that are not refused."""
        return sum(not usage.is_refused for usage in self.programs.values())

    def plan(
        self, bucket: HolderQuota, estimates: RequestEstimates, now: float
    ) -> None:
        """Keep the running programs that the quota carries; refuse the others."""
        self.planned_at = now
        needs = [
            remaining_need(name, usage, estimates)
            for name, usage in self.programs.items()
            if not usage.is_refused
        ]
        carried = carried_programs(needs, self.permits.level, bucket.rate_per_s)
        kept = {need.name: need.requests for need in carried}
        for need in needs:
            usage = self.programs[need.name]
            usage.is_counted = True
            if need.name in kept:
                usage.reserved = usage.requests + kept[need.name]
            else:
                usage.reserved = 0.0
                usage.was_denied = True
                usage.is_refused = True
        unreserved = self.permits.level - sum(kept.values())
        self.admissions.level = min(self.admissions.level, unreserved)
        self.is_over_limit = self.admissions.level <= 0


def remaining_need(
    name: str, usage: ProgramUsage, estimates: RequestEstimates
) -> ProgramNeed:
    """Return what a program still needs: at least one request until it is idle."""
    if usage.kind:
        expected = estimates.estimate(usage.kind)
    else:
        expected = estimates.mean_estimate()
    remaining = max(1.0, expected.requests - usage.requests)
    pace_per_s = max(1.0, expected.requests) / max(MIN_DURATION_S, expected.duration_s)
    return ProgramNeed(name, remaining, pace_per_s)
