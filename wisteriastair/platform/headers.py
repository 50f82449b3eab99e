"""Headers of requests from callers, of requests to servers, and of responses."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from ..http1.messages import Headers, Request, ResponseHead, end_to_end_headers, header
from ..scheduling.fleet import Load
from ..scheduling.reuse import PromptSegment
from .credentials import AUTHORIZATION, key_digest

MS_PER_S: Final = 1000.0
REQUEST_ID: Final = b"X-Request-Id"
RETRY_AFTER: Final = b"Retry-After"
READY_PATH: Final = "/v1/ready"
LAST_EVENT_ID: Final = b"Last-Event-Id"
CUSTOMER_HEADER: Final = b"X-Tenant"

# Largest plausible figures in a load report: requests or slots, and the pace, which
# states a machine that is a hundred times slower than usual.
MAX_LOAD_COUNT: Final = 100_000
MAX_PACE: Final = 10_000.0
# Largest number of tokens in a header of a caller. Sums of them fit into a float
# and into 64 bits of a message.
MAX_TOKEN_COUNT: Final = 10**12

# Headers that only the system may set.  A caller that set them could lease memory of an
# engine, continue from another caller's cache, or raise its own priority.
SYSTEM_HEADERS: Final = frozenset(
    (
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-request-priority",
        b"x-tenant",
    )
)


# Headers that differ between the attempts of one request.
ATTEMPT_HEADERS: Final = frozenset(
    (b"x-request-id", b"x-deadline-ms", b"x-finish-ms", b"last-event-id")
)


class CallerRequest(NamedTuple):
    """Request headers of a caller, decoded.

    Attributes
    ----------
    id : str
        Identifies this attempt; a retry has another id.
    host : str
        In lower case and without a port.
    wait_s : float or None
        Seconds for which the caller waits; None if not given.
    program, session : str
        Ids of the program and of its session; empty for a single request.
    finish_s : float or None
        Seconds until the whole program should be finished.
    budget : int or None
        Tokens that all turns of the program may generate together.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the maximum number of tokens to generate.
    parts : tuple of PromptSegment
        Segments of the prompt, in order.
    previous_id : str
        Id of the turn that this one continues; empty at the start of a chain.
    key : str
        Digest of the customer's key; empty without a valid key.
    """

    id: str
    host: str
    wait_s: float | None
    program: str
    session: str
    finish_s: float | None
    budget: int | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptSegment, ...]
    previous_id: str
    key: str = ""


class InvalidHeader(NamedTuple):
    """A header that does not decode."""

    name: str
    value: str

    def __str__(self) -> str:
        return f"header {self.name}: {self.value!r} cannot be read"


def decode_request(req: Request) -> CallerRequest | InvalidHeader:
    """Decode the headers of a caller's request."""
    values = {name.lower(): value.decode("latin-1") for name, value in req.headers}
    request_id = values.get(b"x-request-id", "")
    if not request_id:
        return InvalidHeader("X-Request-Id", "")
    try:
        wait_ms = _parse_number(values, b"x-deadline-ms")
        finish_ms = _parse_number(values, b"x-finish-ms")
        budget = _parse_number(values, b"x-token-budget")
    except ValueError as exc:
        return InvalidHeader("a number", str(exc))
    try:
        prompt, output = _parse_token_usage(values.get(b"x-token-usage", ""))
        parts = _parse_prompt_segments(values.get(b"x-prompt-prefix", ""))
    except ValueError as exc:
        return InvalidHeader("X-Token-Usage or X-Prompt-Prefix", str(exc))
    return CallerRequest(
        id=request_id,
        host=values[b"host"].partition(":")[0].lower(),
        wait_s=None if wait_ms is None else wait_ms / MS_PER_S,
        program=values.get(b"x-program-id", ""),
        session=values.get(b"x-session-id", ""),
        finish_s=None if finish_ms is None else finish_ms / MS_PER_S,
        budget=None if budget is None else int(budget),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=parts,
        previous_id=values.get(b"x-previous-turn", ""),
        key=key_digest(req.headers),
    )


def _parse_number(values: dict[bytes, str], name: bytes) -> float | None:
    """Decode a finite, non-negative number; None if the header is missing.

    A time of "nan" or "inf" would fail only when it is used, in the middle of a
    request, and the connection would close without a response.

    Raises
    ------
    ValueError
        If the header is not such a number.
    """
    value = values.get(name)
    if value is None:
        return None
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(value)
    return number


def _parse_token_count(value: str) -> int:
    """Decode a number of tokens.

    Reserving a negative number would raise the program's remaining budget above its
    limit. A number that exceeds a float would raise in sums over all requests, and end
    the report of servers and with it the process.

    Raises
    ------
    ValueError
        If the value is not a number, negative or too large.
    """
    count = int(value)
    if not 0 <= count <= MAX_TOKEN_COUNT:
        raise ValueError(value)
    return count


def _parse_token_usage(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.partition(",")
    return _parse_token_count(prompt), _parse_token_count(output or "0")


def _parse_prompt_segments(value: str) -> tuple[PromptSegment, ...]:
    if not value:
        return ()
    pairs = (part.strip().partition(":") for part in value.split(","))
    return tuple(
        PromptSegment(name, _parse_token_count(tokens)) for name, _, tokens in pairs
    )


def common_headers(req: Request) -> Headers:
    """Return the headers that all attempts of a request have in common."""
    return [
        (name, value)
        for name, value in end_to_end_headers(req.headers)
        if name.lower() not in ATTEMPT_HEADERS
    ]


def forwarded_headers(
    req: Request,
    *,
    remaining_s: float,
    server_id: str,
    body_bytes: int,
    engine_priority: int | None = None,
    last_event_id: str | None = None,
    customer: str | None = None,
) -> Headers:
    """Return the headers of a request sent to a server.

    Parameters
    ----------
    remaining_s : float
        Seconds until the caller's deadline.
    server_id : str
        Id of the server process that may run the request; another process at the
        same address rejects it.
    engine_priority : int or None
        Priority on the engine, 0 (first) to 9.
    last_event_id : str or None
        Id of the event after which the stream resumes.
    customer : str or None
        Name of the customer, sent to the server; empty on a route without
        authentication.  None if no customers are configured: the caller's
        Authorization header may then be meant for the server and is forwarded.
    """
    headers = [
        (name, value)
        for name, value in end_to_end_headers(req.headers)
        if name.lower() not in SYSTEM_HEADERS
        and not (customer is not None and name.lower() == AUTHORIZATION)
        and not (last_event_id is not None and name.lower() == b"last-event-id")
    ]
    remaining_ms = max(1, int(remaining_s * MS_PER_S))
    headers.append((b"X-Deadline-Ms", str(remaining_ms).encode()))
    headers.append((b"X-Expect-Instance", server_id.encode()))
    if engine_priority is not None:
        headers.append((b"X-Request-Priority", str(engine_priority).encode()))
    if customer:
        headers.append((CUSTOMER_HEADER, customer.encode()))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode()))
    if body_bytes or req.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append((b"Content-Length", str(body_bytes).encode()))
    return headers


def response_headers(head: ResponseHead) -> Headers:
    """Return the headers of a server's response that are sent to the caller."""
    return end_to_end_headers(head.headers)


def was_not_executed(head: ResponseHead) -> bool:
    """Whether the server states that it did not run the request."""
    return head.status == 421 or bool(header(head.headers, b"x-not-executed"))


def has_server_stamp(head: ResponseHead) -> bool:
    """Whether a successful response has the server's stamp and no content coding."""
    stamp = header(head.headers, b"x-server-stamp")
    content_coding = header(head.headers, b"content-encoding")
    return bool(stamp) and not content_coding


class LoadReport(NamedTuple):
    """A server's report of its load, decoded.

    Attributes
    ----------
    load : Load or None
        The load; None without a report or if one of its first three figures is wrong.
    problem : str
        What is wrong with the report; empty if nothing is.
    """

    load: Load | None
    problem: str = ""


def reported_load(head: ResponseHead) -> LoadReport:
    """Return the load that a server reports in a response.

    A wrong fourth figure does not invalidate the first three, and further figures are
    ignored: a newer build of the server may send them.
    """
    value = header(head.headers, b"x-server-load")
    if not value:
        return LoadReport(None)
    figures = value.split(",")
    try:
        running, waiting, slots = (_parse_load_count(part) for part in figures[:3])
    except ValueError:
        return LoadReport(None, "one of the first three figures")
    load = Load(running, waiting, slots)
    if len(figures) == 3:
        return LoadReport(load)
    try:
        load = load._replace(pace=_parse_pace(figures[3]))
    except ValueError:
        return LoadReport(load, "the fourth figure")
    return LoadReport(load, "more than four figures" if len(figures) > 4 else "")


def _parse_load_count(value: str) -> int:
    count = int(value)
    if not 0 <= count <= MAX_LOAD_COUNT:
        raise ValueError(value)
    return count


def _parse_pace(value: str) -> float:
    pace = float(value)
    if not 0.0 < pace <= MAX_PACE:
        raise ValueError(value)
    return pace
