"""How a request ended and why, from the fields of its log line alone.

The aim of a route is not in the line.  Some ends leave the same fields behind: a caller
that left looks like one whose relay was cut by the end of its grace period, so the
second is told by another line of that relay, and by `stopping_ms`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

import msgspec

from ..relay.streams import RESERVE_TIMEOUT_S
from .trace import MS_PER_S, REQUEST_LINES, Line

# A reservation that takes longer is slow, in ms: half of the wait after which a relay
# gives it up.
SLOW_LEDGER_MS: Final = RESERVE_TIMEOUT_S / 2 * MS_PER_S
# What relays write as a reason, in full or in part.
NO_CONFIGURATION: Final = "the configuration is not known yet"
OLD_CONFIGURATION: Final = "no route known, version "
NO_ROUTE: Final = "no route for "
LAST_CALL: Final = "this process is stopping"
NO_BUDGET: Final = " tokens are taken"
NO_TURN: Final = "no turn "
FEW_REPLICAS: Final = " replicas answered in view "
NO_KEY: Final = "one key is needed"
STRANGE_KEY: Final = "no customer holds the key in version "
OLD_CUSTOMERS: Final = "no customer known, version "
OVER_QUOTA: Final = "the quota of "
NO_HOLDER: Final = " holders of the quota answered in view "
NOT_KEPT: Final = "the turn could not be kept"
NO_SERVER: Final = "no server is there"
NO_ROOM: Final = "no server has room"
SAID_FULL: Final = "status "
NO_ANSWER: Final = "no answer in time"
NO_TIME: Final = "no time left"
# Statuses: those with which a server has answered, and those that relays give.
ANSWERED: Final = range(200, 400)
SERVER_LOST: Final = 502
UNAVAILABLE: Final = 503
TIMED_OUT: Final = 504


class Outcome(StrEnum):
    """What a caller got."""

    IN_TIME = "in time"
    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN_OFF = "broken off"


LOST: Final = frozenset(
    (Outcome.LATE, Outcome.REFUSED, Outcome.FAILED, Outcome.BROKEN_OFF)
)


class Why(StrEnum):
    """Why it got that."""

    WITHIN_AIM = "within its aim"
    NO_AIM = "its route has no aim"
    LEDGER_AWAY = "ledger out of reach"
    LEDGER_SLOW = "ledger slow"
    NOT_KEPT = "ledger did not keep the turn"
    NO_SERVER = "no server"
    SERVERS_FULL = "servers full"
    NO_CHANNEL = "no channel to a server"
    SERVER_LOST = "server lost"
    SERVER_SAID = "the server's own answer"
    CALLER_LEFT = "caller left"
    TIME_LEDGER = "time over: ledger"
    TIME_FIRST = "time over: first event"
    TIME_REST = "time over: rest of the answer"
    STOPPING = "relay stopping"
    NOT_CONFIGURED = "not configured"
    UNKNOWN_ROUTE = "unknown route"
    BUDGET = "budget spent"
    UNKNOWN_TURN = "unknown turn"
    NO_KEY = "no customer's key"
    OVER_QUOTA = "quota used up"
    QUOTA_AWAY = "quota's holders out of reach"
    DENIED = "denied for another reason"
    OTHER = "reason not known to this command"


class Ending(NamedTuple):
    """How a request ended."""

    outcome: Outcome
    why: Why


class Denied(msgspec.Struct, kw_only=True):
    """A request that got no route or could not be read."""

    status: int
    request: str = ""
    reason: str = ""


class Ended(Denied, kw_only=True):
    """A request that had a route; times in ms, `status` 0 if it broke off."""

    took_ms: float
    left_ms: float
    program: str = ""
    customer: str = ""
    route: str = ""
    servers: list[str] = []
    sent: bool = False
    ledger_ms: float = 0.0
    first_ms: float = 0.0
    stopping_ms: float | None = None


def decode_request(line: Line) -> Denied | Ended | None:
    """Decode the line of a request; None if a field is missing or of another kind."""
    kind = Denied if line.text == REQUEST_LINES[-1] else Ended
    try:
        return msgspec.convert(line.fields, kind)
    except msgspec.ValidationError:
        return None


def classify(request: Denied | Ended, aim_s: float | None, is_cut: bool) -> Ending:
    """Tell how a request ended and why.

    Parameters
    ----------
    request : Denied or Ended
        Fields of its line.
    aim_s : float or None
        Seconds in which its route's answers are to be whole; None for no aim.
    is_cut : bool
        Whether its relay has just said that it ends before all is done.
    """
    if not isinstance(request, Ended):
        return Ending(Outcome.REFUSED, _why_denied(request))
    if request.status == 0:
        return Ending(Outcome.BROKEN_OFF, _why_broken_off(request, is_cut))
    if request.status in ANSWERED:
        return _answered(request, aim_s)
    if not request.sent:
        return Ending(Outcome.REFUSED, _why_refused(request))
    return Ending(Outcome.FAILED, _why_failed(request))


def _answered(request: Ended, aim_s: float | None) -> Ending:
    if aim_s is None:
        return Ending(Outcome.ANSWERED, Why.NO_AIM)
    aim_ms = aim_s * MS_PER_S
    if request.took_ms <= aim_ms:
        return Ending(Outcome.IN_TIME, Why.WITHIN_AIM)
    ledger_ms = request.ledger_ms
    if ledger_ms > SLOW_LEDGER_MS and request.took_ms - ledger_ms <= aim_ms:
        return Ending(Outcome.LATE, Why.LEDGER_SLOW)
    return Ending(Outcome.LATE, _longest_part(request))


def _why_denied(request: Denied) -> Why:
    reason = request.reason
    if reason.startswith((NO_KEY, STRANGE_KEY)):
        return Why.NO_KEY
    if reason == NO_CONFIGURATION or reason.startswith(
        (OLD_CONFIGURATION, OLD_CUSTOMERS)
    ):
        return Why.NOT_CONFIGURED
    if reason.startswith(NO_ROUTE):
        return Why.UNKNOWN_ROUTE
    if reason == LAST_CALL:
        return Why.STOPPING
    return Why.DENIED


def _why_refused(request: Ended) -> Why:
    reason = request.reason
    if request.status != UNAVAILABLE:
        if reason.startswith(OVER_QUOTA):
            return Why.OVER_QUOTA
        if reason.endswith(NO_BUDGET):
            return Why.BUDGET
        return Why.UNKNOWN_TURN if reason.startswith(NO_TURN) else Why.DENIED
    if FEW_REPLICAS in reason:
        waited = request.ledger_ms > SLOW_LEDGER_MS
        return Why.LEDGER_SLOW if waited else Why.LEDGER_AWAY
    if NO_HOLDER in reason:
        return Why.QUOTA_AWAY
    if reason == NO_SERVER:
        return Why.NO_SERVER
    # The reason of a server that was tried before stays when the time is over.
    if reason == NO_TIME or request.left_ms <= 0:
        return _longest_part(request)
    if reason == NO_ROOM or reason.startswith(SAID_FULL):
        return Why.SERVERS_FULL
    return Why.NO_CHANNEL if request.servers else Why.OTHER


def _why_failed(request: Ended) -> Why:
    if not request.reason:
        return Why.SERVER_SAID
    if request.status == TIMED_OUT:
        over = request.reason == NO_ANSWER or request.left_ms <= 0
        return _longest_part(request) if over else Why.SERVER_SAID
    if request.status == SERVER_LOST:
        return Why.SERVER_LOST
    # The reason is that of a server that was tried before the one that answered.
    return Why.SERVER_SAID if len(request.servers) > 1 else Why.OTHER


def _why_broken_off(request: Ended, is_cut: bool) -> Why:
    if request.reason == NOT_KEPT:
        return Why.NOT_KEPT
    if request.reason == NO_ANSWER or request.left_ms <= 0:
        return _longest_part(request)
    if request.reason:
        return Why.SERVER_LOST
    if is_cut or request.stopping_ms is not None:
        return Why.STOPPING
    return Why.CALLER_LEFT


def _longest_part(request: Ended) -> Why:
    """Tell where most of a request's time went.

    An answer without events is whole at once; its time counts as up to the first one.
    A program's request that came to no server was held up by its reservation.
    """
    if request.program and not request.servers:
        return Why.TIME_LEDGER
    first_ms = request.first_ms or request.took_ms
    parts = {
        Why.TIME_LEDGER: request.ledger_ms,
        Why.TIME_FIRST: first_ms - request.ledger_ms,
        Why.TIME_REST: request.took_ms - first_ms,
    }
    return max(parts, key=lambda why: parts[why])
