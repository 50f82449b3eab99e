"""Classify requests by outcome and cause, from the fields of their log lines.

The target latency of a route is not part of the line.  Some causes leave the same
fields: a request whose caller disconnected looks like one that its relay aborted at the
end of the grace period.  The second is recognized by another line of that relay, or by
the field ``stopping_ms``.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

import msgspec

from ..relay.streams import RESERVE_TIMEOUT_S
from .trace import MS_PER_S, REQUEST_TEXTS, LogLine

# A reservation that takes longer than this is slow: half of the timeout after which a
# relay gives it up.
SLOW_LEDGER_MS: Final = RESERVE_TIMEOUT_S / 2 * MS_PER_S
# Texts, or parts of them, that relays write into the field ``reason``.
NO_CONFIGURATION: Final = "the configuration is not known yet"
STALE_ROUTES: Final = "no route known, version "
NO_ROUTE: Final = "no route for "
PROCESS_STOPPING: Final = "this process is stopping"
BUDGET_EXHAUSTED: Final = " tokens are taken"
UNKNOWN_TURN: Final = "no turn "
TOO_FEW_REPLICAS: Final = " replicas answered in view "
NO_ROOM_FOR_TURN: Final = "keepers have no room for the turn"
KEY_REQUIRED: Final = "one key is needed"
UNKNOWN_KEY: Final = "no customer holds the key in version "
STALE_CUSTOMERS: Final = "no customer known, version "
OVER_QUOTA: Final = "the quota of "
QUOTA_UNREACHABLE: Final = " holders of the quota answered in view "
TURN_NOT_STORED: Final = "the turn could not be kept"
NO_SERVER: Final = "no server is there"
SERVERS_FULL: Final = "no server has room"
QUARANTINED: Final = "quarantined: "
REJECTED_BY_SERVER: Final = "status "
RESPONSE_TIMEOUT: Final = "no answer in time"
NO_TIME_LEFT: Final = "no time left"
RELAY_OVERLOADED: Final = "this relay is overloaded"
BUFFERS_FULL: Final = "buffers are full"
SLOW_CALLER: Final = "the caller reads too slowly"
BUDGET_EXCEEDED: Final = "buffers of the relay are full"
# HTTP statuses of successful responses, and those that relays send themselves.
SUCCESS_STATUSES: Final = range(200, 400)
BAD_GATEWAY: Final = 502
SERVICE_UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504


class Outcome(StrEnum):
    """The result of a request, as its caller sees it."""

    IN_TIME = "in time"
    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN_OFF = "broken off"


LOST_OUTCOMES: Final = frozenset(
    (Outcome.LATE, Outcome.REFUSED, Outcome.FAILED, Outcome.BROKEN_OFF)
)


class Cause(StrEnum):
    """The cause of an outcome."""

    WITHIN_TARGET = "within its aim"
    NO_TARGET = "its route has no aim"
    LEDGER_UNREACHABLE = "ledger out of reach"
    LEDGER_SLOW = "ledger slow"
    LEDGER_FULL = "ledger full"
    TURN_NOT_STORED = "ledger did not keep the turn"
    NO_SERVER = "no server"
    SERVERS_FULL = "servers full"
    QUARANTINED = "servers crashed under it"
    NO_SERVER_CONNECTION = "no channel to a server"
    SERVER_DISCONNECTED = "server lost"
    SERVER_RESPONSE = "the server's own answer"
    CALLER_DISCONNECTED = "caller left"
    OVERRUN_IN_LEDGER = "time over: ledger"
    OVERRUN_BEFORE_FIRST_EVENT = "time over: first event"
    OVERRUN_AFTER_FIRST_EVENT = "time over: rest of the answer"
    RELAY_STOPPING = "relay stopping"
    RELAY_OVERLOADED = "relay overloaded"
    RELAY_BUFFERS = "relay's buffers full"
    CALLER_SLOW = "caller reads too slowly"
    NOT_CONFIGURED = "not configured"
    UNKNOWN_ROUTE = "unknown route"
    BUDGET_EXHAUSTED = "budget spent"
    UNKNOWN_TURN = "unknown turn"
    NO_CUSTOMER_KEY = "no customer's key"
    OVER_QUOTA = "quota used up"
    QUOTA_UNREACHABLE = "quota's holders out of reach"
    OTHER_REJECTION = "denied for another reason"
    UNRECOGNIZED = "reason not known to this command"


class Classification(NamedTuple):
    """Outcome of a request and its cause."""

    outcome: Outcome
    cause: Cause


class RequestRecord(msgspec.Struct, kw_only=True):
    """Fields of the log line of a request that was invalid or got no route."""

    status: int
    request: str = ""
    reason: str = ""


class RoutedRequestRecord(RequestRecord, kw_only=True):
    """Fields of the log line of a request that got a route.

    Times are in ms.  ``status`` is 0 if the connection closed before the response was
    complete.
    """

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


def decode_request(line: LogLine) -> RequestRecord | RoutedRequestRecord | None:
    """Decode a request line; None if a field is missing or has the wrong type."""
    record_type = (
        RequestRecord if line.text == REQUEST_TEXTS[-1] else RoutedRequestRecord
    )
    try:
        return msgspec.convert(line.fields, record_type)
    except msgspec.ValidationError:
        return None


def classify(
    request: RequestRecord | RoutedRequestRecord,
    target_latency_s: float | None,
    is_aborted: bool,
) -> Classification:
    """Determine the outcome of a request and its cause.

    Parameters
    ----------
    request : RequestRecord or RoutedRequestRecord
        Fields of the request line.
    target_latency_s : float or None
        Target latency of the route for complete responses, in seconds; None if the
        route has none.
    is_aborted : bool
        Whether the relay has just aborted its remaining requests.
    """
    if not isinstance(request, RoutedRequestRecord):
        return Classification(Outcome.REFUSED, _unrouted_cause(request))
    if request.status == 0:
        return Classification(
            Outcome.BROKEN_OFF, _interruption_cause(request, is_aborted)
        )
    if request.status in SUCCESS_STATUSES:
        return _classify_success(request, target_latency_s)
    if not request.sent:
        return Classification(Outcome.REFUSED, _refusal_cause(request))
    return Classification(Outcome.FAILED, _failure_cause(request))


def _classify_success(
    request: RoutedRequestRecord, target_latency_s: float | None
) -> Classification:
    if target_latency_s is None:
        return Classification(Outcome.ANSWERED, Cause.NO_TARGET)
    target_latency_ms = target_latency_s * MS_PER_S
    if request.took_ms <= target_latency_ms:
        return Classification(Outcome.IN_TIME, Cause.WITHIN_TARGET)
    ledger_ms = request.ledger_ms
    if ledger_ms > SLOW_LEDGER_MS and request.took_ms - ledger_ms <= target_latency_ms:
        return Classification(Outcome.LATE, Cause.LEDGER_SLOW)
    return Classification(Outcome.LATE, _longest_phase(request))


def _unrouted_cause(request: RequestRecord) -> Cause:
    reason = request.reason
    if reason.startswith((KEY_REQUIRED, UNKNOWN_KEY)):
        return Cause.NO_CUSTOMER_KEY
    if reason == NO_CONFIGURATION or reason.startswith((STALE_ROUTES, STALE_CUSTOMERS)):
        return Cause.NOT_CONFIGURED
    if reason.startswith(NO_ROUTE):
        return Cause.UNKNOWN_ROUTE
    if reason == PROCESS_STOPPING:
        return Cause.RELAY_STOPPING
    if reason.startswith(RELAY_OVERLOADED):
        return Cause.RELAY_OVERLOADED
    if reason == BUFFERS_FULL:
        return Cause.RELAY_BUFFERS
    return Cause.OTHER_REJECTION


def _refusal_cause(request: RoutedRequestRecord) -> Cause:
    reason = request.reason
    if request.status != SERVICE_UNAVAILABLE:
        if reason.startswith(OVER_QUOTA):
            return Cause.OVER_QUOTA
        if reason.endswith(BUDGET_EXHAUSTED):
            return Cause.BUDGET_EXHAUSTED
        return (
            Cause.UNKNOWN_TURN
            if reason.startswith(UNKNOWN_TURN)
            else Cause.OTHER_REJECTION
        )
    if TOO_FEW_REPLICAS in reason:
        is_slow = request.ledger_ms > SLOW_LEDGER_MS
        return Cause.LEDGER_SLOW if is_slow else Cause.LEDGER_UNREACHABLE
    if reason == NO_ROOM_FOR_TURN:
        return Cause.LEDGER_FULL
    if QUOTA_UNREACHABLE in reason:
        return Cause.QUOTA_UNREACHABLE
    if reason.startswith(QUARANTINED):
        return Cause.QUARANTINED
    if reason == NO_SERVER:
        return Cause.NO_SERVER
    # After a timeout the reason may still be that of a server tried earlier.
    if reason == NO_TIME_LEFT or request.left_ms <= 0:
        return _longest_phase(request)
    if reason == SERVERS_FULL or reason.startswith(REJECTED_BY_SERVER):
        return Cause.SERVERS_FULL
    return Cause.NO_SERVER_CONNECTION if request.servers else Cause.UNRECOGNIZED


def _failure_cause(request: RoutedRequestRecord) -> Cause:
    if not request.reason:
        return Cause.SERVER_RESPONSE
    if request.status == GATEWAY_TIMEOUT:
        is_timeout = request.reason == RESPONSE_TIMEOUT or request.left_ms <= 0
        return _longest_phase(request) if is_timeout else Cause.SERVER_RESPONSE
    if request.reason == BUDGET_EXCEEDED:
        return Cause.RELAY_BUFFERS
    if request.status == BAD_GATEWAY:
        return Cause.SERVER_DISCONNECTED
    # The reason belongs to a server tried before the one that responded.
    return Cause.SERVER_RESPONSE if len(request.servers) > 1 else Cause.UNRECOGNIZED


def _interruption_cause(request: RoutedRequestRecord, is_aborted: bool) -> Cause:
    if request.reason == TURN_NOT_STORED:
        return Cause.TURN_NOT_STORED
    if request.reason.startswith(SLOW_CALLER):
        return Cause.CALLER_SLOW
    if request.reason == BUDGET_EXCEEDED:
        return Cause.RELAY_BUFFERS
    if request.reason == RESPONSE_TIMEOUT or request.left_ms <= 0:
        return _longest_phase(request)
    if request.reason:
        return Cause.SERVER_DISCONNECTED
    if is_aborted or request.stopping_ms is not None:
        return Cause.RELAY_STOPPING
    return Cause.CALLER_DISCONNECTED


def _longest_phase(request: RoutedRequestRecord) -> Cause:
    """Return the phase that took most of the time of a request.

    A response without events has no streaming phase: its whole time counts as time
    before the first event.  A program's request that was sent to no server spent its
    time on the reservation.
    """
    if request.program and not request.servers:
        return Cause.OVERRUN_IN_LEDGER
    first_ms = request.first_ms or request.took_ms
    phases_ms = {
        Cause.OVERRUN_IN_LEDGER: request.ledger_ms,
        Cause.OVERRUN_BEFORE_FIRST_EVENT: first_ms - request.ledger_ms,
        Cause.OVERRUN_AFTER_FIRST_EVENT: request.took_ms - first_ms,
    }
    return max(phases_ms, key=lambda cause: phases_ms[cause])
