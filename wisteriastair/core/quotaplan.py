"""Which running programs of a customer a lowered quota can carry to their end.

Load pattern: a customer's limit falls far below what its running programs request. If
all of them continue, each gets too few permits and fails after its work was done. The
quota therefore carries as many programs as fit, the nearest to their end first, and
the others are refused as a whole.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from operator import attrgetter
from typing import Final, NamedTuple

# Longest time in seconds by which a running program's permit may be late. It equals the
# longest advance of a permit (`quota.MAX_ADVANCE_S`).
MAX_DELAY_S: Final = 0.5
# Factor by which programs may take longer than on their own. Programs have 1.3 to 1.6
# times their time on idle servers, and servers need a part of that.
MAX_STRETCH: Final = 1.2
# Factor by which a program may need more requests than its kind does on average.
# Without it, programs longer than the average would fail near their end.
REQUEST_MARGIN: Final = 1.25


class ProgramNeed(NamedTuple):
    """What a running program still needs.

    Attributes
    ----------
    name : str
        Id of the program.
    requests : float
        Requests that it is expected to need until its end.
    pace_per_s : float
        Requests per second that it sends if it is not delayed.
    """

    name: str
    requests: float
    pace_per_s: float


def is_carried(needs: Sequence[ProgramNeed], level: float, rate_per_s: float) -> bool:
    """Whether a token bucket covers the requests of all programs at their own pace.

    Parameters
    ----------
    level : float
        Permits in the bucket.
    rate_per_s : float
        Inflow of the bucket in permits per second.

    Notes
    -----
    The requests sent until a time are a concave function of the time. The difference to
    a constant inflow is thus largest when one of the programs ends.
    """
    pace_per_s = sum(need.pace_per_s for need in needs)
    ended_requests = 0.0
    by_end = sorted((need.requests / need.pace_per_s, *need[1:]) for need in needs)
    for ends_after_s, requests, program_pace_per_s in by_end:
        ended_requests += requests
        pace_per_s -= program_pace_per_s
        sent = ended_requests + pace_per_s * ends_after_s
        supply_s = MAX_STRETCH * ends_after_s + MAX_DELAY_S
        if sent > level + rate_per_s * supply_s:
            return False
    return True


def carried_programs(
    needs: Sequence[ProgramNeed], level: float, rate_per_s: float
) -> list[ProgramNeed]:
    """Return the programs that are carried to their end.

    These are the ones nearest to their end, at least one: a quota too small for any
    program at its own pace still serves one program slowly.
    """
    order = sorted(needs, key=attrgetter("requests"))
    excess = bisect_left(
        range(1, len(order) + 1),
        True,
        key=lambda count: not is_carried(order[:count], level, rate_per_s),
    )
    return order[: max(1, excess)]


def required_level(
    requests: float, duration_s: float, rate_per_s: float, depth: float
) -> float:
    """Return the permits that must be unreserved when a program is admitted.

    The rest of its requests is covered by the inflow while it runs. Without this
    minimum, a quota whose rate is below the pace of one program would admit programs
    that fail after a few requests. A bucket that can never hold that much admits a
    program when it is nearly full.
    """
    shortfall = REQUEST_MARGIN * requests - rate_per_s * duration_s
    return max(0.0, min(shortfall, depth - 1.0))
