"""The messages between the processes of the system.

Every message is one-way and may be lost, doubled, delayed or overtaken; the state
machines repeat what matters and recognise what they have already seen.  Results
are matched by their ids (program, call number, attempt), never by the connection
or by the order in which they arrive, so a late or crossed answer cannot reach the
wrong caller.

A process is named by its *member* id, ``address#incarnation``.  A restarted
process has a new incarnation, so nothing that was meant for the old one is taken
for its own.
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
    """Liveness and the newest revisions the sender holds.

    Attributes
    ----------
    domain : str
        Failure domain of the sender.
    draining : bool
        Whether the sender is in a planned stop.
    carried : int
        Slots the sender carries or copies, for placing copies evenly.
    leads : int
        Slots the sender carries.
    revisions : dict of str to int
        Newest revision held of each document.
    reply : bool
        Whether the receiver is asked for a heartbeat of its own.
    """

    domain: str
    draining: bool
    carried: int
    leads: int
    revisions: dict[str, int]
    reply: bool


class DocPush(NamedTuple):
    """A document at a revision, for a peer that holds an older one."""

    key: str
    revision: int
    value: bytes


class DocPull(NamedTuple):
    """A request for documents newer than the revisions given."""

    revisions: dict[str, int]


class Entry(NamedTuple):
    """One position of a slot's log.

    ``digest`` chains the record to its predecessor in the same program, so a copy
    can refuse a record that is missing, doubled, reordered or of another program.
    An empty ``body`` drops the program from the log.
    """

    program: str
    position: int
    digest: bytes
    body: bytes


class Append(NamedTuple):
    """Log entries from a carrier to its standby or learner."""

    slot: int
    epoch: int
    session: int
    first: int
    entries: tuple[Entry, ...]


class Acknowledge(NamedTuple):
    """The copy holds all entries up to ``last``."""

    slot: int
    epoch: int
    session: int
    last: int


class Copy(NamedTuple):
    """All entries of one program, for a learner."""

    slot: int
    epoch: int
    session: int
    program: str
    entries: tuple[Entry, ...]


class CopyEnd(NamedTuple):
    """The end of a copy: programs it had and the position it stands for."""

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
        Identity, by which the gate refuses a second run.
    slot, epoch : int
        The carrier's authority; a gate refuses an epoch older than it has seen.
    gate : str
        The member the intent names; another incarnation must not run the call.
    server : str
        Backend server behind the gate.
    kind : str
        ``model`` or ``tool``.
    name : str
        Model version or tool operation.
    body : str
        Encoded request.
    offset : int
        Characters of the output that are committed already, when an interrupted
        model call goes on from its prefix.
    repeatable : bool
        Whether the call may run twice.
    max_tokens : int
        Completion tokens the reservation covers.
    priority : int
        Service priority; higher goes first.
    age_s : float
        Seconds since the program started.
    prompt_tokens : int
        Upper bound of the prompt, for admission by engine memory.
    timeout_s : float
        Seconds until the gate gives the call up.
    issued_at : float
        Time of dispatch (seconds since the epoch) at the carrier.
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
    """What became of a call; an unknown id is poisoned by the question."""

    call: CallId
    slot: int
    epoch: int
    gate: str
    server: str
    offset: int


class GateCancel(NamedTuple):
    """Stop a call whose result nobody needs."""

    call: CallId
    server: str


class GateForget(NamedTuple):
    """The outcome is committed; the gate may drop the stored result."""

    call: CallId
    server: str


class HoldRenew(NamedTuple):
    """Programs of this carrier whose engine memory is still wanted."""

    server: str
    programs: tuple[str, ...]


class HoldRelease(NamedTuple):
    """Programs whose engine memory must be released now."""

    server: str
    programs: tuple[str, ...]


class ServerLoad(NamedTuple):
    """A gate's view of its backend server, piggybacked on results."""

    queued: int
    running: int
    tokens_held: int
    tokens_limit: int


class CallText(NamedTuple):
    """Output of a running model call from ``offset`` (characters)."""

    call: CallId
    offset: int
    text: str


class CallResult(NamedTuple):
    """The end of a call.

    ``status`` is ``ok``, ``error``, ``refused`` or ``lost``; ``ran`` is ``yes``,
    ``no`` or ``unknown``.  Only a gate that never dispatched the call, and never
    will, says ``no``.
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
    """The call is queued or running; sent in answer to a look-up."""

    call: CallId
    server: str
    load: ServerLoad


class ProgramStart(NamedTuple):
    """A caller's request, from an entry to the carrier of the slot.

    ``budget`` of 0 asks for the service's own.  With an ``operation`` it is a plain
    call: ``service`` is the provider, ``prompt`` the body.
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
    """Send everything after a position of an existing program.

    Repeated by the entry as long as its caller waits; a subscription that is not
    renewed expires.
    """

    request: str
    slot: int
    program: str
    customer: str
    number: int
    offset: int
    stream: bool


class ProgramCancel(NamedTuple):
    """The caller no longer wants the program."""

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
    """The final answer to a request.

    ``status`` is ``done`` for a whole answer; anything else is an error code of
    `wisteriastair.errors`.  ``retry_after_s`` of 0 means that asking again is of
    no use.
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
    """The program is under way; sent at once in answer to start or attach."""

    request: str
    program: str


class NotPrimary(NamedTuple):
    """The receiver does not carry the slot; ask the table again."""

    request: str
    slot: int


class ListPrograms(NamedTuple):
    """An operator's question to one carrier."""

    request: str
    customer: str
    limit: int


class ProgramRow(NamedTuple):
    """One line of the operators' listing of programs."""

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
    """A carrier's answer to `ListPrograms`."""

    request: str
    rows: tuple[ProgramRow, ...]


Message = (
    Heartbeat
    | DocPush
    | DocPull
    | Append
    | Acknowledge
    | Copy
    | CopyEnd
    | GateCall
    | GateLookup
    | GateCancel
    | GateForget
    | HoldRenew
    | HoldRelease
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
    """Decode what `encode_message` wrote.

    Raises
    ------
    msgspec.DecodeError, IndexError
        If the bytes are not a message; the receiver drops and counts them.
    """
    message: Message = _DECODERS[data[0]].decode(data[1:])
    return message
