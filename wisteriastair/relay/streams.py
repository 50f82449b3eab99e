"""Streamed turns: reserve tokens, send the request, forward events, settle.

The end of the response is delayed until the turn is durable on enough disks: a caller
that has seen the end may continue from this turn at once, on any relay.  The events
alone do not guarantee that the turn is durable.  A stream that fails ends without its
last chunk, and is settled with the tokens of the events that were sent.

A turn that has run waits for keepers until its deadline.  Giving up sooner would not
help its caller: a new attempt needs the same keepers for its reservation, and another
run.
"""

from __future__ import annotations

import math
import secrets
from functools import partial
from typing import Final

import anyio

from ..core.ledger import Turn
from ..core.ledgerwire import Room
from ..errors import Code, Failure
from ..http1.messages import ResponseHead
from ..http1.server import ExchangeOutcome
from ..platform.headers import forwarded_headers, has_server_stamp, response_headers
from ..scheduling.fleet import ServerState
from ..scheduling.outputsize import OutputSizes
from .answers import is_server_error, is_success, send_failure
from .chains import ChainCache
from .crashlog import Risk
from .dispatch import (
    SUCCESS_STATUSES,
    Dispatcher,
    NotRun,
    OutcomeUnknown,
    ResponseStarted,
    incomplete_risk,
    read_body,
)
from .engine_order import EngineOrder
from .events import MAX_EVENT_BYTES, EventSplitter
from .job import Job
from .ledger import (
    BudgetExceeded,
    LedgerClient,
    QuorumUnavailable,
    Reservation,
    TurnNotFound,
)
from .plain import (
    MAX_REFUSALS,
    MAX_RESPONSE_BYTES,
    NOT_RUN_STATUSES,
    RETRY_AFTER_S,
    UNACCOUNTED_DETAIL,
)
from .questions import Granted

# Longest wait for a reservation; after it the caller is told to retry later.
RESERVE_TIMEOUT_S: Final = 0.6
# Time beyond the deadline of a turn for which its room is reserved: keepers receive the
# turn and the reservation at different times.
ROOM_MARGIN_S: Final = 1.0
# Delay before a retry if keepers have no room: room becomes free as programs expire.
FULL_RETRY_AFTER_S: Final = 1.0
# Maximum size of the data of a turn that is kept for the next ones.
MAX_TURN_BYTES: Final = 32 * 1024 * 1024
# Number of times that one stream may be resumed.
MAX_RESUMES: Final = 2
MS_PER_S: Final = 1000.0
# Enough that no two attempts of a program have the same number.
SEND_NUMBER_BITS: Final = 48


class StreamRelay:
    """Answers requests on streamed routes.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends requests to servers.
    ledger : LedgerClient
        Stores budgets and turns.
    chains : ChainCache
        Cache of earlier turns.
    order : EngineOrder or None
        Priority of turns at engines and memory of these; None to ignore both.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        ledger: LedgerClient,
        chains: ChainCache,
        order: EngineOrder | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._chains = chains
        self._order = order or EngineOrder(dispatcher.fleet)
        self._output_sizes = OutputSizes()

    async def run(self, job: Job) -> None:
        """Answer one request."""
        reservation = _make_reservation(job, self._output_sizes)
        turn = _TurnState(job, reservation)
        failure: Failure | None = Failure(
            Code.TIMED_OUT, "no answer in time", "unknown"
        )
        try:
            with anyio.move_on_after(max(0.0, job.remaining_s())):
                failure = await self._run(turn)
            if turn.is_answered:
                failure = await self._end_response(turn)
        finally:
            self._order.finish(job, is_answered=turn.is_answered)
            if turn.reserved and not turn.settled and reservation is not None:
                self._ledger.settle_in_background(
                    reservation, turn.sent_tokens(), was_sent=job.places.was_sent
                )
        if failure is None:
            return
        job.reason = job.reason or failure.detail
        job.failure = failure
        if turn.response_started:
            return
        if failure.code is Code.TIMED_OUT and not job.was_sent:
            failure = Failure(Code.TOO_LATE, "no time left", "no", RETRY_AFTER_S)
        job.status = send_failure(job.caller_conn, job.caller_req.id, failure)

    async def _run(self, turn: _TurnState) -> Failure | None:
        failure = await self._reserve(turn)
        if failure is None:
            failure = await turn.job.quota_check.wait_for_permit(turn.job.admitted_at)
        if failure is not None:
            return failure
        return await self._serve(turn)

    # Ledger

    async def _reserve(self, turn: _TurnState) -> Failure | None:
        job, reservation = turn.job, turn.reservation
        if reservation is None:
            return None
        job.places.is_reserved = True
        cached = self._chains.get(reservation.program, reservation.previous_id)
        if cached is not None:
            reservation = reservation._replace(previous_id="")
        turn.reserved = True
        deadline = min(job.deadline, job.admitted_at + RESERVE_TIMEOUT_S)
        outcome = await self._ledger.reserve(reservation, deadline)
        job.ledger_s = job.elapsed_s()
        match outcome:
            case Granted(chain, chain_program, is_only_send):
                job.places.has_free_place = is_only_send
                turn.history = cached or b"".join(earlier.content for earlier in chain)
                turn.foreign_chain = (
                    () if chain_program == reservation.program else chain
                )
                return None
            case BudgetExceeded(reserved):
                turn.settled = True
                detail = f"{reserved} of {reservation.budget} tokens are taken"
                return Failure(Code.BUDGET_SPENT, detail)
            case TurnNotFound():
                turn.settled = True
                return Failure(
                    Code.UNKNOWN_TURN, f"no turn {job.caller_req.previous_id}"
                )
            case QuorumUnavailable(is_full=True):
                turn.settled = True
                detail = "keepers have no room for the turn"
                return Failure(Code.LEDGER_FULL, detail, "no", FULL_RETRY_AFTER_S)
            case QuorumUnavailable(answered, required, view):
                turn.settled = True
                detail = f"{answered} of {required} replicas answered in view {view}"
                return Failure(Code.LEDGER_UNREACHABLE, detail, "no", RETRY_AFTER_S)

    async def _end_response(self, turn: _TurnState) -> Failure | None:
        """Send the end of a complete response once the turn is durable."""
        self._order.finish(turn.job, is_answered=True)
        failure = await self._settle(turn)
        if failure is None:
            turn.job.caller_conn.end()
            turn.job.status = turn.status
        return failure

    async def _settle(self, turn: _TurnState) -> Failure | None:
        """Make a complete turn durable."""
        job, reservation = turn.job, turn.reservation
        if reservation is None:
            return None
        if not job.route.retains_history:
            turn.settled = True
            self._ledger.settle_in_background(reservation, turn.sent_tokens())
            return None
        output = bytes(turn.events.content)
        self._output_sizes.record(job.route.name, len(output), turn.sent_tokens())
        content = job.req.body + output
        record = Turn(job.turn_id, reservation.previous_id, content)
        turns = (*turn.foreign_chain, record)
        if not await self._ledger.settle(
            reservation, turn.sent_tokens(), turns, job.deadline
        ):
            return Failure(Code.LEDGER_UNREACHABLE, "the turn could not be kept", "yes")
        turn.settled = True
        self._chains.put(reservation.program, job.turn_id, turn.history + content)
        return None

    # Servers

    async def _serve(self, turn: _TurnState) -> Failure | None:
        job = turn.job
        excluded: set[str] = set()
        full: frozenset[str] = frozenset()
        # Servers that may have run the request; those that are gone do not count.
        run_on: set[str] = set()
        resume_count = 0
        resume_on: ServerState | None = None
        may_retry = True
        while True:
            refusal = self._dispatcher.crashes.refusal(job)
            if refusal is not None:
                if turn.response_started or resume_count:
                    return Failure(Code.SERVER_LOST, refusal.detail, "unknown")
                return refusal
            body = turn.history + job.req.body
            state = resume_on or await self._dispatcher.find_server(
                job,
                frozenset(excluded) | full,
                parts=job.caller_req.parts,
                memory_tokens=job.engine.memory_tokens if job.engine else 0,
                body_bytes=len(body),
                output_tokens=job.caller_req.output_tokens,
            )
            resume_on = None
            if state is None or len(excluded) >= MAX_REFUSALS or not may_retry:
                if turn.response_started or resume_count:
                    return Failure(Code.SERVER_LOST, job.reason, "unknown")
                detail = "no server has room" if excluded else "no server is there"
                if self._dispatcher.crashes.servers.is_confined(
                    job, has_tried=bool(excluded)
                ):
                    return Failure(
                        Code.NO_SERVER, UNACCOUNTED_DETAIL, "no", RETRY_AFTER_S
                    )
                if excluded:
                    delay_s = job.admission.retry_after_s()
                    return Failure(Code.SERVERS_FULL, detail, "no", delay_s)
                return Failure(Code.NO_SERVER, detail, "no", RETRY_AFTER_S)
            if len(run_on | {state.server.id}) > job.route.max_servers:
                return Failure(Code.SERVER_LOST, job.reason, "unknown")
            room = await self._order.take_room(job, state, excluded)
            if isinstance(room, Failure):
                if turn.response_started or resume_count:
                    return Failure(Code.SERVER_LOST, room.detail, "unknown")
                return room
            full = room
            if full:
                continue
            if job.memory_wait_s and not resume_count:
                # The permit may have become too old during the wait.
                refusal = await job.quota_check.renew_permit()
                if refusal is not None:
                    return refusal
            if not self._dispatcher.crashes.may_send(job, state):
                # Another attempt of the request was sent or failed during the wait.
                continue
            job.tried.append(state.server.id)
            job.predicted_ms = state.pace.predicted_ms
            headers = forwarded_headers(
                job.req,
                remaining_s=job.remaining_s(),
                server_id=state.server.id,
                body_bytes=len(body),
                engine_priority=self._order.priority(job),
                customer=job.customer_name,
                last_event_id=turn.events.last_id or None,
            )
            job.was_sent = True
            self._dispatcher.crashes.record_sent(job, state)
            async with self._dispatcher.send(
                state,
                job.req,
                job.caller_req.id,
                headers,
                body,
                may_write=partial(self._dispatcher.crashes.may_send, job, state),
                reserved_tokens=(
                    job.caller_req.prompt_tokens + job.caller_req.output_tokens
                ),
            ) as outcome:
                error = await self._forward_response(turn, outcome)
            if error is None:
                return None
            job.reason = error.reason
            if isinstance(error, NotRun):
                excluded.add(error.server)
                if error.is_gone:
                    run_on.discard(error.server)
                self._dispatcher.crashes.record_not_run(
                    job, state, was_read=error.was_read
                )
                job.was_sent = turn.response_started or resume_count > 0
                # A stream that has begun is not lost for the sake of the budget.
                may_retry = (
                    job.was_sent or not error.is_full or job.admission.take_retry()
                )
                continue
            run_on.add(error.server)
            if await self._dispatcher.crashes.record_failure(job, state, error.risk):
                run_on.discard(error.server)
            if not _can_resume(turn) or resume_count >= MAX_RESUMES:
                return Failure(Code.SERVER_LOST, error.reason, "unknown")
            # Prefer the same server: it has the prompt in its cache, and a run on
            # another one counts towards the maximum of servers per request.
            resume_count += 1
            resume_on = state if state.accepts_requests() else None
            if resume_on is None:
                excluded.add(error.server)

    async def _forward_response(
        self, turn: _TurnState, outcome: ResponseStarted | NotRun | OutcomeUnknown
    ) -> NotRun | OutcomeUnknown | None:
        """Forward a response; return None once its server has ended it."""
        if not isinstance(outcome, ResponseStarted):
            return outcome
        job = turn.job
        head = outcome.head
        server_id = outcome.state.server.id
        if head.status not in SUCCESS_STATUSES:
            return await self._forward_error(turn, outcome)
        if not has_server_stamp(head):
            reason = "a success without the server's stamp"
            return OutcomeUnknown(server_id, reason, Risk.SPOILED)
        error = await self._forward_events(turn, outcome)
        if error is not None:
            return error
        outcome.state.record_success(job.elapsed_s())
        self._dispatcher.crashes.record_answer(job)
        self._record_pace(turn, outcome)
        outcome.state.cached_segments.add(job.caller_req.parts)
        turn.status = head.status
        return None

    def _record_pace(self, turn: _TurnState, started: ResponseStarted) -> None:
        job, state, timer = turn.job, started.state, started.timer
        parts = job.caller_req.parts
        cached_tokens = state.cached_segments.cached_tokens(parts)
        state.pace.record_stream(
            timer,
            self._dispatcher.service_pace(job.service),
            job.now(),
            tokens_per_event=job.engine.tokens_per_event if job.engine else 1,
            missing_tokens=sum(part.tokens for part in parts) - cached_tokens,
        )

    async def _forward_error(
        self, turn: _TurnState, started: ResponseStarted
    ) -> NotRun | OutcomeUnknown | None:
        job = turn.job
        body = await read_body(started.exchange, MAX_RESPONSE_BYTES)
        status = started.head.status
        if isinstance(body, str) or status in NOT_RUN_STATUSES or turn.response_started:
            is_whole = isinstance(body, bytes)
            risk = Risk.FAILED if is_whole else incomplete_risk(started.exchange)
            return OutcomeUnknown(started.state.server.id, f"status {status}", risk)
        if is_server_error(status):
            # Otherwise it would look idle and attract the turns of all relays.
            self._dispatcher.record_failure(started.state)
        crashes = self._dispatcher.crashes
        if is_success(status):
            crashes.record_answer(job)
        else:
            await crashes.record_failure(job, started.state, Risk.FAILED)
        job.status = status
        job.caller_conn.respond(status, response_headers(started.head), body)
        return None

    async def _forward_events(
        self, turn: _TurnState, started: ResponseStarted
    ) -> OutcomeUnknown | None:
        """Forward events as they arrive, with backpressure from caller to server."""
        exchange, caller_conn = started.exchange, turn.job.caller_conn
        pace, timer = started.state.pace, started.timer

        def forward(data: bytes) -> bool:
            started.open_req.record_data(turn.job.now())
            count = turn.events.count
            retained_bytes = turn.retained_bytes()
            turn.forward(started.head, data)
            exchange.count_retained(turn.retained_bytes() - retained_bytes)
            excess = turn.find_excess()
            if excess:
                exchange.reject(excess)
                return False
            if turn.events.count > count:
                pace.record_events(timer, turn.events.count - count, turn.job.now())
            return caller_conn.is_writable

        while exchange.end is None:
            exchange.forward_to(forward)
            await exchange.wait_data()
            if not caller_conn.is_writable and exchange.end is None:
                started.server_conn.pause_reading()
                started.open_req.pause()
                timer.is_paused = True
                await caller_conn.wait_writable()
                started.open_req.resume(turn.job.now())
                timer.resume(turn.job.now())
                started.server_conn.resume_reading()
        forward(exchange.read_available())
        timer.is_paused = True
        server_id = started.state.server.id
        if exchange.end.outcome is not ExchangeOutcome.COMPLETE:
            turn.events.partial.clear()
            reason = exchange.end.reason
            return OutcomeUnknown(server_id, reason, incomplete_risk(exchange))
        if turn.events.partial:
            turn.events.partial.clear()
            reason = "the stream ended inside an event"
            return OutcomeUnknown(server_id, reason, Risk.SPOILED)
        turn.start_response(started.head)
        return None


class _TurnState:
    """State of a turn that is being served.

    Attributes
    ----------
    history : bytes
        Content of the turns before this one.
    foreign_chain : tuple of Turn
        Turns of an earlier program, to be written together with this one: the records
        of that program expire on their own.
    response_started : bool
        Whether the head of the response has been sent to the caller.
    status : int
        Status of a response of which all events were forwarded; 0 before.
    reserved, settled : bool
        Whether tokens were reserved, and whether the reservation needs no settlement
        any more.
    events : EventSplitter
        Events received so far.
    """

    def __init__(self, job: Job, reservation: Reservation | None) -> None:
        self.job = job
        self.reservation = reservation
        self.history = b""
        self.foreign_chain: tuple[Turn, ...] = ()
        self.response_started = False
        self.status = 0
        self.reserved = False
        self.settled = False
        self.events = EventSplitter(
            collect=job.route.retains_history, max_count=_max_events(job)
        )

    @property
    def is_answered(self) -> bool:
        """Whether only the end of the response is left to send."""
        return self.status != 0

    def start_response(self, head: ResponseHead) -> None:
        """Send the head of the response, unless it has been sent already."""
        if self.response_started:
            return
        self.response_started = True
        self.job.first_event_s = self.job.elapsed_s()
        self.job.caller_conn.begin(ResponseHead(head.status, response_headers(head)))

    def forward(self, head: ResponseHead, data: bytes) -> None:
        """Forward the events that are now complete to the caller."""
        complete_events = self.events.feed(data)
        if not complete_events:
            return
        self.start_response(head)
        self.job.caller_conn.send(complete_events)
        self.job.event_count = self.events.count

    def retained_bytes(self) -> int:
        """Bytes of the response that are retained: its content, and a partial event."""
        return len(self.events.content) + len(self.events.partial)

    def find_excess(self) -> str:
        """Return what the response has too much of; empty if nothing.

        A faulty server may send an event, or events, without end.
        """
        events = self.events
        if events.has_too_many:
            return f"more than {events.count} events"
        if events.waiting_bytes > MAX_EVENT_BYTES:
            return f"no event in {MAX_EVENT_BYTES} bytes"
        if len(events.content) > MAX_TURN_BYTES:
            return f"events over {MAX_TURN_BYTES} bytes"
        return ""

    def sent_tokens(self) -> int:
        """Tokens in the events that were sent to the caller."""
        engine = self.job.engine
        return self.events.count * (engine.tokens_per_event if engine else 1)


def _max_events(job: Job) -> int:
    """Return the maximum number of events of a turn; 0 if it is unknown.

    A server that sends more than the caller asked for would exceed the reservation of
    the turn, and with it the budget of its program.
    """
    if not job.caller_req.output_tokens or job.engine is None:
        return 0
    tokens_per_event = max(1, job.engine.tokens_per_event)
    # An event without tokens may mark the end.
    return math.ceil(job.caller_req.output_tokens / tokens_per_event) + 1


def _can_resume(turn: _TurnState) -> bool:
    events = turn.events
    has_position = events.count == 0 or events.last_id != ""
    return turn.job.route.resumable and has_position and not events.has_too_many


def _make_reservation(job: Job, output_sizes: OutputSizes) -> Reservation | None:
    """Compute the reservation of a turn; None if the turn needs none."""
    caller_req = job.caller_req
    if not caller_req.program:
        return None
    if caller_req.budget is None and not job.route.retains_history:
        return None
    previous_id, room = "", None
    if job.route.retains_history:
        previous_id = job.scoped_id(caller_req.previous_id)
        output_bytes = output_sizes.estimate(job.route.name, caller_req.output_tokens)
        room = Room(
            len(job.req.body) + output_bytes,
            int((job.remaining_s() + ROOM_MARGIN_S) * MS_PER_S),
            is_first=not previous_id,
        )
    return Reservation(
        job.scoped_id(caller_req.program),
        caller_req.id,
        caller_req.output_tokens,
        caller_req.budget,
        job.route.retention_s,
        previous_id,
        room,
        secrets.randbits(SEND_NUMBER_BITS),
        job.request_digest,
    )
