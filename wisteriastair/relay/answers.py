"""The system's own answers to callers: refusals and failures.

A status of 408, 421, 429 or 503 promises that the request has not run and never will.
Everything else that the system says itself promises nothing.
"""

from __future__ import annotations

from typing import Final

import msgspec

from ..errors import Code, Failure, error_body, http_status
from ..http1.caller import CallerConnection
from ..http1.messages import Headers
from ..platform.headers import REQUEST_ID, RETRY_AFTER

JSON: Final = (b"Content-Type", b"application/json")

SERVER_ERRORS: Final = range(500, 600)
GATEWAY_TIMEOUT: Final = 504

_STATUS_CODES: Final = {
    400: Code.BAD_REQUEST,
    404: Code.UNKNOWN_ROUTE,
    408: Code.SLOW_REQUEST,
    413: Code.TOO_LARGE,
    431: Code.HEADERS_TOO_LARGE,
}


def fail(caller_conn: CallerConnection, request_id: str, failure: Failure) -> int:
    """Answer a request with a failure; return the status."""
    status = http_status(failure.code)
    headers: Headers = [JSON]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1")))
    if failure.retry_after_s > 0:
        headers.append((RETRY_AFTER, f"{failure.retry_after_s:.3f}".encode()))
    caller_conn.respond(status, headers, msgspec.json.encode(error_body(failure)))
    return status


def is_server_error(status: int) -> bool:
    """Whether a server's answer speaks against the server.

    A 504 does not: it ends what had too little time, whatever the server.
    """
    return status in SERVER_ERRORS and status != GATEWAY_TIMEOUT


def code_of(status: int) -> Code:
    """Code of a request that could not be taken."""
    return _STATUS_CODES[status]
