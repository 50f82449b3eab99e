"""Messages between relays and keepers of the ledger, and among keepers.

Each request contains the number of the view under which it was sent.  Any message may
be lost, duplicated or delayed: requests are idempotent and are repeated until enough
replicas have replied.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import Final, NamedTuple

import msgspec

from .crashwire import CrashReport, CrashUpdate
from .ledger import Attempt, Entry, Turn
from .membership import View
from .quota import Permit

# Id of capacity steps that no keeper has decided yet.
UNKNOWN_WEIGHTS: Final = -1


class ReplyStatus(IntEnum):
    """Result of a request at a replica."""

    DONE = 0
    # The request has an older view than the replica; the reply has the newer view.
    STALE_VIEW = 1
    # The replica does not know the view yet, or cannot write.
    UNAVAILABLE = 2
    # There is no room for the turn that the request reserves room for.
    FULL = 3


class Room(msgspec.Struct, frozen=True, array_like=True):
    """Room to reserve for a turn that is about to run.

    Attributes
    ----------
    size : int
        Bytes of the turn, of which the output is estimated.
    duration_ms : int
        Milliseconds in which the turn ends.
    is_first : bool
        Whether it is the first turn of its chain.
    """

    size: int
    duration_ms: int
    is_first: bool


class Write(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sync records of a program; the reply has all known attempts.

    Attributes
    ----------
    last_turn_id : str
        Id of the turn whose chain is requested as well; empty for none.
    with_turns : bool
        Whether to return the turns of the chain, or only whether it is stored.
    room : Room or None
        Room to reserve, with a reservation of tokens; None if no turn will be stored.
    """

    op: int
    view: int
    entry: Entry
    last_turn_id: str = ""
    with_turns: bool = False
    room: Room | None = None


class FindChain(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Request a chain that no replica of the program's own slot has.

    A program may continue from a turn of an earlier program, which has another slot.
    """

    op: int
    view: int
    last_turn_id: str
    with_turns: bool = False


class FanOutWrite(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Write that the receiver applies and forwards to other replicas.

    A relay with a slow link sends a turn once instead of once per replica; the links of
    keepers are many times as fast.  Every replica replies directly to the relay.

    Attributes
    ----------
    forward_to : list of str
        Addresses of the replicas that the receiver forwards the write to.
    reply_to : str
        Member id of the process to reply to; empty for the sender.
    """

    write: Write
    forward_to: list[str] = []
    reply_to: str = ""


class WriteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to `Write` and `FindChain`.

    Attributes
    ----------
    disk : str
        Id of the disk of the replica.
    has_chain : bool
        Whether the replica stores the last turn of the chain.
    turns : list of Turn
        The stored part of the chain, oldest turn first, if requested.
    chain_program : str
        Program that the chain belongs to.
    is_only_send : bool
        Whether the replica knows of no other attempt of the request that a reservation
        names; older builds do not tell.
    """

    op: int
    disk: str
    status: ReplyStatus
    attempts: dict[str, Attempt] = {}
    has_chain: bool = False
    turns: list[Turn] = []
    chain_program: str = ""
    view: View | None = None
    is_only_send: bool = False


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Heartbeat between keepers.

    Attributes
    ----------
    view : View or None
        View of the sender; None if the receiver has reported that it has this view.
    revision : int
        Revision of the store at which it was written, for the next proposal.
    stopping : bool
        Whether the sender is about to stop; this is its last heartbeat.
    view_version : tuple of int
        Number of the sender's view, and how many of its members have copied.
    """

    disk: str
    view: View | None
    revision: int
    stopping: bool = False
    view_version: tuple[int, int] = (0, 0)


class CopyRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request the accounts of some slots from an old replica, in chunks.

    Attributes
    ----------
    after : str
        The last program of the previous chunk; empty for the first chunk.
    """

    op: int
    view: int
    slots: list[int]
    after: str = ""


class CopyReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reply to `CopyRequest`; `is_last` is set on the last chunk."""

    op: int
    disk: str
    status: ReplyStatus
    entries: list[Entry] = []
    is_last: bool = False


class Document(msgspec.Struct, frozen=True, array_like=True):
    """Value of a key of the platform store at a revision."""

    key: str
    revision: int
    value: bytes


class DocumentsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Request the newest known documents of the platform store from a keeper."""


class DocumentsReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Reply to `DocumentsRequest`.

    Attributes
    ----------
    revision : int
        Revision of the store at which the documents are complete; 0 if the keeper has
        received nothing from the store since its start.
    """

    documents: list[Document]
    revision: int = 0


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Change of a key in the platform store; the value is None if it was removed."""

    key: str
    revision: int
    value: bytes | None


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Subscribe to changes of the platform store at a keeper, for some seconds.

    Attributes
    ----------
    with_values : bool
        Whether to send the changes themselves, or only their revisions.
    stamp_ms : int
        Time on the subscriber's clock, which updates return to it; 0 for none.
    """

    with_values: bool
    stamp_ms: int = 0


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Latest changes of the platform store, from a keeper that watches it.

    Attributes
    ----------
    base, revision : int
        The changes are complete from after revision `base` up to `revision`.
    changes : list of Change or None
        None if there are changes that this message does not contain.
    store_reachable : bool
        False if the store does not answer; the other fields are then unchanged.
    age_ms : int
        Milliseconds since the store was in this state at the latest, when this was
        made.
    stamp_ms, held_ms : int
        Last stamp of the subscriber, and milliseconds between its arrival and this
        update; a stamp of 0 for none.
    """

    base: int
    revision: int
    changes: list[Change] | None = []
    store_reachable: bool = True
    age_ms: int = 0
    stamp_ms: int = 0
    held_ms: int = 0


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Request a permit for one request from a holder of a customer's quota.

    It may be lost or duplicated; a duplicate consumes a permit that is never used.

    Attributes
    ----------
    program : str
        Program that the request belongs to; empty for a request without a program.
    kind : str
        Kind of the program if this may be its first request; else empty.
    allow_delayed : bool
        Whether a permit that becomes valid slightly later is accepted.
    """

    op: int
    customer: str
    program: str
    kind: str = ""
    allow_delayed: bool = False


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Reply to `PermitRequest`."""

    op: int
    permit: Permit


class ServerObservation(msgspec.Struct, frozen=True, array_like=True):
    """What one relay has observed of a server.

    All numbers are integers, so NaN and infinity cannot be decoded.  Receivers clip the
    numbers.

    Attributes
    ----------
    server : int
        Key of the server's incarnation, a hash of 32 bits.
    in_flight : int
        Requests that the relay has at the server.
    token_units : int
        Tokens of their prompts and maximum outputs, in units of 2,048.
    failures, successes : int
        Requests of the last second that failed and that succeeded.
    silent : int
        Requests in flight that have been silent for longer than usual.
    pace : int
        Time per generated token in units of 10 us; 0 if unknown or not reported now.
    """

    server: int
    in_flight: int
    token_units: int
    failures: int = 0
    successes: int = 0
    silent: int = 0
    pace: int = 0


class ServerLoad(NamedTuple):
    """Sum of the load of some relays on a server.

    Packed into 7 bytes, as these entries make up most of the traffic.  As an array of
    MessagePack they took 10 bytes, and the budget of a link was too small to send 690
    of them again before they expired.

    Attributes
    ----------
    in_flight, token_units : int
        Requests, and tokens in units of 2,048; at most 255.
    age : int
        Age of the oldest part of the sum, in units of 20 ms; at most 255.
    """

    server: int
    in_flight: int
    token_units: int
    age: int = 0


class ServerHealth(msgspec.Struct, frozen=True, array_like=True):
    """Failures of a server, as observed by some relays.

    Attributes
    ----------
    witnesses : int
        Relays that observe failures or silence; a relay with several such requests
        counts twice.
    age : int
        Age of the oldest part of the sums, in units of 20 ms.
    """

    server: int
    failures: int
    successes: int
    silent: int
    witnesses: int
    age: int = 0


class ServerPace(msgspec.Struct, frozen=True, array_like=True):
    """Median pace of a server among some relays, in units of 10 us per token."""

    server: int
    pace: int
    relays: int


class ServerWeight(msgspec.Struct, frozen=True, array_like=True):
    """Capacity step of a server; servers at step 0 are omitted."""

    server: int
    step: int


class Weights(msgspec.Struct, frozen=True, array_like=True):
    """Capacity steps of all servers.

    Attributes
    ----------
    id : int
        Hash of the steps; `UNKNOWN_WEIGHTS` if the sender has none.
    steps : list of ServerWeight or None
        None if the receiver has reported that it holds these.
    """

    id: int = UNKNOWN_WEIGHTS
    steps: list[ServerWeight] | None = None


class PictureBlock(msgspec.Struct, frozen=True, array_like=True):
    """Entries that a keeper selected at one time.

    Attributes
    ----------
    loads : bytes
        Packed entries; see `pack_loads`.
    """

    loads: bytes = b""
    healths: list[ServerHealth] = []


class LinkTiming(msgspec.Struct, frozen=True, array_like=True):
    """Order and age of a message on one link, independent of the clocks of both ends.

    Attributes
    ----------
    stamp : int
        Clock of the sender in ms, which the receiver returns.  It increases with each
        message on the link.
    echo : int
        Newest stamp received from the receiver of this message; -1 if there is none.
    held_ms : int
        Milliseconds between receiving that stamp and sending this message.
    """

    stamp: int
    echo: int = -1
    held_ms: int = 0


class RelayDigest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """What a relay has observed of servers, to a keeper, which replies to it.

    Attributes
    ----------
    weights : int
        Id of the capacity steps that the relay uses.
    """

    timing: LinkTiming
    observations: list[ServerObservation] = []
    weights: int = UNKNOWN_WEIGHTS


class PictureUpdate(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Merged picture of the servers; reply to `RelayDigest`.

    Attributes
    ----------
    included : list of int
        For each block, the stamp of the relay's newest digest that its sums include.
    ages_ms : list of int
        Age of each block.
    blocks : list of PictureBlock
        Blocks since the last reply, oldest first.
    """

    timing: LinkTiming
    included: list[int] = []
    ages_ms: list[int] = []
    blocks: list[PictureBlock] = []
    weights: Weights = Weights()


class DomainSums(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Sums over the relays that report to one keeper, to another such keeper.

    Attributes
    ----------
    best_rank : int
        Lowest rank among the sender and the keepers that it hears directly.
    """

    timing: LinkTiming
    best_rank: int
    ages_ms: list[int] = []
    blocks: list[PictureBlock] = []
    paces: list[ServerPace] = []
    weights: Weights = Weights()


class LastUseQuestion(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Question of a replica to another one: when it used some accounts last."""

    op: int
    view: int
    programs: list[str]


class LastUseReply(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Reply to `LastUseQuestion`.

    Attributes
    ----------
    ages_ms : list of int
        Milliseconds since the last use of each account, -1 for one that is not stored,
        -2 if the time is unknown; empty if the replica has another view.
    """

    op: int
    disk: str
    ages_ms: list[int] = []


LedgerMessage = (
    Write
    | FanOutWrite
    | FindChain
    | WriteReply
    | Ping
    | CopyRequest
    | CopyReply
    | DocumentsRequest
    | DocumentsReply
    | Subscribe
    | StoreUpdate
    | PermitRequest
    | PermitReply
    | RelayDigest
    | PictureUpdate
    | DomainSums
    | CrashReport
    | CrashUpdate
    | LastUseQuestion
    | LastUseReply
)

_LOAD_FORMAT: Final = struct.Struct("<IBBB")
LOAD_BYTES: Final = _LOAD_FORMAT.size
MAX_PACKED: Final = 255
MAX_PACKED_SERVER: Final = 0xFFFFFFFF

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(LedgerMessage)


def encode_ledger(message: LedgerMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_ledger(data: bytes) -> LedgerMessage:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError
        If the data is not a valid message.
    """
    return _DECODER.decode(data)


def pack_loads(loads: Iterable[ServerLoad]) -> bytes:
    """Pack entries; numbers above the limit are reported as the limit."""
    return b"".join(
        _LOAD_FORMAT.pack(
            load.server & MAX_PACKED_SERVER,
            max(0, min(MAX_PACKED, load.in_flight)),
            max(0, min(MAX_PACKED, load.token_units)),
            max(0, min(MAX_PACKED, load.age)),
        )
        for load in loads
    )


def unpack_loads(data: bytes) -> list[ServerLoad]:
    """Unpack entries; an incomplete one at the end is ignored."""
    whole = len(data) - len(data) % LOAD_BYTES
    return [ServerLoad(*entry) for entry in _LOAD_FORMAT.iter_unpack(data[:whole])]
