"""Calls of programs: choosing a server, dispatch, results, look-ups.

A call is dispatched once its intent is committed.  If no message about it arrives, the
primary asks the gate for the state of the call by its id, whichever incarnation the
gate now has.  A call is not repeated before its state is known, and never if it may
have run and is not repeatable.
"""

from __future__ import annotations

from typing import Final

from .dispatch import CallTarget, Dispatcher
from .hashing import address_of
from .outbox import Outbox
from .peers import Peers
from .program import SPAWN, ModelStep, ToolStep
from .records import CallEnded, CallIntended, TextAppended
from .running import RunningProgram, RunningPrograms
from .wire import (
    CallId,
    CallPending,
    CallResult,
    CallText,
    GateCall,
    GateCancel,
    GateDiscard,
    GateLookup,
    LeaseRelease,
    LeaseRenew,
    ServerLoad,
)

LOOKUP_INTERVAL_S: Final = 1.0
GATE_TIMEOUT_S: Final = 6.0
NO_SERVER_RETRY_S: Final = 0.25
# Seconds for which a call waits for one of the servers that it is limited to.
EXPOSED_WAIT_S: Final = 10.0
RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 5.0
UNKNOWN_TOOL_TEXT: Final = "error: no such tool"


class Calls:
    """Makes the calls of the programs that run in this process.

    Parameters
    ----------
    programs : RunningPrograms
        Programs of the slots whose primary is this process.
    dispatcher : Dispatcher
        Chooses servers.
    peers : Peers
        Finds gates.
    out : Outbox
        Receives the effects.
    """

    def __init__(
        self,
        programs: RunningPrograms,
        dispatcher: Dispatcher,
        peers: Peers,
        out: Outbox,
    ) -> None:
        self._programs = programs
        self._dispatcher = dispatcher
        self._peers = peers
        self._out = out

    def append_model_intent(self, run: RunningProgram, step: ModelStep) -> None:
        """Append the intent of a model call, or wait if no server is available."""
        program = run.program
        service = self._programs.service(run)
        call_target = self._dispatcher.choose_model_server(
            program,
            service,
            self._programs.config,
            run.avoid_server,
            self._programs.now,
        )
        if call_target is None:
            self._wait_for_server(run)
            return
        reserved = step.prompt_token_bound + step.max_tokens
        self._append_intent(run, step, "model", call_target, "", True, reserved)

    def append_tool_intent(self, run: RunningProgram, step: ToolStep) -> None:
        """Append the intent of a tool call, or wait if no server is available."""
        tools = {tool.name: tool for tool in self._programs.service(run).tools}
        tool = tools.get(step.action.name)
        argument = step.action.argument
        if tool is None or step.action.name == SPAWN:
            call_target = CallTarget("", "", step.action.name)
            self._append_intent(run, step, "tool", call_target, argument, True, 0)
            return
        found = self._dispatcher.choose_tool_server(
            run.program,
            tool.provider,
            self._programs.config,
            run.avoid_server,
            self._programs.now,
        )
        if found is None:
            self._wait_for_server(run)
            return
        call_target = found._replace(target=f"{tool.provider}/{tool.name}")
        self._append_intent(
            run, step, "tool", call_target, argument, tool.repeatable, 0
        )

    def _wait_for_server(self, run: RunningProgram) -> None:
        run.not_before = self._programs.now + NO_SERVER_RETRY_S
        if run.no_server_since is None:
            run.no_server_since = self._programs.now

    def is_out_of_servers(self, run: RunningProgram) -> bool:
        """Return whether no server that may get the next call is likely to be back.

        Any other server would be exposed to a call that several have not survived.
        """
        return (
            run.no_server_since is not None
            and run.program.allowed_servers() is not None
            and self._programs.now - run.no_server_since >= EXPOSED_WAIT_S
        )

    def _append_intent(
        self,
        run: RunningProgram,
        step: ModelStep | ToolStep,
        kind: str,
        call_target: CallTarget,
        body: str,
        repeatable: bool,
        reserved: int,
    ) -> None:
        run.no_server_since = None
        record = CallIntended(
            run.program.start.program,
            step.number,
            step.attempt,
            kind,
            call_target.server,
            call_target.gate,
            call_target.target,
            body,
            repeatable,
            reserved,
            self._programs.now,
        )
        self._programs.append(run, record)

    def dispatch(self, run: RunningProgram, intent: CallIntended) -> None:
        """Send a call whose intent is committed to its gate."""
        run.looked_up_at = run.last_heard_at = self._programs.now
        if not intent.server:
            self._append_end(run, _local_result(intent, UNKNOWN_TOOL_TEXT))
            return
        program = run.program
        start = program.start
        is_model = intent.kind == "model"
        body = program.model_body(program.partial_text) if is_model else intent.body
        bound = program.prompt_token_bound() if is_model else 0
        limits = start.limits
        call = GateCall(
            CallId(start.program, intent.number, intent.attempt),
            run.slot,
            self._programs.epoch(run),
            intent.gate,
            intent.server,
            intent.kind,
            intent.name,
            body,
            len(program.partial_text) if is_model else 0,
            intent.repeatable,
            max(0, intent.reserved - bound),
            self._programs.service(run).priority,
            self._programs.now - start.started_at,
            bound,
            self._remaining_s(run) if is_model else limits.tool_s,
            self._programs.now,
            run.trace,
        )
        self._out.send(intent.gate, call)

    def _remaining_s(self, run: RunningProgram) -> float:
        start = run.program.start
        return max(0.0, start.started_at + start.limits.wall_s - self._programs.now)

    # Messages from gates

    def _find_open_call(self, call: CallId) -> RunningProgram | None:
        """Return the program whose open call this is; None if the message is late.

        Also records the time of the message.
        """
        run = self._programs.by_name.get(call.program)
        if run is None or run.program.call is None or run.ending:
            return None
        intent = run.program.call
        if (intent.number, intent.attempt) != (call.number, call.attempt):
            return None
        run.last_heard_at = self._programs.now
        run.looked_up_at = self._programs.now
        return run

    def on_text(self, sender: str, message: CallText) -> None:
        """Append streamed output; it reaches callers when committed."""
        run = self._find_open_call(message.call)
        if run is None or not run.has_streaming_subscriber():
            return
        if not self._programs.may_append(run):
            return
        skip = run.text_length - message.offset
        if skip < 0:
            self._look_up_open_call(run)
            return
        new = message.text[skip:]
        if not new:
            return
        record = TextAppended(
            message.call.program, message.call.number, run.text_length, new
        )
        run.text_length += len(new)
        self._programs.append(run, record)

    def on_pending(self, message: CallPending) -> None:
        """Record that the gate is still working on a call."""
        self._find_open_call(message.call)

    def on_result(self, result: CallResult) -> None:
        """Append the outcome of a call to the log of its program."""
        run = self._find_open_call(result.call)
        if run is None or not self._programs.may_append(run):
            return
        self._dispatcher.record_result(run.program, result, self._programs.now)
        if result.status != "ok":
            run.avoid_server = result.server
            requested_s = min(result.retry_after_s, MAX_RETRY_DELAY_S)
            wait_s = max(requested_s, _retry_delay_s(result.call.attempt))
            run.not_before = self._programs.now + wait_s
        else:
            run.avoid_server = ""
        self._append_end(run, result)

    def _append_end(self, run: RunningProgram, result: CallResult) -> None:
        skip = run.text_length - run.program.call_text_offset
        text = result.text[skip:] if result.status == "ok" else ""
        record = CallEnded(
            result.call.program,
            result.call.number,
            result.call.attempt,
            result.status,
            result.ran,
            text,
            result.actions,
            result.prompt_tokens,
            result.cached_tokens,
            result.completion_tokens,
            self._programs.now,
        )
        run.ending = True
        self._programs.append(run, record)

    def discard_result(self, call: CallIntended | None) -> None:
        """Allow the gate to drop the result of a call, since it is committed."""
        if call is not None and call.server:
            self._out.send(call.gate, GateDiscard(_id_of(call), call.server))

    def cancel(self, call: CallIntended) -> None:
        """Ask the gate to stop a call whose result is no longer needed."""
        if call.server:
            self._out.send(call.gate, GateCancel(_id_of(call), call.server))

    def release_cache(self, server: str, program: str) -> None:
        """Release the cache that a server has for a program."""
        instance = self._peers.gate_instance_of(server)
        if instance is not None:
            self._out.send(instance.address, LeaseRelease(server, (program,)))

    def check_progress(self, run: RunningProgram, call: CallIntended) -> None:
        """Look up a call without recent messages, or give it up."""
        if not call.server:
            return
        limit_s = run.program.start.limits.tool_s
        silent_s = self._programs.now - run.last_heard_at
        # A call that must not be repeated is looked up for its whole time limit:
        # giving it up earlier would make its outcome unknown without need.
        timeout_s = GATE_TIMEOUT_S if call.repeatable else max(GATE_TIMEOUT_S, limit_s)
        gate_down = (
            self._peers.is_confirmed_down(call.gate) and silent_s > LOOKUP_INTERVAL_S
        )
        overdue = (
            call.kind == "tool"
            and self._programs.now - call.intended_at > limit_s + 1.0
        )
        if silent_s > timeout_s or gate_down or overdue:
            self.cancel(call)
            self._append_lost(run, call)
        elif self._programs.now - run.looked_up_at > LOOKUP_INTERVAL_S:
            self.look_up(run, call)

    def _append_lost(self, run: RunningProgram, call: CallIntended) -> None:
        if self._programs.may_append(run):
            run.avoid_server = call.server
            run.not_before = self._programs.now + _retry_delay_s(call.attempt)
            self._append_end(run, _lost_result(call))

    def _look_up_open_call(self, run: RunningProgram) -> None:
        if run.program.call is not None:
            self.look_up(run, run.program.call)

    def look_up(self, run: RunningProgram, call: CallIntended) -> None:
        """Ask the gate, whichever incarnation it now has, for the state of a call."""
        run.looked_up_at = self._programs.now
        if not call.server:
            self._append_end(run, _local_result(call, UNKNOWN_TOOL_TEXT))
            return
        lookup = GateLookup(
            _id_of(call),
            run.slot,
            self._programs.epoch(run),
            call.gate,
            call.server,
            run.text_length,
        )
        self._out.send(address_of(call.gate), lookup)

    def renew_leases(self) -> None:
        """Renew the cache leases of live programs, in one message per server."""
        by_server: dict[str, list[str]] = {}
        for name in self._programs.live:
            for server in self._programs.by_name[name].program.servers:
                by_server.setdefault(server, []).append(name)
        for server, names in sorted(by_server.items()):
            instance = self._peers.gate_instance_of(server)
            if instance is not None:
                self._out.send(instance.address, LeaseRenew(server, tuple(names)))


def _retry_delay_s(attempt: int) -> float:
    """Seconds before the next attempt; doubled each time to outlast short faults."""
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2.0**attempt)


def _id_of(call: CallIntended) -> CallId:
    return CallId(call.program, call.number, call.attempt)


def _local_result(call: CallIntended, text: str) -> CallResult:
    return _result(call, "ok", "no", text)


def _lost_result(call: CallIntended) -> CallResult:
    return _result(call, "lost", "unknown", "")


def _result(call: CallIntended, status: str, ran: str, text: str) -> CallResult:
    load = ServerLoad(0, 0, 0, 0)
    return CallResult(
        _id_of(call), call.server, status, ran, text, (), 0, 0, 0, 0.0, load
    )
