"""Error codes for callers and operators, their HTTP statuses and response bodies.

A function that can fail returns a `Failure` in place of its result.  Exceptions are
used only for broken invariants and where libraries raise them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple, TypedDict


class Code(StrEnum):
    """Error codes that are reported to callers and operators."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SERVER = "unknown_server"
    UNKNOWN_PROGRAM = "unknown_program"
    TOO_LARGE = "too_large"
    SYNTAX = "syntax"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    OVERLOADED = "overloaded"
    NO_PRIMARY = "no_carrier"
    NO_SERVER = "no_server"
    PLATFORM_DOWN = "platform_down"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BUDGET_EXHAUSTED = "budget_exhausted"
    TURN_LIMIT = "turn_limit"
    TIME_LIMIT = "time_limit"
    TOOL_FAILED = "tool_failed"
    MODEL_FAILED = "model_failed"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    TIMED_OUT = "timed_out"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TURN = "unknown_turn"
    BUDGET_SPENT = "budget_spent"
    SLOW_REQUEST = "slow_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    NOT_CONFIGURED = "not_configured"
    LEDGER_UNREACHABLE = "ledger_away"
    LEDGER_FULL = "ledger_full"
    SERVERS_FULL = "servers_full"
    SERVER_LOST = "server_lost"
    TOO_LATE = "too_late"
    OVER_QUOTA = "over_quota"
    QUOTA_UNREACHABLE = "quota_away"
    RELAY_OVERLOADED = "relay_overloaded"
    QUARANTINED = "quarantined"


HTTP_STATUS: Final[dict[Code, int]] = {
    Code.BAD_REQUEST: 400,
    Code.SYNTAX: 400,
    Code.UNAUTHORIZED: 401,
    Code.FORBIDDEN: 403,
    Code.UNKNOWN_SERVICE: 404,
    Code.UNKNOWN_SERVER: 404,
    Code.UNKNOWN_PROGRAM: 404,
    Code.CONFLICT: 409,
    Code.KEY_REUSED: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.TOO_LARGE: 413,
    Code.OVERLOADED: 429,
    Code.PLATFORM_DOWN: 503,
    Code.NO_PRIMARY: 503,
    Code.NO_SERVER: 503,
    Code.STOPPING: 503,
    Code.TIMED_OUT: 504,
    Code.UNKNOWN_ROUTE: 404,
    Code.UNKNOWN_TURN: 404,
    Code.BUDGET_SPENT: 402,
    Code.SLOW_REQUEST: 408,
    Code.HEADERS_TOO_LARGE: 431,
    Code.NOT_CONFIGURED: 503,
    Code.LEDGER_UNREACHABLE: 503,
    Code.LEDGER_FULL: 503,
    Code.SERVERS_FULL: 503,
    Code.TOO_LATE: 503,
    Code.OVER_QUOTA: 429,
    Code.QUOTA_UNREACHABLE: 503,
    Code.RELAY_OVERLOADED: 503,
    Code.QUARANTINED: 503,
    Code.SERVER_LOST: 502,
}

# For codes of programs that ended without an answer: the request itself was valid.
PROGRAM_ENDED_STATUS: Final = 422


class Failure(NamedTuple):
    """The reason of a failed operation, returned in place of its result.

    Attributes
    ----------
    code : Code
        Kind of failure.
    detail : str
        Description for people, in one line.
    ran : str
        ``no``, ``yes`` or ``unknown``: whether anything irreversible may have run.
    retry_after_s : float
        Seconds to wait before a retry; 0 if a retry is of no use.
    column : int
        Position of a syntax error, counted from 1; 0 for none.
    """

    code: Code
    detail: str
    ran: str = "no"
    retry_after_s: float = 0.0
    column: int = 0


class ErrorBody(TypedDict):
    """Body of every error response."""

    code: str
    ran: str
    retry_after_s: float
    detail: str


def http_status(code: Code) -> int:
    """Return the HTTP status for a code."""
    return HTTP_STATUS.get(code, PROGRAM_ENDED_STATUS)


def error_body(failure: Failure) -> ErrorBody:
    """Return the response body that reports a failure."""
    return ErrorBody(
        code=failure.code.value,
        ran=failure.ran,
        retry_after_s=failure.retry_after_s,
        detail=failure.detail,
    )
