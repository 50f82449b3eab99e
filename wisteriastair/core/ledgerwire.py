"""Messages between relays and keepers of the ledger, and among keepers.

Each request names the view under which it was sent.  Every message may be lost, doubled
or late: requests are idempotent and are sent again until enough replicas have answered.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final

import msgspec

from .ledger import Attempt, Entry, Turn
from .membership import View
from .quota import Permit


class ReplyStatus(IntEnum):
    """How a replica takes a request."""

    DONE = 0
    # The request names an older view than the replica knows; its view comes along.
    STALE_VIEW = 1
    # The replica does not know the view yet, or cannot write.
    UNAVAILABLE = 2


class Write(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sync records of a program, then answer with what is known of it.

    Attributes
    ----------
    chain : str
        A turn whose chain is wanted as well; empty for none.
    with_turns : bool
        Whether the turns themselves are wanted, or only whether they are there.
    """

    op: int
    view: int
    entry: Entry
    chain: str = ""
    with_turns: bool = False


class FindChain(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Ask for a chain that no replica of the program's own slot knows.

    Programs may continue from turns of earlier programs, which lie in other slots.
    """

    op: int
    view: int
    chain: str
    with_turns: bool = False


class FanOutWrite(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Write to several replicas, of which one passes the write on to the others.

    A relay with a slow link sends a kept turn once instead of to each replica; keepers
    have links many times as fast.  Every replica answers the relay itself.

    Attributes
    ----------
    others : list of str
        Addresses of the replicas that the receiver is to pass the write on to.
    origin : str
        Member id of who is to be answered; empty where that is the sender.
    """

    write: Write
    others: list[str] = []
    origin: str = ""


class WriteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to `Write` and `FindChain`.

    Attributes
    ----------
    disk : str
        The disk that holds the records.
    has_chain : bool
        Whether the last turn of the chain is here.
    turns : list of Turn
        The chain as far back as it is here, the oldest turn first, if asked for.
    chain_program : str
        Program that the chain belongs to.
    """

    op: int
    disk: str
    status: ReplyStatus
    attempts: dict[str, Attempt] = {}
    has_chain: bool = False
    turns: list[Turn] = []
    chain_program: str = ""
    view: View | None = None


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Heartbeat between keepers.

    Attributes
    ----------
    view : View or None
        The sender's view; None if the receiver has shown that it knows it.
    revision : int
        Revision of the store at which it was written, for the next proposal.
    stopping : bool
        The sender was told to stop; this is its last heartbeat.
    known : tuple of int
        Number of the sender's view, and how many of its members have copied.
    """

    disk: str
    view: View | None
    revision: int
    stopping: bool = False
    known: tuple[int, int] = (0, 0)


class Copy(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Ask an old replica for the accounts of slots, a part at a time.

    Attributes
    ----------
    after : str
        The last program of the part before; empty for the first part.
    """

    op: int
    view: int
    slots: list[int]
    after: str = ""


class CopyReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answer to `Copy`; `last` is set on the last part."""

    op: int
    disk: str
    status: ReplyStatus
    entries: list[Entry] = []
    last: bool = False


class Document(msgspec.Struct, frozen=True, array_like=True):
    """A key of the platform's store as of a revision."""

    key: str
    revision: int
    value: bytes


class DocumentsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Ask a keeper for the newest documents of the store that it knows."""


class DocumentsReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answer to `DocumentsRequest`.

    Attributes
    ----------
    revision : int
        The documents are all that there are as of this revision of the store; 0 if the
        keeper has not heard from the store since its start.
    """

    documents: list[Document]
    revision: int = 0


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change of a key in the platform's store; no value if it was removed."""

    key: str
    revision: int
    value: bytes | None


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Ask a keeper for the changes of the platform's store, for some seconds.

    Attributes
    ----------
    with_values : bool
        Whether the changes themselves are wanted, or only their revisions.
    """

    with_values: bool


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """What a keeper that watches the platform's store has just heard from it.

    Attributes
    ----------
    base, revision : int
        The changes are all that came after `base`, up to `revision`.
    changes : list of Change or None
        None if there are some and they are not enclosed.
    store_reachable : bool
        False if the store does not answer; the rest is then as it was before.
    """

    base: int
    revision: int
    changes: list[Change] | None = []
    store_reachable: bool = True


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Ask a holder of a customer's quota for a permit for one request.

    It may be lost or doubled; a doubled one takes a permit that nobody uses.

    Attributes
    ----------
    program : str
        What the request belongs to; empty for a request by itself.
    kind : str
        Kind of the program if this may be its first request; else empty.
    allow_delayed : bool
        Whether a permit that counts a little later will do.
    """

    op: int
    customer: str
    program: str
    kind: str = ""
    allow_delayed: bool = False


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answer to `PermitRequest`."""

    op: int
    permit: Permit


LedgerMessage = (
    Write
    | FanOutWrite
    | FindChain
    | WriteReply
    | Ping
    | Copy
    | CopyReply
    | DocumentsRequest
    | DocumentsReply
    | Subscribe
    | StoreUpdate
    | PermitRequest
    | PermitReply
)

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
        If it is not one.
    """
    return _DECODER.decode(data)
