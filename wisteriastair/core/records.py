"""The log records of a program and their codec.

A program is the fold of its records.  A record is appended by the primary of the
program and takes effect only after the standby has acknowledged it, so two processes
in two failure domains can rebuild the program at any time.  The standby stores the
encoded bytes and decodes them only when it takes over, which limits the cost of a
copy to one append.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from .config import Service


class Limits(NamedTuple):
    """Limits that end a program which would otherwise not terminate.

    Attributes
    ----------
    budget : int
        Maximum number of tokens (prompt and completion) of all calls.
    max_turns : int
        Maximum number of model calls.
    max_tokens : int
        Maximum number of completion tokens of a single model call.
    wall_s : float
        Seconds from the start to the forced end.
    tool_s : float
        Maximum duration of a single tool call in seconds.
    """

    budget: int
    max_turns: int
    max_tokens: int
    wall_s: float
    tool_s: float


class Action(NamedTuple):
    """A tool call or a sub-agent that a model call requested."""

    name: str
    argument: str


class ProgramStarted(NamedTuple):
    """The first record of every program.

    ``definition`` is the service at the time of the start, in case it is removed
    before the program ends.  ``plain`` is set for a plain call of a caller, which runs
    as a program of a single tool call so that the same rules prevent a second run.
    """

    program: str
    parent: str
    service: str
    customer: str
    prompt: str
    limits: Limits
    definition: Service
    started_at: float
    plain: Action | None = None


class CallIntended(NamedTuple):
    """A call is about to be dispatched.

    Committed before the dispatch, so that after a takeover the new primary finds
    that the call may have run and asks the gate before it takes another step.
    """

    program: str
    number: int
    attempt: int
    kind: str
    server: str
    gate: str
    name: str
    body: str
    repeatable: bool
    reserved: int
    intended_at: float


class TextAppended(NamedTuple):
    """Output of a running model call that may be sent to the caller."""

    program: str
    number: int
    offset: int
    text: str


class CallEnded(NamedTuple):
    """The outcome of a call; ``ran`` is ``yes``, ``no`` or ``unknown``."""

    program: str
    number: int
    attempt: int
    status: str
    ran: str
    text: str
    actions: tuple[Action, ...]
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    ended_at: float


class ChildStarted(NamedTuple):
    """A sub-agent is started with a fraction of the budget of its parent.

    Appended together with the first record of the sub-agent.  If only this record
    survives a takeover, the sub-agent is started from it.
    """

    program: str
    child: str
    position: int
    budget: int


class ChildEnded(NamedTuple):
    """A sub-agent has ended; its unused budget is returned to its parent."""

    program: str
    child: str
    answer: str
    spent: int


class ProgramEnded(NamedTuple):
    """The last record of a program."""

    program: str
    status: str
    answer: str
    detail: str
    ended_at: float


Record = (
    ProgramStarted
    | CallIntended
    | TextAppended
    | CallEnded
    | ChildStarted
    | ChildEnded
    | ProgramEnded
)

_RECORD_TYPES: Final[tuple[type[Record], ...]] = (
    ProgramStarted,
    CallIntended,
    TextAppended,
    CallEnded,
    ChildStarted,
    ChildEnded,
    ProgramEnded,
)
_DECODERS: Final = tuple(msgspec.msgpack.Decoder(t) for t in _RECORD_TYPES)
_CODES: Final = {t: code for code, t in enumerate(_RECORD_TYPES)}


def encode_record(record: Record) -> bytes:
    """Encode a record as one type byte followed by MessagePack."""
    code = _CODES[type(record)]
    return bytes([code]) + msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode the output of `encode_record`.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a record, which means that the log is corrupt.
    """
    return _DECODERS[data[0]].decode(data[1:])
