"""Headers of requests on the users' platform, decoded once and written once."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from ..core.fleet import Load
from ..core.reuse import PromptSegment
from ..http1.messages import Headers, Request, ResponseHead, end_to_end, header
from .credentials import AUTHORIZATION, key_digest

MS_PER_S: Final = 1000.0
REQUEST_ID: Final = b"X-Request-Id"
RETRY_AFTER: Final = b"Retry-After"
READY_PATH: Final = "/v1/ready"
LAST_EVENT_ID: Final = b"Last-Event-Id"
CUSTOMER: Final = b"X-Tenant"

# Headers that only the system may set: a caller's own would let it hold memory of an
# engine, go on from another's, or overtake others.
SET_BY_SYSTEM: Final = frozenset(
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


class CallerRequest(NamedTuple):
    """What a request says of itself.

    Attributes
    ----------
    id : str
        Names this attempt; a retry has another one.
    host : str
        In lower case and without a port.
    wait_s : float or None
        Seconds for which the caller waits; None if it does not say.
    program, session : str
        The program, and its line of turns; empty for a single request.
    finish_s : float or None
        Seconds until the whole program should be finished.
    budget : int or None
        Tokens that all turns of the program may generate together.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the most that are generated.
    parts : tuple of PromptSegment
        Parts of the prompt in their order.
    previous_id : str
        The turn that this one continues; empty at the start of a chain.
    key : str
        Digest of the customer's key; empty without a usable one.
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
    """A header that cannot be read."""

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
        wait_ms = _number(values, b"x-deadline-ms")
        finish_ms = _number(values, b"x-finish-ms")
        budget = _number(values, b"x-token-budget")
    except ValueError as exc:
        return InvalidHeader("a number", str(exc))
    try:
        prompt, output = _usage(values.get(b"x-token-usage", ""))
        parts = _parts(values.get(b"x-prompt-prefix", ""))
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


def _number(values: dict[bytes, str], name: bytes) -> float | None:
    """Read a number that is finite and not negative.

    A time of "nan" or "inf" would only fail where it is used, in the middle of a
    request, and its channel would end without an answer.

    Raises
    ------
    ValueError
        If it is anything else.
    """
    value = values.get(name)
    if value is None:
        return None
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(value)
    return number


def _count(value: str) -> int:
    """Read a number of tokens.

    A negative one would be reserved as it is, and make room in the program's budget for
    tokens that the budget does not hold.

    Raises
    ------
    ValueError
        If it is no number, or negative.
    """
    count = int(value)
    if count < 0:
        raise ValueError(value)
    return count


def _usage(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.partition(",")
    return _count(prompt), _count(output or "0")


def _parts(value: str) -> tuple[PromptSegment, ...]:
    if not value:
        return ()
    pairs = (part.strip().partition(":") for part in value.split(","))
    return tuple(PromptSegment(name, _count(tokens)) for name, _, tokens in pairs)


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
    """Headers with which a request goes to a server.

    Parameters
    ----------
    remaining_s : float
        Seconds that the caller still waits.
    server_id : str
        The only start of a server that may run the request; another one that has
        got the same address refuses it.
    engine_priority : int or None
        Priority on an engine, 0 to 9 with 0 first.
    last_event_id : str or None
        Id of the event after which a stream goes on.
    customer : str or None
        Who asks, as the server is told; empty on a route without keys.  None where
        nobody's keys are known: the header may then be meant for the server itself.
    """
    headers = [
        (name, value)
        for name, value in end_to_end(req.headers)
        if name.lower() not in SET_BY_SYSTEM
        and not (customer is not None and name.lower() == AUTHORIZATION)
        and not (last_event_id is not None and name.lower() == b"last-event-id")
    ]
    left_ms = max(1, int(remaining_s * MS_PER_S))
    headers.append((b"X-Deadline-Ms", str(left_ms).encode()))
    headers.append((b"X-Expect-Instance", server_id.encode()))
    if engine_priority is not None:
        headers.append((b"X-Request-Priority", str(engine_priority).encode()))
    if customer:
        headers.append((CUSTOMER, customer.encode()))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode()))
    if body_bytes or req.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append((b"Content-Length", str(body_bytes).encode()))
    return headers


def response_headers(head: ResponseHead) -> Headers:
    """Headers with which a server's answer goes to the caller."""
    return end_to_end(head.headers)


def was_not_executed(head: ResponseHead) -> bool:
    """Whether the server states that it did not run the request."""
    return head.status == 421 or bool(header(head.headers, b"x-not-executed"))


def has_server_stamp(head: ResponseHead) -> bool:
    """Whether a success bears what every server's own answer bears."""
    stamped = header(head.headers, b"x-server-stamp")
    encoded = header(head.headers, b"content-encoding")
    return bool(stamped) and not encoded


def reported_load(head: ResponseHead) -> Load | None:
    """Load that the server reports with an answer."""
    value = header(head.headers, b"x-server-load")
    try:
        running, waiting, slots = (int(part) for part in value.split(","))
    except ValueError:
        return None
    return Load(running, waiting, slots)
