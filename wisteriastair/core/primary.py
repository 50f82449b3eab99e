"""Runs the programs of the slots whose primary is this process.

Every decision becomes a record, and a record takes effect once the standby has stored
it: an intent before the call is dispatched, text before a caller sees it, the end of a
call before the next call.  After a takeover the new primary folds the records and asks
the gates for the state of the open calls.  It never repeats a call that may have run
and is not repeatable.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from ..errors import Code
from .calls import Calls
from .config import Service
from .outbox import Outbox
from .program import (
    ChildStep,
    EndStep,
    ModelStep,
    Program,
    ToolStep,
    Wait,
)
from .records import (
    CallEnded,
    CallIntended,
    ChildEnded,
    ChildStarted,
    Limits,
    ProgramEnded,
    ProgramStarted,
    Record,
    decode_record,
)
from .running import RunningProgram, RunningPrograms
from .slots import SlotListener
from .wire import Entry

LEASE_RENEWAL_S: Final = 4.0
ENDED_RETENTION_S: Final = 600.0


class Primary(SlotListener):
    """Runs the programs of the slots whose primary is this process.

    Parameters
    ----------
    programs : RunningPrograms
        The programs, shared with `calls.Calls`.
    calls : Calls
        Makes their calls.
    out : Outbox
        Receives the effects.
    """

    def __init__(self, programs: RunningPrograms, calls: Calls, out: Outbox) -> None:
        self.slots_with_lost_log: set[int] = set()
        self.finished_count = 0
        self._programs = programs
        self._calls = calls
        self._out = out
        self._retained: deque[tuple[float, str]] = deque()
        self._renew_at = 0.0

    # Slots

    def on_opened(
        self, slot: int, programs: dict[str, list[Entry]], lost: bool
    ) -> None:
        """Rebuild the programs of a slot from their log and resume them."""
        if lost:
            self.slots_with_lost_log.add(slot)
        opened = []
        for name, entries in programs.items():
            if not entries:
                continue
            run = self._rebuild(slot, entries)
            self._programs.by_name[name] = run
            opened.append(run)
            self._track_state(name, run)
        for run in opened:
            self._resume(run)

    def _rebuild(self, slot: int, entries: list[Entry]) -> RunningProgram:
        start = decode_record(entries[0].body)
        assert isinstance(start, ProgramStarted), "a log starts with ProgramStarted"
        program = Program(start)
        for entry in entries[1:]:
            program.apply(decode_record(entry.body))
        run = RunningProgram(program, slot)
        run.last_heard_at = self._programs.now
        return run

    def _track_state(self, name: str, run: RunningProgram) -> None:
        """List a program as live or, if it has ended, as retained for late callers."""
        ended = run.program.ended
        if ended is None:
            self._programs.live[name] = None
        else:
            self._programs.live.pop(name, None)
            self._retained.append((ended.ended_at, name))

    def _resume(self, run: RunningProgram) -> None:
        """Resume after a takeover: look up the open call, complete a partial step."""
        program = run.program
        for child in program.active_children():
            step = program.child_start_step(child)
            if child not in self._programs.by_name and step is not None:
                self._programs.append(
                    run, self._child_record(run, step), new_program=True
                )
        if program.start.parent and program.ended is not None:
            self._report_to_parent(run)
        if program.call is not None and program.ended is None:
            self._calls.look_up(run, program.call)
        self._take_next_step(run)

    def on_closed(self, slot: int) -> None:
        """Drop the programs of a slot that has another primary."""
        self.slots_with_lost_log.discard(slot)
        for name in [n for n, r in self._programs.by_name.items() if r.slot == slot]:
            del self._programs.by_name[name]
            self._programs.live.pop(name, None)

    def on_committed(self, slot: int, record: Record) -> None:
        """Apply a committed record and carry out its effects."""
        if isinstance(record, ProgramStarted):
            self._start_committed(slot, record)
            return
        run = self._programs.by_name.get(record.program)
        if run is None:
            return
        run.uncommitted = max(0, run.uncommitted - 1)
        program = run.program
        call = program.call
        children = program.active_children()
        program.apply(record)
        match record:
            case CallIntended():
                run.ending = False
                run.text_length = len(program.partial_text)
                self._calls.dispatch(run, record)
            case CallEnded():
                run.ending = False
                self._calls.discard_result(call)
            case ProgramEnded():
                self._end_committed(run, call, children)
            case _:
                pass
        run.deliver(self._out)
        self._take_next_step(run)

    def start(self, run: RunningProgram) -> None:
        """Append the first record of a new program."""
        start = run.program.start
        self._programs.by_name[start.program] = run
        run.uncommitted = 1
        self._programs.append(run, start, new_program=True)

    def end(self, run: RunningProgram, step: EndStep) -> None:
        """End a program at an external request; its open call is cancelled."""
        if run.program.ended is None and not run.ending:
            self._end(run, step)

    def _start_committed(self, slot: int, record: ProgramStarted) -> None:
        run = self._programs.by_name.get(record.program)
        if run is None:
            run = RunningProgram(Program(record), slot)
            parent = self._programs.by_name.get(record.parent)
            run.trace = parent.trace if parent is not None else ""
            self._programs.by_name[record.program] = run
        run.uncommitted = 0
        self._track_state(record.program, run)
        for request in run.subscribers:
            self._out.send(
                run.subscribers[request].reply_to, run.pending_message(request)
            )
        self._take_next_step(run)

    def _end_committed(
        self, run: RunningProgram, call: CallIntended | None, children: list[str]
    ) -> None:
        """Release the resources of an ended program and end its sub-agents."""
        program = run.program
        self._track_state(program.start.program, run)
        self.finished_count += 1
        if call is not None:
            self._calls.cancel(call)
        for server in sorted(program.servers):
            self._calls.release_cache(server, program.start.program)
        for name in children:
            child = self._programs.by_name.get(name)
            if child is not None and child.program.ended is None:
                self._end(child, EndStep(Code.CANCELLED, "", "parent has ended"))
        if program.start.parent:
            self._report_to_parent(run)

    def _report_to_parent(self, run: RunningProgram) -> None:
        start = run.program.start
        ended = run.program.ended
        parent = self._programs.by_name.get(start.parent)
        if parent is None or parent.program.ended is not None or ended is None:
            return
        if start.program not in parent.program.active_children():
            return
        answer = ended.answer if ended.status == "done" else f"error: {ended.status}"
        record = ChildEnded(start.parent, start.program, answer, run.program.spent)
        self._programs.append(parent, record)

    # Steps

    def _take_next_step(self, run: RunningProgram) -> None:
        """Take the next step of a program unless it has uncommitted records."""
        if run.uncommitted or not self._programs.may_append(run):
            return
        step = run.program.next_step(self._programs.now)
        if isinstance(step, ModelStep | ToolStep) and self._calls.is_out_of_servers(
            run
        ):
            is_model = isinstance(step, ModelStep)
            code = Code.MODEL_FAILED if is_model else Code.TOOL_FAILED
            detail = f"call {step.number} failed on several servers, and none is back"
            step = EndStep(code, "", detail)
        match step:
            case EndStep():
                self._end(run, step)
            case ChildStep():
                self._start_child(run, step)
            case ModelStep() if self._programs.now >= run.not_before:
                self._calls.append_model_intent(run, step)
            case ToolStep() if self._programs.now >= run.not_before:
                self._calls.append_tool_intent(run, step)
            case Wait() | ModelStep() | ToolStep():
                pass

    def _end(self, run: RunningProgram, step: EndStep) -> None:
        name = run.program.start.program
        # Results that arrive from now on must not be appended after the end.
        run.ending = True
        record = ProgramEnded(
            name, step.status, step.answer, step.detail, self._programs.now
        )
        self._programs.append(run, record)

    def _start_child(self, run: RunningProgram, step: ChildStep) -> None:
        name = run.program.start.program
        self._programs.append(
            run, ChildStarted(name, step.child, step.position, step.budget)
        )
        self._programs.append(run, self._child_record(run, step), new_program=True)

    def _child_record(self, run: RunningProgram, step: ChildStep) -> ProgramStarted:
        start = run.program.start
        return ProgramStarted(
            step.child,
            start.program,
            start.service,
            start.customer,
            step.prompt,
            start.limits._replace(budget=step.budget),
            start.definition,
            self._programs.now,
        )

    # Time

    def tick(self) -> None:
        """Check open calls, renew cache leases, drop expired programs."""
        for run in [self._programs.by_name[name] for name in self._programs.live]:
            run.expire_subscribers(self._programs.now)
            program = run.program
            if program.call is not None and not run.ending:
                self._calls.check_progress(run, program.call)
            if run.uncommitted == 0:
                self._take_next_step(run)
        self._drop_expired()
        if self._programs.now >= self._renew_at:
            self._renew_at = self._programs.now + LEASE_RENEWAL_S
            self._calls.renew_leases()

    def _drop_expired(self) -> None:
        """Drop ended programs after their retention time, the oldest first."""
        while (
            self._retained
            and self._programs.now - self._retained[0][0] >= ENDED_RETENTION_S
        ):
            _, name = self._retained[0]
            run = self._programs.by_name.get(name)
            if run is not None and run.program.ended is not None:
                if not self._programs.may_append(run):
                    return
                self._programs.drop(run)
            self._retained.popleft()


def new_limits(service: Service, budget: int) -> Limits:
    """Limits of a new program; a budget of 0 means the default of the service."""
    return Limits(
        budget or service.budget,
        service.max_turns,
        service.max_tokens,
        service.wall_s,
        service.tool_s,
    )
