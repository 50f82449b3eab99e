"""The entry: forwards requests of callers to primaries.

An entry has no durable state.  It has the slot table and repeats each pending request
to the primary of the slot, and after a takeover to the new primary.  Start and attach
are idempotent, so repeating them is safe.  A request contains the position up to which
the caller has received the output, so the caller receives nothing twice or out of
order, even if messages are lost or reordered.

A request that the entry gives up gets a final answer: whether it may have run, and
when to retry.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ..errors import Code, Failure
from .config import CONFIG_KEY, EMPTY_CONFIG, Config, decode_config
from .docs import Docs
from .events import Effect, Instance, KvValue, KvWritten, Send
from .hashing import address_of, program_id, slot_of
from .placement import SEGMENT_PREFIX, Placement
from .wire import (
    DocPull,
    DocPush,
    Heartbeat,
    ListPrograms,
    Message,
    NotPrimary,
    ProgramAttach,
    ProgramCancel,
    ProgramList,
    ProgramOutcome,
    ProgramPending,
    ProgramRow,
    ProgramStart,
    ProgramText,
)

REPEAT_INTERVAL_S: Final = 1.0
RENEWAL_INTERVAL_S: Final = 3.0
DEFAULT_PATIENCE_S: Final = 20.0
LISTING_TIMEOUT_S: Final = 0.7
RETRY_AFTER_S: Final = 2.0


class EntryOptions(NamedTuple):
    """Settings of the core of an entry."""

    member: str
    domain: str
    slots: int = 64
    segments: int = 4
    patience_s: float = DEFAULT_PATIENCE_S


class RequestSpec(NamedTuple):
    """The content of a request of a caller.

    Attributes
    ----------
    kind : str
        ``start``, ``attach`` or ``cancel``.
    key, program : str
        The idempotency key of a start, or the id of an existing program.
    number, offset : int
        Position in the output from which to send.
    """

    kind: str
    customer: str
    key: str = ""
    program: str = ""
    service: str = ""
    prompt: str = ""
    budget: int = 0
    stream: bool = False
    operation: str = ""
    repeatable: bool = False
    number: int = 0
    offset: int = 0
    trace: str = ""


class OutputText(NamedTuple):
    """Output for the caller."""

    number: int
    offset: int
    text: str


class Accepted(NamedTuple):
    """The program has been accepted and is running."""

    program: str


class Done(NamedTuple):
    """The program has ended; the last event of a request."""

    outcome: ProgramOutcome


class Refused(NamedTuple):
    """The request was given up or refused; the last event of a request."""

    program: str
    failure: Failure


class ProgramRows(NamedTuple):
    """The operators' listing of programs; the last event of a request.

    ``missing`` counts primaries that did not answer in time.
    """

    rows: tuple[ProgramRow, ...]
    missing: int


CallerEvent = OutputText | Accepted | Done | Refused | ProgramRows


class DeliverToCaller(NamedTuple):
    """Deliver an event to the caller of a request."""

    request: str
    event: CallerEvent


class _Request:
    """State of a pending request of a caller."""

    def __init__(self, spec: RequestSpec, program: str, slot: int, now: float) -> None:
        self.spec = spec
        self.program = program
        self.slot = slot
        self.number = spec.number
        self.offset = spec.offset
        self.accepted = False
        self.sent = False
        self.last_heard_at = now
        self.repeat_at = now
        self.primary = ""


class _Listing:
    """State of a listing of programs while replies are pending."""

    def __init__(self, pending_replies: int, deadline: float) -> None:
        self.pending_replies = pending_replies
        self.deadline = deadline
        self.rows: list[ProgramRow] = []


class EntryCore:
    """The state machine of an entry."""

    def __init__(self, cfg: EntryOptions) -> None:
        self.config: Config = EMPTY_CONFIG
        self.revision = 0
        self.docs = Docs(address_of(cfg.member))
        self.placement = Placement(cfg.member, cfg.slots, cfg.segments)
        self.instances: tuple[Instance, ...] = ()
        self._cfg = cfg
        self._requests: dict[str, _Request] = {}
        self._listings: dict[str, _Listing] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an outcome."""
        return len(self._requests)

    # Callers

    def submit(
        self, request: str, spec: RequestSpec, now: float
    ) -> list[Effect | DeliverToCaller]:
        """Accept a request of a caller and send it to the primary."""
        program = spec.program or program_id(spec.customer, spec.key)
        slot = slot_of(program, self._cfg.slots)
        self._requests[request] = _Request(spec, program, slot, now)
        return self._send_request(request, now)

    def drop_request(self, request: str) -> None:
        """Drop a request whose caller has disconnected; its program continues."""
        self._requests.pop(request, None)

    def list_programs(
        self, request: str, customer: str, limit: int, now: float
    ) -> list[Effect | DeliverToCaller]:
        """Request the programs of all primaries."""
        sides = sorted(
            {address_of(row.primary) for row in self.placement.rows.values()}
        )
        if not sides:
            return [DeliverToCaller(request, ProgramRows((), 0))]
        self._listings[request] = _Listing(len(sides), now + LISTING_TIMEOUT_S)
        query = ListPrograms(request, customer, limit)
        return [Send(side, query) for side in sides]

    def _send_request(self, request: str, now: float) -> list[Effect | DeliverToCaller]:
        """Send a request to the primary of its slot, if the slot is placed."""
        state = self._requests[request]
        state.repeat_at = now + (
            RENEWAL_INTERVAL_S if state.accepted else REPEAT_INTERVAL_S
        )
        row = self.placement.rows.get(state.slot)
        if row is None:
            return []
        state.primary = row.primary
        state.sent = True
        return [Send(row.primary, self._message(request, state))]

    def _message(self, request: str, state: _Request) -> Message:
        spec = state.spec
        if spec.kind == "cancel":
            return ProgramCancel(request, state.slot, state.program, spec.customer)
        if spec.kind == "start" and not state.accepted:
            return ProgramStart(
                request,
                state.slot,
                state.program,
                spec.service,
                spec.customer,
                spec.prompt,
                spec.budget,
                spec.stream,
                spec.operation,
                spec.repeatable,
                spec.trace,
            )
        return ProgramAttach(
            request,
            state.slot,
            state.program,
            spec.customer,
            state.number,
            state.offset,
            spec.stream,
        )

    # Peers

    def receive(
        self, sender: str, message: Message, now: float
    ) -> list[Effect | DeliverToCaller]:
        """Handle a message from another process."""
        match message:
            case ProgramText():
                return self._on_text(message, now)
            case ProgramPending(request, program):
                return self._on_pending(request, program, now)
            case ProgramOutcome():
                return self._on_outcome(message)
            case NotPrimary(request, _):
                return self._on_not_primary(sender, request, now)
            case ProgramList(request, rows):
                return self._on_rows(request, rows)
            case DocPush(key, revision, value):
                return self.accept_doc(key, revision, value)
            case DocPull():
                effects: list[Effect | DeliverToCaller] = []
                effects += self.docs.on_pull(sender, message)
                effects += self.docs.pull_if_older(sender, message.revisions)
                return effects
            case Heartbeat(reply=True):
                heartbeat = Heartbeat(
                    self._cfg.domain, False, 0, 0, self.docs.revisions(), False
                )
                return [Send(sender, heartbeat)]
            case _:
                return []

    def _on_text(
        self, message: ProgramText, now: float
    ) -> list[Effect | DeliverToCaller]:
        """Deliver output that the caller does not have yet; drop late output."""
        state = self._requests.get(message.request)
        if state is None or state.program != message.program:
            return []
        state.last_heard_at = now
        if message.number < state.number:
            return []
        received_chars = state.offset if message.number == state.number else 0
        if message.offset > received_chars:
            # Earlier output was lost; a repeated request gets it from this position.
            return self._send_request(message.request, now)
        new = message.text[received_chars - message.offset :]
        if not new:
            return []
        state.number = message.number
        state.offset = received_chars + len(new)
        return [
            DeliverToCaller(
                message.request, OutputText(message.number, received_chars, new)
            )
        ]

    def _on_pending(
        self, request: str, program: str, now: float
    ) -> list[Effect | DeliverToCaller]:
        state = self._requests.get(request)
        if state is None:
            return []
        state.last_heard_at = now
        if state.accepted:
            return []
        state.accepted = True
        return [DeliverToCaller(request, Accepted(program))]

    def _on_outcome(self, outcome: ProgramOutcome) -> list[Effect | DeliverToCaller]:
        state = self._requests.get(outcome.request)
        if state is None or state.program != outcome.program:
            return []
        del self._requests[outcome.request]
        return [DeliverToCaller(outcome.request, Done(outcome))]

    def _on_not_primary(
        self, sender: str, request: str, now: float
    ) -> list[Effect | DeliverToCaller]:
        """Pull the slot table from the sender and repeat the request soon."""
        state = self._requests.get(request)
        if state is not None:
            state.repeat_at = min(state.repeat_at, now + REPEAT_INTERVAL_S / 4)
        return [Send(sender, DocPull(self.docs.revisions()))]

    def _on_rows(
        self, request: str, rows: tuple[ProgramRow, ...]
    ) -> list[Effect | DeliverToCaller]:
        listing = self._listings.get(request)
        if listing is None:
            return []
        listing.rows += rows
        listing.pending_replies -= 1
        return self._end_listing(request) if listing.pending_replies == 0 else []

    def _end_listing(self, request: str) -> list[Effect | DeliverToCaller]:
        listing = self._listings.pop(request)
        rows = tuple(sorted(listing.rows))
        return [DeliverToCaller(request, ProgramRows(rows, listing.pending_replies))]

    # Documents

    def set_instances(self, instances: tuple[Instance, ...]) -> list[Effect]:
        """Store the instance list."""
        self.instances = instances
        return self.docs.set_instances(instances)

    def on_kv(self, event: KvValue | KvWritten) -> list[Effect | DeliverToCaller]:
        """Store a document that this entry read or wrote itself."""
        return self.accept_doc(event.key, event.revision, event.value)

    def accept_doc(
        self, key: str, revision: int, value: bytes
    ) -> list[Effect | DeliverToCaller]:
        """Store and push a document if it is newer than the stored one."""
        if not self.docs.store_if_newer(key, revision, value):
            return []
        effects: list[Effect | DeliverToCaller] = [*self.docs.push(key)]
        if key == CONFIG_KEY:
            self.config = decode_config(value)
            self.revision = revision
        elif key.startswith(SEGMENT_PREFIX):
            moved = {row.slot for row in self.placement.apply_segment(value)}
            for state in self._requests.values():
                if state.slot in moved:
                    state.repeat_at = 0.0
        return effects

    # Time

    def tick(self, now: float) -> list[Effect | DeliverToCaller]:
        """Repeat pending requests and give up those that have timed out."""
        effects: list[Effect | DeliverToCaller] = [*self.docs.tick(now)]
        for request in list(self._requests):
            state = self._requests[request]
            if now - state.last_heard_at > self._cfg.patience_s:
                effects.append(self._give_up(request))
            elif now >= state.repeat_at:
                effects += self._send_request(request, now)
        for request in list(self._listings):
            if now >= self._listings[request].deadline:
                effects += self._end_listing(request)
        return effects

    def _give_up(self, request: str) -> DeliverToCaller:
        state = self._requests.pop(request)
        if not state.sent:
            detail = "no process carries this slot now"
            failure = Failure(Code.NO_PRIMARY, detail, "no", RETRY_AFTER_S)
        else:
            detail = "no answer from the carrier; ask again with the same key"
            failure = Failure(Code.TIMED_OUT, detail, "unknown", RETRY_AFTER_S)
        return DeliverToCaller(request, Refused(state.program, failure))
