"""Streamed turns: reserve, send, pass events on as they come, settle, end.

The end of the answer is held until the turn is durable on enough disks: a caller that
has seen the end may continue from this turn anywhere, at once.  Until then the caller
has only events, which promise nothing.  A stream that breaks ends with a visible break,
and is settled with the tokens of the events that went out.
"""

from __future__ import annotations

from typing import Final

import anyio

from ..core.fleet import ServerState
from ..core.ledger import Turn
from ..errors import Code, Failure
from ..http1.messages import ResponseHead
from ..http1.server import ExchangeOutcome
from ..platform.headers import forwarded_headers, has_server_stamp, response_headers
from .answers import fail, is_server_error
from .chains import ChainCache
from .dispatch import Dispatcher, Lost, NotRun, Started, read_whole
from .events import EventSplitter
from .job import Job
from .ledger import (
    LedgerClient,
    NoSuchTurn,
    Reservation,
    Spent,
    Unavailable,
)
from .plain import COME_BACK_S, MAX_ANSWER_BYTES, MAX_REFUSALS, PROMISES, SUCCESS
from .questions import Granted

# Longest wait for a reservation, in seconds; then the caller is told to come back.
RESERVE_TIMEOUT_S: Final = 0.6
# Longest wait for a whole turn to become durable, in seconds.  The caller has all
# events by then; breaking off lets it begin the turn again while there is time.
SETTLE_WAIT_S: Final = 1.0
# Times that one stream may go on after a break.
MOST_RESUMES: Final = 2
# The least urgent priority that engines know.
PRIORITY_MOST: Final = 9


class StreamRelay:
    """Answers requests on streamed routes.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends them to servers.
    ledger : LedgerClient
        Keeps budgets and turns.
    chains : ChainCache
        What was said before.
    """

    def __init__(
        self, dispatcher: Dispatcher, ledger: LedgerClient, chains: ChainCache
    ) -> None:
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._chains = chains

    async def run(self, job: Job) -> None:
        """Answer one request."""
        wish = _reservation(job)
        turn = _TurnRun(job, wish)
        failure: Failure | None = Failure(
            Code.TIMED_OUT, "no answer in time", "unknown"
        )
        try:
            with anyio.move_on_after(max(0.0, job.remaining_s())):
                failure = await self._run(turn)
        finally:
            if turn.reserved and not turn.settled and wish is not None:
                self._ledger.settle_later(wish, turn.tokens())
        if failure is None:
            return
        job.reason = job.reason or failure.detail
        job.failure = failure
        if turn.begun:
            return
        if failure.code is Code.TIMED_OUT and not job.sent:
            failure = Failure(Code.TOO_LATE, "no time left", "no", COME_BACK_S)
        job.status = fail(job.caller_conn, job.asked.id, failure)

    async def _run(self, turn: _TurnRun) -> Failure | None:
        failure = await self._reserve(turn)
        if failure is None:
            failure = await turn.job.permission.refusal(turn.job.req.received_at)
        if failure is not None:
            return failure
        return await self._serve(turn)

    # Ledger

    async def _reserve(self, turn: _TurnRun) -> Failure | None:
        job, wish = turn.job, turn.wish
        if wish is None:
            return None
        cached = self._chains.get(wish.program, wish.previous_id)
        if cached is not None:
            wish = wish._replace(previous_id="")
        turn.reserved = True
        until = min(job.until, job.req.received_at + RESERVE_TIMEOUT_S)
        outcome = await self._ledger.reserve(wish, until)
        job.ledger_s = job.age_s()
        match outcome:
            case Granted(chain, chain_program):
                turn.before = cached or b"".join(one.content for one in chain)
                turn.chain = () if chain_program == wish.program else chain
                return None
            case Spent(taken):
                turn.settled = True
                detail = f"{taken} of {wish.budget} tokens are taken"
                return Failure(Code.BUDGET_SPENT, detail)
            case NoSuchTurn():
                turn.settled = True
                return Failure(Code.UNKNOWN_TURN, f"no turn {job.asked.previous_id}")
            case Unavailable(answered, wanted, view):
                turn.settled = True
                detail = f"{answered} of {wanted} replicas answered in view {view}"
                return Failure(Code.LEDGER_AWAY, detail, "no", COME_BACK_S)

    async def _settle(self, turn: _TurnRun) -> Failure | None:
        """Make a whole turn durable, before its end is passed on."""
        job, wish = turn.job, turn.wish
        if wish is None:
            return None
        if not job.route.retains_history:
            turn.settled = True
            self._ledger.settle_later(wish, turn.tokens())
            return None
        content = job.req.body + bytes(turn.events.content)
        record = Turn(job.turn, wish.previous_id, content)
        turns = (*turn.chain, record)
        until = min(job.until, job.now() + SETTLE_WAIT_S)
        if not await self._ledger.settle(wish, turn.tokens(), turns, until):
            return Failure(Code.LEDGER_AWAY, "the turn could not be kept", "yes")
        turn.settled = True
        self._chains.put(wish.program, job.turn, turn.before + content)
        return None

    # Servers

    async def _serve(self, turn: _TurnRun) -> Failure | None:
        job = turn.job
        refused: set[str] = set()
        resumes = 0
        again: ServerState | None = None
        while True:
            body = turn.before + job.req.body
            state = again or self._dispatcher.pick(
                job.service,
                frozenset(refused),
                parts=job.asked.parts,
                memory_tokens=job.engine.memory_tokens if job.engine else 0,
                body_bytes=len(body),
            )
            again = None
            if state is None or len(refused) >= MAX_REFUSALS:
                if turn.begun or resumes:
                    return Failure(Code.SERVER_LOST, job.reason, "unknown")
                detail = "no server has room" if refused else "no server is there"
                code = Code.SERVERS_FULL if refused else Code.NO_SERVER
                return Failure(code, detail, "no", COME_BACK_S)
            job.tried.append(state.server.id)
            headers = forwarded_headers(
                job.req,
                remaining_s=job.remaining_s(),
                server_id=state.server.id,
                body_bytes=len(body),
                engine_priority=min(PRIORITY_MOST, job.rank),
                customer=job.customer_name,
                last_event_id=turn.events.last_id or None,
            )
            job.sent = True
            async with self._dispatcher.send(
                state, job.req, job.asked.id, headers, body
            ) as outcome:
                end = await self._pass_on(turn, outcome)
            if end is None:
                return None
            job.reason = end.reason
            if isinstance(end, NotRun):
                refused.add(end.server)
                job.sent = turn.begun or resumes > 0
                continue
            if not _may_resume(turn) or resumes >= MOST_RESUMES:
                return Failure(Code.SERVER_LOST, end.reason, "unknown")
            # The same server first: it has read the prompt, and a run on another one
            # counts against the most servers on which a request may run.
            resumes += 1
            again = state if state.accepts_requests() else None
            if again is None:
                refused.add(end.server)

    async def _pass_on(
        self, turn: _TurnRun, outcome: Started | NotRun | Lost
    ) -> NotRun | Lost | None:
        """Pass an answer on; None if the request is done with."""
        if not isinstance(outcome, Started):
            return outcome
        job = turn.job
        head = outcome.head
        server_id = outcome.state.server.id
        if head.status not in SUCCESS:
            return await self._pass_failure(turn, outcome)
        if not has_server_stamp(head):
            return Lost(server_id, "a success without the server's stamp")
        lost = await self._pass_events(turn, outcome)
        if lost is not None:
            return lost
        outcome.state.record_success(job.age_s())
        outcome.state.cached_segments.add(job.asked.parts)
        failure = await self._settle(turn)
        if failure is not None:
            return Lost(server_id, failure.detail)
        job.caller_conn.end()
        job.status = head.status
        return None

    async def _pass_failure(
        self, turn: _TurnRun, started: Started
    ) -> NotRun | Lost | None:
        job = turn.job
        body = await read_whole(started.exchange, MAX_ANSWER_BYTES)
        status = started.head.status
        if isinstance(body, str) or status in PROMISES or turn.begun:
            return Lost(started.state.server.id, f"status {status}")
        if is_server_error(status):
            # Else it goes on looking idle, and draws the turns of all relays.
            self._dispatcher.record_failure(started.state)
        job.status = status
        job.caller_conn.respond(status, response_headers(started.head), body)
        return None

    async def _pass_events(self, turn: _TurnRun, started: Started) -> Lost | None:
        """Pass events on as they come; a caller that reads slowly slows the server."""
        exchange, caller_conn = started.exchange, turn.job.caller_conn

        def pass_on(data: bytes) -> bool:
            turn.pass_on(started.head, data)
            return caller_conn.is_writable

        while exchange.end is None:
            exchange.forward_to(pass_on)
            await exchange.wait_data()
            if not caller_conn.is_writable and exchange.end is None:
                started.server_conn.pause_reading()
                await caller_conn.wait_writable()
                started.server_conn.resume_reading()
        pass_on(exchange.read_available())
        server_id = started.state.server.id
        if exchange.end.outcome is not ExchangeOutcome.COMPLETE:
            turn.events.rest = b""
            return Lost(server_id, exchange.end.reason)
        if turn.events.rest:
            turn.events.rest = b""
            return Lost(server_id, "the stream ended inside an event")
        turn.begin(started.head)
        return None


class _TurnRun:
    """A turn as far as it has got."""

    def __init__(self, job: Job, wish: Reservation | None) -> None:
        self.job = job
        self.wish = wish
        self.before = b""
        # Turns that are to be written with this one: the chain may be an earlier
        # program's, whose account expires on its own.
        self.chain: tuple[Turn, ...] = ()
        self.begun = False
        self.reserved = False
        self.settled = False
        self.events = EventSplitter(keep=job.route.retains_history)

    def begin(self, head: ResponseHead) -> None:
        """Begin the answer with the head of the first server."""
        if self.begun:
            return
        self.begun = True
        self.job.first_s = self.job.age_s()
        self.job.caller_conn.begin(ResponseHead(head.status, response_headers(head)))

    def pass_on(self, head: ResponseHead, data: bytes) -> None:
        """Pass the whole events among some bytes on to the caller."""
        whole = self.events.feed(data)
        if not whole:
            return
        self.begin(head)
        self.job.caller_conn.send(whole)
        self.job.events = self.events.count

    def tokens(self) -> int:
        """Tokens in the events that went out."""
        engine = self.job.engine
        return self.events.count * (engine.tokens_per_event if engine else 1)


def _may_resume(turn: _TurnRun) -> bool:
    events = turn.events
    return turn.job.route.resumable and (events.count == 0 or events.last_id != "")


def _reservation(job: Job) -> Reservation | None:
    """Work out what a turn reserves; None for a stream that belongs to no program."""
    asked = job.asked
    if not asked.program:
        return None
    if asked.budget is None and not job.route.retains_history:
        return None
    return Reservation(
        job.own(asked.program),
        asked.id,
        asked.output_tokens,
        asked.budget,
        job.route.retention_s,
        job.own(asked.previous_id) if job.route.retains_history else "",
    )
