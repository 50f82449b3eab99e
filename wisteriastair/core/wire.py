"""The messages between the processes of the system.

Every message is one-way and may be lost, duplicated, delayed or reordered.  The state
machines repeat messages until they are answered and recognise duplicates.  Results
are matched by their ids (program, call number, attempt), never by the connection
or by the order of arrival, so a late or reordered answer cannot reach the wrong
caller.

A process is identified by its *member* id, ``address#incarnation``.  A restarted
process has a new incarnation, so it does not accept messages for the old one.
"""

from __future__ import annotations

from typing import Any, Final, NamedTuple

import msgspec

from .records import Action


class CallId(NamedTuple):
    """The identity of one attempt at one call of a program."""

    program: str
    number: int
    attempt: int


class Heartbeat(NamedTuple):
    """Liveness and document revisions of the sender.

    Attributes
    ----------
    domain : str
        Failure domain of the sender.
    draining : bool
        Whether the sender is in a planned stop.
    replica_count : int
        Number of slots of which the sender has a replica, for even placement.
    primary_count : int
        Number of slots whose primary is the sender.
    revisions : dict of str to int
        Stored revision of each document.
    reply : bool
        Whether the receiver should reply with its own heartbeat.
    """

    domain: str
    draining: bool
    replica_count: int
    primary_count: int
    revisions: dict[str, int]
    reply: bool


class DocPush(NamedTuple):
    """A document at a revision, for a peer that has an older one."""

    key: str
    revision: int
    value: bytes


class DocPull(NamedTuple):
    """A request for documents newer than the revisions given."""

    revisions: dict[str, int]


class Entry(NamedTuple):
    """One entry in the log of a slot.

    ``digest`` chains the record to its predecessor in the same program, so a copy
    can refuse a record that is missing, duplicated, reordered or of another program.
    An empty ``body`` drops the program from the log.
    """

    program: str
    position: int
    digest: bytes
    body: bytes


class Append(NamedTuple):
    """Log entries from a primary to its standby or learner."""

    slot: int
    epoch: int
    session: int
    first: int
    entries: tuple[Entry, ...]


class Acknowledge(NamedTuple):
    """The standby or learner has stored all entries up to ``last``."""

    slot: int
    epoch: int
    session: int
    last: int


class ProgramCopy(NamedTuple):
    """All entries of one program, for a learner."""

    slot: int
    epoch: int
    session: int
    program: str
    entries: tuple[Entry, ...]


class CopyEnd(NamedTuple):
    """The end of a copy: its number of programs and its last position."""

    slot: int
    epoch: int
    session: int
    programs: int
    last: int


class GateCall(NamedTuple):
    """A request to dispatch a call to a backend server.

    Attributes
    ----------
    call : CallId
        Id by which the gate refuses a second run.
    slot, epoch : int
        Slot of the program and its epoch; a gate ignores an epoch older than the
        newest that it has seen.
    gate : str
        Member id of the gate in the intent; another incarnation must not run the
        call.
    server : str
        Backend server behind the gate.
    kind : str
        ``model`` or ``tool``.
    name : str
        Model version or tool operation.
    body : str
        Encoded request.
    offset : int
        Number of characters of the output that are already committed, when an
        interrupted model call is continued.
    repeatable : bool
        Whether the call may run twice.
    max_tokens : int
        Maximum number of completion tokens, which the reservation covers.
    priority : int
        Service priority; higher goes first.
    age_s : float
        Seconds since the program started.
    prompt_tokens : int
        Upper bound of the prompt in tokens, for admission by engine memory.
    timeout_s : float
        Seconds until the gate gives the call up.
    issued_at : float
        Time of dispatch at the primary, in seconds since the Unix epoch.
    trace : str
        Parent span (W3C ``traceparent``).
    """

    call: CallId
    slot: int
    epoch: int
    gate: str
    server: str
    kind: str
    name: str
    body: str
    offset: int
    repeatable: bool
    max_tokens: int
    priority: int
    age_s: float
    prompt_tokens: int
    timeout_s: float
    issued_at: float
    trace: str


class GateLookup(NamedTuple):
    """A request for the state of a call; an unknown id gets a tombstone."""

    call: CallId
    slot: int
    epoch: int
    gate: str
    server: str
    offset: int


class GateCancel(NamedTuple):
    """Stop a call whose result is no longer needed."""

    call: CallId
    server: str


class GateDiscard(NamedTuple):
    """The outcome is committed; the gate may drop the stored result."""

    call: CallId
    server: str


class LeaseRenew(NamedTuple):
    """Programs of this primary whose cache leases are renewed."""

    server: str
    programs: tuple[str, ...]


class LeaseRelease(NamedTuple):
    """Programs whose cache leases end now."""

    server: str
    programs: tuple[str, ...]


class ServerLoad(NamedTuple):
    """Load of a backend server as known to its gate, sent with results."""

    queued: int
    running: int
    tokens_in_use: int
    token_limit: int


class CallText(NamedTuple):
    """Output of a running model call from ``offset`` (characters)."""

    call: CallId
    offset: int
    text: str


class CallResult(NamedTuple):
    """The end of a call.

    ``status`` is ``ok``, ``error``, ``refused`` or ``lost``; ``ran`` is ``yes``,
    ``no`` or ``unknown``.  A gate reports ``no`` only if it has never dispatched the
    call and never will.
    """

    call: CallId
    server: str
    status: str
    ran: str
    text: str
    actions: tuple[Action, ...]
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    retry_after_s: float
    load: ServerLoad


class CallPending(NamedTuple):
    """The call is queued or running; sent in reply to a look-up."""

    call: CallId
    server: str
    load: ServerLoad


class ProgramStart(NamedTuple):
    """A request of a caller, from an entry to the primary of the slot.

    A ``budget`` of 0 means the default of the service.  With an ``operation`` it is a
    plain call: ``service`` is the provider and ``prompt`` the body.
    """

    request: str
    slot: int
    program: str
    service: str
    customer: str
    prompt: str
    budget: int
    stream: bool
    operation: str
    repeatable: bool
    trace: str


class ProgramAttach(NamedTuple):
    """A subscription to the output of an existing program after a position.

    The entry repeats it while its caller waits; a subscription that is not renewed
    expires.
    """

    request: str
    slot: int
    program: str
    customer: str
    number: int
    offset: int
    stream: bool


class ProgramCancel(NamedTuple):
    """The caller cancels the program."""

    request: str
    slot: int
    program: str
    customer: str


class ProgramText(NamedTuple):
    """Committed output of model call ``number`` from ``offset``."""

    request: str
    program: str
    number: int
    offset: int
    text: str


class ProgramOutcome(NamedTuple):
    """Final outcome of a request.

    ``status`` is ``done`` for a complete answer; other values are error codes of
    `wisteriastair.errors`.  A ``retry_after_s`` of 0 means that a retry is useless.
    """

    request: str
    program: str
    status: str
    ran: str
    answer: str
    detail: str
    retry_after_s: float
    spent: int
    turns: int


class ProgramPending(NamedTuple):
    """The program is running; sent at once in reply to start or attach."""

    request: str
    program: str


class NotPrimary(NamedTuple):
    """The sender is not the primary of the slot; the slot table has changed."""

    request: str
    slot: int


class ListPrograms(NamedTuple):
    """A request of an operator for the programs of one primary."""

    request: str
    customer: str
    limit: int


class ProgramRow(NamedTuple):
    """One row of the operators' listing of programs.

    The fields are columns of the query language; ``carrier`` is the member id of the
    primary.
    """

    program: str
    service: str
    customer: str
    state: str
    turns: int
    spent: int
    reserved: int
    budget: int
    age_s: float
    carrier: str
    waiting_for: str


class ProgramList(NamedTuple):
    """Reply of a primary to `ListPrograms`."""

    request: str
    rows: tuple[ProgramRow, ...]


Message = (
    Heartbeat
    | DocPush
    | DocPull
    | Append
    | Acknowledge
    | ProgramCopy
    | CopyEnd
    | GateCall
    | GateLookup
    | GateCancel
    | GateDiscard
    | LeaseRenew
    | LeaseRelease
    | CallText
    | CallResult
    | CallPending
    | ProgramStart
    | ProgramAttach
    | ProgramCancel
    | ProgramText
    | ProgramOutcome
    | ProgramPending
    | NotPrimary
    | ListPrograms
    | ProgramList
)

_MESSAGE_TYPES: Final[tuple[type[Any], ...]] = Message.__args__
_DECODERS: Final = tuple(msgspec.msgpack.Decoder(t) for t in _MESSAGE_TYPES)
_CODES: Final = {t: code for code, t in enumerate(_MESSAGE_TYPES)}


def encode_message(message: Message) -> bytes:
    """Encode a message as one type byte followed by MessagePack."""
    return bytes([_CODES[type(message)]]) + msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode the output of `encode_message`.

    Raises
    ------
    msgspec.DecodeError, IndexError
        If the bytes are not a message; the receiver drops and counts them.
    """
    message: Message = _DECODERS[data[0]].decode(data[1:])
    return message
