"""Callers' requests at the primary: start, attach, cancel, list.

A request for an existing program joins it, so a repeated request is harmless. A new
program is admitted only while there is capacity. Otherwise it is rejected at once as
not run, with a time to retry. Requests for running programs are never rejected for lack
of capacity, as finishing them has precedence.
"""

from __future__ import annotations

from typing import Final

from ..errors import Code, Failure
from .config import Config, Service, Tool
from .dispatch import Dispatcher
from .outbox import Outbox
from .primary import Primary, new_limits
from .program import EndStep, Program
from .records import Action, Limits, ProgramStarted
from .replica import Role
from .running import RunningProgram, RunningPrograms, Subscriber
from .slots import Slots
from .wire import (
    ListPrograms,
    NotPrimary,
    ProgramAttach,
    ProgramCancel,
    ProgramList,
    ProgramOutcome,
    ProgramRow,
    ProgramStart,
)

RATE_WINDOW_S: Final = 10.0
PLAIN_WALL_S: Final = 120.0
PLAIN_TOOL_S: Final = 30.0
SLOT_MOVE_RETRY_S: Final = 0.5


class Admission:
    """Handles callers' requests.

    Parameters
    ----------
    me : str
        Member id, for the operators' listing.
    primary, programs, slots, dispatcher, out
        Components that it uses.
    max_active : int
        Maximum number of running programs on this primary.
    max_wait_s : float
        Predicted wait in seconds above which a new program is rejected; 0 for none.
    """

    def __init__(
        self,
        me: str,
        *,
        primary: Primary,
        programs: RunningPrograms,
        slots: Slots,
        dispatcher: Dispatcher,
        out: Outbox,
        max_active: int,
        max_wait_s: float,
    ) -> None:
        self.refused = 0
        self.stopping = False
        self._me = me
        self._primary = primary
        self._programs = programs
        self._slots = slots
        self._dispatcher = dispatcher
        self._out = out
        self._max_active = max_active
        self._max_wait_s = max_wait_s
        self._window_start = 0.0
        self._window_finished = 0
        self._finish_rate_per_s = 0.0

    def on_start(self, sender: str, start: ProgramStart, now: float) -> None:
        """Start a program, or join the program that the same key started."""
        if not self._is_serving(sender, start.request, start.slot):
            return
        run = self._programs.by_name.get(start.program)
        if run is None:
            failure = self._check_admission(start, now)
            if failure is not None:
                self._fail(sender, start.request, start.program, failure)
                return
            run = RunningProgram(Program(self._first_record(start, now)), start.slot)
            run.trace = start.trace
            self._subscribe(sender, run, start.request, 0, 0, start.stream, now)
            self._primary.start(run)
            return
        failure = _check_key_reuse(run, start)
        if failure is not None:
            self._fail(sender, start.request, start.program, failure)
            return
        self._subscribe(sender, run, start.request, 0, 0, start.stream, now)
        self._send_state(sender, run, start.request)

    def _is_serving(self, sender: str, request: str, slot: int) -> bool:
        if self._slots.is_open(slot):
            return True
        if self._slots.role(slot) is not Role.PRIMARY:
            self._out.send(sender, NotPrimary(request, slot))
        return False

    def _check_admission(self, start: ProgramStart, now: float) -> Failure | None:
        if start.slot in self._primary.slots_with_lost_log:
            detail = "this key's earlier state was lost; a new key runs it for certain"
            return Failure(Code.OUTCOME_UNKNOWN, detail, "unknown")
        config = self._programs.config
        failure = _check_plain(start, config)
        if not start.operation:
            failure = self._check_program(start, config)
        if failure is not None:
            return failure
        if not self._slots.may_append(start.slot):
            return Failure(
                Code.NO_PRIMARY, "the slot is moving", "no", SLOT_MOVE_RETRY_S
            )
        return self._check_overload(start, config, now)

    def _check_overload(
        self, start: ProgramStart, config: Config, now: float
    ) -> Failure | None:
        """Reject programs that would only wait, so that running ones can finish."""
        if self._programs.active >= self._max_active:
            self.refused += 1
            detail = f"{self._programs.active} programs under way here"
            return Failure(Code.OVERLOADED, detail, "no", self._retry_after_s())
        service = config.services.get(start.service)
        if start.operation or service is None or self._max_wait_s <= 0:
            return None
        wait_s = self._dispatcher.expected_wait_s(service, config, now)
        if wait_s <= self._max_wait_s:
            return None
        self.refused += 1
        detail = f"every server would keep it waiting {wait_s:.1f} s"
        return Failure(Code.OVERLOADED, detail, "no", wait_s)

    def _check_program(self, start: ProgramStart, config: Config) -> Failure | None:
        service = config.services.get(start.service)
        if service is None:
            return Failure(Code.UNKNOWN_SERVICE, f"no service '{start.service}'")
        if start.budget > service.budget:
            detail = f"budget {start.budget} is over the service's {service.budget}"
            return Failure(Code.BAD_REQUEST, detail)
        if not self._dispatcher.serves_any(service, config):
            detail = f"no active server serves {', '.join(service.models) or 'it'}"
            return Failure(Code.NO_SERVER, detail, "no", 5.0)
        return None

    def _retry_after_s(self) -> float:
        """Estimate the seconds until capacity is free, from the recent finish rate."""
        excess = max(1, self._programs.active - self._max_active + 1)
        if self._finish_rate_per_s <= 0:
            return 5.0
        return min(60.0, max(0.5, excess / self._finish_rate_per_s))

    def _first_record(self, start: ProgramStart, now: float) -> ProgramStarted:
        if start.operation:
            tool = Tool(start.operation, start.service, start.repeatable)
            service = Service(start.service, tools=(tool,))
            limits = Limits(1, 1, 1, PLAIN_WALL_S, PLAIN_TOOL_S)
            plain: Action | None = Action(start.operation, start.prompt)
        else:
            service = self._programs.config.services[start.service]
            limits = new_limits(service, start.budget)
            plain = None
        return ProgramStarted(
            start.program,
            "",
            start.service,
            start.customer,
            start.prompt,
            limits,
            service,
            now,
            plain,
        )

    def _subscribe(
        self,
        sender: str,
        run: RunningProgram,
        request: str,
        number: int,
        offset: int,
        stream: bool,
        now: float,
    ) -> None:
        subscriber = run.subscribers.get(request)
        if subscriber is None or subscriber.reply_to != sender:
            subscriber = Subscriber(request, sender, number, offset, stream)
        elif (number, offset) < (subscriber.number, subscriber.offset):
            # The entry process has received less than was sent, so messages were lost.
            subscriber.number, subscriber.offset = number, offset
        run.subscribe(subscriber, now)

    def _send_state(self, sender: str, run: RunningProgram, request: str) -> None:
        if run.program.ended is None:
            self._out.send(sender, run.pending_message(request))
        run.deliver(self._out)

    def on_attach(self, sender: str, attach: ProgramAttach, now: float) -> None:
        """Subscribe a request to an existing program."""
        run = self._find(sender, attach)
        if run is None:
            return
        self._subscribe(
            sender,
            run,
            attach.request,
            attach.number,
            attach.offset,
            attach.stream,
            now,
        )
        self._send_state(sender, run, attach.request)

    def _find(
        self, sender: str, message: ProgramAttach | ProgramCancel
    ) -> RunningProgram | None:
        """Return the customer's program, or send a failure and return None."""
        if not self._is_serving(sender, message.request, message.slot):
            return None
        run = self._programs.by_name.get(message.program)
        if run is None or run.program.start.customer != message.customer:
            failure = self._not_found(message.slot)
            self._fail(sender, message.request, message.program, failure)
            return None
        return run

    def _not_found(self, slot: int) -> Failure:
        if slot in self._primary.slots_with_lost_log:
            detail = "the slot's earlier state was lost"
            return Failure(Code.OUTCOME_UNKNOWN, detail, "unknown")
        # The program may also have ended long ago, so "not run" cannot be claimed.
        return Failure(Code.UNKNOWN_PROGRAM, "no such program", "unknown")

    def on_cancel(self, sender: str, cancel: ProgramCancel, now: float) -> None:
        """Cancel a program at the request of its caller."""
        run = self._find(sender, cancel)
        if run is None:
            return
        self._subscribe(sender, run, cancel.request, 0, 0, False, now)
        if self._slots.may_append(cancel.slot):
            step = EndStep(Code.CANCELLED, "", "cancelled by its caller")
            self._primary.end(run, step)
        self._send_state(sender, run, cancel.request)

    def on_list(self, sender: str, query: ListPrograms, now: float) -> None:
        """List the programs whose primary this process is."""
        rows = [
            self._row(run, now)
            for _, run in sorted(self._programs.by_name.items())
            if not query.customer or run.program.start.customer == query.customer
        ]
        limited = tuple(rows[: query.limit])
        self._out.send(sender, ProgramList(query.request, limited))

    def _row(self, run: RunningProgram, now: float) -> ProgramRow:
        program = run.program
        start = program.start
        ended = program.ended
        state = "running" if ended is None else ended.status
        end = now if ended is None else ended.ended_at
        return ProgramRow(
            start.program,
            start.service,
            start.customer,
            state,
            program.turns,
            program.spent,
            program.reserved,
            start.limits.budget,
            end - start.started_at,
            self._me,
            _waiting_for(run),
        )

    def tick(self, now: float) -> None:
        """Update the rate at which programs finish."""
        if now - self._window_start >= RATE_WINDOW_S:
            finished_count = self._primary.finished_count - self._window_finished
            self._finish_rate_per_s = finished_count / RATE_WINDOW_S
            self._window_start = now
            self._window_finished = self._primary.finished_count

    def _fail(self, to: str, request: str, program: str, failure: Failure) -> None:
        outcome = ProgramOutcome(
            request,
            program,
            failure.code,
            failure.ran,
            "",
            failure.detail,
            failure.retry_after_s,
            0,
            0,
        )
        self._out.send(to, outcome)


def _check_plain(start: ProgramStart, config: Config) -> Failure | None:
    if not start.operation:
        return None
    serving = [
        s for s in config.servers.values() if s.kind == "plain" and s.state == "active"
    ]
    if any(start.service in server.serves for server in serving):
        return None
    return Failure(Code.UNKNOWN_SERVICE, f"no plain service '{start.service}'")


def _check_key_reuse(run: RunningProgram, start: ProgramStart) -> Failure | None:
    definition = run.program.start
    is_same_request = (definition.service, definition.prompt) == (
        start.service,
        start.prompt,
    )
    if is_same_request and definition.customer == start.customer:
        return None
    detail = "the idempotency key was used for another request"
    return Failure(Code.KEY_REUSED, detail)


def _waiting_for(run: RunningProgram) -> str:
    program = run.program
    if program.ended is not None:
        return ""
    if program.call is not None:
        return f"{program.call.kind} {program.call.name} at {program.call.server}"
    children = program.active_children()
    return f"{len(children)} sub-agents" if children else "next step"
