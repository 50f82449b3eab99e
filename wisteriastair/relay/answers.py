"""Error responses that the relay itself sends to callers.

A status of 408, 421, 429 or 503 guarantees that the request has not run and never will.
Other statuses guarantee nothing.
"""

from __future__ import annotations

from typing import Final

import msgspec

from ..errors import Code, Failure, error_body, http_status
from ..http1.caller import CallerConnection
from ..http1.messages import Headers
from ..platform.headers import REQUEST_ID, RETRY_AFTER

JSON_CONTENT_TYPE: Final = (b"Content-Type", b"application/json")

SERVER_ERROR_STATUSES: Final = range(500, 600)
# Redirections included: they answer the request as it is.
ANSWER_STATUSES: Final = range(200, 400)
GATEWAY_TIMEOUT: Final = 504

_CODE_BY_STATUS: Final = {
    400: Code.BAD_REQUEST,
    404: Code.UNKNOWN_ROUTE,
    408: Code.SLOW_REQUEST,
    413: Code.TOO_LARGE,
    431: Code.HEADERS_TOO_LARGE,
    503: Code.RELAY_OVERLOADED,
}


def send_failure(
    caller_conn: CallerConnection, request_id: str, failure: Failure
) -> int:
    """Send a failure to the caller and return its status."""
    status = http_status(failure.code)
    headers: Headers = [JSON_CONTENT_TYPE]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1")))
    if failure.retry_after_s > 0:
        headers.append((RETRY_AFTER, f"{failure.retry_after_s:.3f}".encode()))
    caller_conn.respond(status, headers, msgspec.json.encode(error_body(failure)))
    return status


def is_server_error(status: int) -> bool:
    """Whether a response status counts as a failure of the server.

    A 504 does not: the request had too little time, which is not the server's fault.
    """
    return status in SERVER_ERROR_STATUSES and status != GATEWAY_TIMEOUT


def is_success(status: int) -> bool:
    """Whether a server that responds with a status has done what was asked."""
    return status in ANSWER_STATUSES


def code_for_status(status: int) -> Code:
    """Return the error code for the status of a request that could not be read."""
    return _CODE_BY_STATUS[status]
